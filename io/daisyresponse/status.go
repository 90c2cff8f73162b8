package daisyresponse

import (
	"net/http"
	"strings"
)

// minStatus and maxStatus are the lowest and the highest number of three digits that can be
// a status code (RFC 9110, section 15). Codes from 600 on are not defined, but clients
// handle them like a server error, so they are passed on.
const (
	minStatus = 100
	maxStatus = 999
)

// checkStatus fails with MalformedStatus unless the status code has three digits and is at least
// 100. net/http also accepts smaller numbers and numbers with a sign and, in HTTP/2, with
// any number of digits.
func checkStatus(response *http.Response) error {
	text, _, _ := strings.Cut(response.Status, " ")
	if c := response.StatusCode; c < minStatus || c > maxStatus || len(text) != 3 {
		return MalformedStatus.New("invalid status code %q", text)
	}
	return nil
}
