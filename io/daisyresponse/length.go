package daisyresponse

import "net/http"

// checkLength fails with MalformedFraming if Content-Length has several values or is not a
// number. It frames nothing in HTTP/2, where net/http ignores such a field, but the response
// may be passed on in HTTP/1.1.
func checkLength(response *http.Response) error {
	lengths, ok := response.Header["Content-Length"]
	if ok && (len(lengths) != 1 || response.ContentLength < 0) {
		return MalformedFraming.New("invalid Content-Length %q", lengths)
	}
	return nil
}
