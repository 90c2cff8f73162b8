package daisyresponse

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// checkFields fails with MalformedField if a name or a value is not valid (RFC 9110, section 5).
// net/http also accepts names with a blank, which other recipients ignore, or take for the
// name without it: to pass such a line on, or to leave it out, can change the meaning of a
// response.
func checkFields(fields http.Header) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return MalformedField.New("invalid field name %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return MalformedField.New("invalid value %q of the field %s", v, name)
			}
		}
	}
	return nil
}
