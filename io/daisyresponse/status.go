package daisyresponse

import (
	"net/http"
	"strings"
)

// ValidStatus reports whether a number can be a status code: it has three digits and is at
// least 100 (RFC 9110, section 15). Codes from 600 on are not defined, but clients handle
// them like a server error.
func ValidStatus(code int) bool { return code >= 100 && code <= 999 }

// checkStatus fails with MalformedStatus unless the status is a valid code of three digits.
// net/http also accepts smaller numbers and numbers with a sign and, in HTTP/2, with any
// number of digits.
func checkStatus(response *http.Response) error {
	text, _, _ := strings.Cut(response.Status, " ")
	if !ValidStatus(response.StatusCode) || len(text) != 3 {
		return MalformedStatus.New("invalid status code %q", text)
	}
	return nil
}
