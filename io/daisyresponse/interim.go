package daisyresponse

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"daisyyoke/core/daisyerror"
)

// MaxInterim is the maximum number of interim responses (1xx) before a response. net/http
// accepts any number. More of them fail the request with daisyerror.Unknown.
const MaxInterim = 8

// InterimHandler is called with the status and the header of an interim response.
type InterimHandler func(status int, header http.Header)

// WithInterimHandler returns a context for one request. Its valid interim responses are
// passed to handler before the response arrives; a httptrace.ClientTrace would get those
// that are not valid too.
func WithInterimHandler(ctx context.Context, handler InterimHandler) context.Context {
	c := &interimCheck{handler: handler}
	c.trace.Got1xxResponse = c.receive
	return httptrace.WithClientTrace(context.WithValue(ctx, interimCheckKey{}, c), &c.trace)
}

// interimCheck checks the interim responses to one request.
type interimCheck struct {
	handler InterimHandler
	trace   httptrace.ClientTrace

	mu       sync.Mutex
	received int
	err      error
}

type interimCheckKey struct{}

// withInterimCheck returns the request, or a copy of it, with a check of its interim
// responses.
func withInterimCheck(request *http.Request) (*http.Request, *interimCheck) {
	if c, ok := request.Context().Value(interimCheckKey{}).(*interimCheck); ok {
		return request, c
	}
	request = request.WithContext(WithInterimHandler(request.Context(), func(int, http.Header) {}))
	c, _ := request.Context().Value(interimCheckKey{}).(*interimCheck)
	return request, c
}

// receive checks an interim response. An error fails the request.
func (c *interimCheck) receive(status int, header textproto.MIMEHeader) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received++
	if c.received > MaxInterim {
		c.err = daisyerror.Unknown.New("more than %d interim responses", MaxInterim)
	} else if err := checkFields(http.Header(header)); err != nil {
		c.err = MalformedInterim.Wrap(err, "interim response %d", status)
	}
	if c.err == nil {
		c.handler(status, http.Header(header))
	}
	return c.err
}

// failure returns the error of the interim response that failed the request, or err if
// there is none. net/http hides the type of such an error.
func (c *interimCheck) failure(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	return err
}
