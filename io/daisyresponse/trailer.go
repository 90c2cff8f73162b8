package daisyresponse

import (
	"io"
	"net/http"
)

// mayHaveTrailers reports whether trailers can follow the body: they need HTTP/2 or chunks.
func mayHaveTrailers(response *http.Response) bool {
	return response.Body != http.NoBody && (response.ProtoMajor > 1 || len(response.TransferEncoding) > 0)
}

// trailerCheck is a body that fails with MalformedTrailer instead of ending if the trailers
// behind it are not valid. To pass such a response on as complete would vouch for it.
type trailerCheck struct {
	io.ReadCloser
	response *http.Response
}

func (c *trailerCheck) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if invalid := checkFields(c.response.Trailer); invalid != nil {
		return n, MalformedTrailer.Wrap(invalid, "trailers")
	}
	return n, err
}
