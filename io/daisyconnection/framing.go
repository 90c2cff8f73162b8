package daisyconnection

import (
	"net/http"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyresponse"
)

// checkFraming fails with daisyresponse.Malformed if the end of response cannot be known
// for certain. net/http reads a response with any version in its status line by the rules
// of HTTP/1.1. Minor versions above 1 have the same ones (RFC 9110, section 2.5).
func (c *connection) checkFraming(response *http.Response) error {
	if c.endpoint.target.Protocol == daisyservice.HTTP1 && response.ProtoMajor != 1 {
		return daisyresponse.Malformed.New("%s in the status line", response.Proto)
	}
	return nil
}
