// Package daisyresponse rejects responses that are not valid HTTP. The readers of net/http
// accept some of them.
package daisyresponse

import "net/http"

// Transport is an http.RoundTripper that checks the responses of another one.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a transport that checks the responses of base.
func NewTransport(base http.RoundTripper) *Transport { return &Transport{base: base} }

// RoundTrip returns the response to a request. In addition to the errors of the transport
// that it checks, it fails with Malformed, and so does reading the body.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	request, interim := withInterimCheck(request)
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, interim.failure(err)
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if mayHaveTrailers(response) {
		response.Body = &trailerCheck{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

func checkHead(response *http.Response) error {
	if err := checkStatus(response); err != nil {
		return err
	}
	if err := checkFields(response.Header); err != nil {
		return err
	}
	return checkLength(response)
}

// CloseIdleConnections closes the idle connections of the checked transport, if it keeps any.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
