package daisyforward_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
)

// panickingWriter panics when a response begins.
type panickingWriter struct{ http.ResponseWriter }

func (w panickingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (panickingWriter) WriteHeader(int) { panic(http.ErrAbortHandler) }

// Guards against a panic while a response is forwarded that leaves the slot of the endpoint
// occupied, so that it gets no further requests.
func TestPanicWhileForwardingReleasesTheSlot(t *testing.T) {
	s := newSettings(startEndpoint(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("body"))
	})))
	s.wrapHandler = func(chain http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Panics") != "" {
				w = panickingWriter{w}
			}
			chain.ServeHTTP(w, r)
		})
	}
	v := startVM(t, s)
	for range 2 * s.slots {
		call := newCall(t, http.MethodPost, nil)
		call.Header.Set("Panics", "yes")
		call.Header.Set("Daisy-Timeout", "5s")
		_, err := v.client(t, daisyservice.HTTP1).RoundTrip(call)
		assert.Check(t, err != nil)
	}
	assert.Equal(t, v.inFlight(), 0)
	assert.Equal(t, roundTrip(t, v.client(t, daisyservice.HTTP1), newCall(t, http.MethodPost, nil)), served)
}
