package daisyforward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
)

// crashingEndpoint is an endpoint whose process ends when it begins to run a poisonous
// request: nothing listens at its address any more, and all its connections end.
type crashingEndpoint struct {
	listener net.Listener
	poisons  func(request *http.Request, body string) bool
	crashes  *atomic.Int32
	wg       sync.WaitGroup

	mu          sync.Mutex
	connections []net.Conn
}

func startCrashingEndpoint(t *testing.T, crashes *atomic.Int32, poisons func(*http.Request, string) bool) netip.AddrPort {
	t.Helper()
	e := &crashingEndpoint{listener: listen(t), poisons: poisons, crashes: crashes}
	e.wg.Go(func() {
		for {
			c, err := e.listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.connections = append(e.connections, c)
			e.mu.Unlock()
			e.wg.Go(func() { e.serve(c) })
		}
	})
	t.Cleanup(e.wg.Wait)
	t.Cleanup(e.end)
	return netip.MustParseAddrPort(e.listener.Addr().String())
}

// end ends the process of the endpoint.
func (e *crashingEndpoint) end() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.connections {
		_ = c.Close()
	}
}

func (e *crashingEndpoint) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		if e.poisons(request, string(body)) {
			e.crashes.Add(1)
			e.end()
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
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
