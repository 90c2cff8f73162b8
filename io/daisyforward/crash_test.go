package daisyforward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
)

// startCrashingEndpoint starts an endpoint that crashes when it begins to run a poisonous
// request.
func startCrashingEndpoint(t *testing.T, crashes *atomic.Int32, poisons func(request *http.Request, body string) bool) netip.AddrPort {
	t.Helper()
	return startRawEndpoint(t, func(e *rawEndpoint, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(request.Body)
			if poisons(request, string(body)) {
				crashes.Add(1)
				e.crash()
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
}

const (
	// crashesToQuarantine is the number of endpoints after which a request is known to
	// crash them, and retriesAfter that of its retries that may still reach endpoints.
	crashesToQuarantine = 3
	retriesAfter        = 3
	crashingEndpoints   = 12
	// manyTimes is how often a caller sends its request again.
	manyTimes = 40
)

// Guards against a request that crashes one endpoint after another when its callers send it
// again, and against other requests that are refused for it.
func TestRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	cases := []struct{ name, method, poison, sound string }{
		{"idempotent without body", http.MethodGet, "", ""},
		{"idempotent with body", http.MethodPut, "poison", "sound"},
		{"not idempotent", http.MethodPost, "poison", "sound"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var crashes atomic.Int32
			poisons := func(r *http.Request, body string) bool {
				return r.URL.Path == "/poison" && body == c.poison
			}
			var endpoints []netip.AddrPort
			for range crashingEndpoints {
				endpoints = append(endpoints, startCrashingEndpoint(t, &crashes, poisons))
			}
			v := startVM(t, newSettings(endpoints...))
			call := func(path, body string) result {
				r := newCall(t, c.method, strings.NewReader(body))
				if body == "" {
					r.Body = nil
				}
				r.URL.Path = path
				return roundTrip(t, v.client(t, daisyservice.HTTP1), r)
			}
			var last result
			for range manyTimes {
				last = call("/poison", c.poison)
			}
			assert.Assert(t, crashes.Load() >= crashesToQuarantine)
			assert.Assert(t, crashes.Load() <= crashesToQuarantine+retriesAfter, "%d endpoints crashed", crashes.Load())
			assert.Equal(t, last, result{status: http.StatusServiceUnavailable, run: "not-run", retryAfter: true, problem: true})
			assert.Equal(t, call("/poison", c.sound).status == http.StatusOK, c.sound != c.poison)
			assert.Equal(t, call("/other", c.poison), served)
		})
	}
}
