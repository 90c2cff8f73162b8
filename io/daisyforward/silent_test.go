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

// severedEndpoint answers requests. Connections that are open when it is severed stay open
// and go silent for good.
type severedEndpoint struct {
	mu sync.Mutex
	// silent has the open connections, and whether they are silent.
	silent map[net.Conn]bool
	// swallowed counts the requests that arrived on silent connections.
	swallowed atomic.Int32
}

func startSeveredEndpoint(t *testing.T) (*severedEndpoint, netip.AddrPort) {
	t.Helper()
	e := &severedEndpoint{silent: make(map[net.Conn]bool)}
	return e, startRawEndpoint(t, func(_ *rawEndpoint, c net.Conn) { e.serve(c) })
}

func (e *severedEndpoint) serve(c net.Conn) {
	e.mu.Lock()
	e.silent[c] = false
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.silent, c)
		e.mu.Unlock()
	}()
	for r := bufio.NewReader(c); ; {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		e.mu.Lock()
		silent := e.silent[c]
		e.mu.Unlock()
		if silent {
			e.swallowed.Add(1)
			continue
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// sever makes the open connections silent, and returns their number.
func (e *severedEndpoint) sever() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.silent {
		e.silent[c] = true
	}
	return len(e.silent)
}

// Guards against connections to endpoints that go silent for good, without a reset, and are
// used again and again: each may cost one attempt, a request that is not idempotent is sent
// once, and its caller is told the truth when its time is over.
func TestSilentConnectionIsUsedOnce(t *testing.T) {
	const (
		warmUp   = 16
		requests = 60
		timeout  = "300ms"
	)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			first, firstAddress := startSeveredEndpoint(t)
			second, secondAddress := startSeveredEndpoint(t)
			v := startVM(t, newSettings(firstAddress, secondAddress))
			client := v.client(t, daisyservice.HTTP1)
			send := func() result {
				call := newCall(t, method, strings.NewReader("order"))
				call.Header.Set("Daisy-Timeout", timeout)
				return roundTrip(t, client, call)
			}
			var wg sync.WaitGroup
			for range warmUp {
				wg.Go(func() { assert.Check(t, send().status == http.StatusOK) })
			}
			wg.Wait()
			severed := first.sever() + second.sever()
			assert.Assert(t, severed > 0)
			failures := 0
			for range requests {
				if got := send(); got != served {
					assert.Equal(t, got, result{status: 504, run: "unknown", problem: true})
					failures++
				}
			}
			swallowed := int(first.swallowed.Load() + second.swallowed.Load())
			assert.Check(t, swallowed <= severed, "%d requests were sent on %d silent connections", swallowed, severed)
			assert.Check(t, failures <= swallowed, "%d requests failed, %d attempts were lost", failures, swallowed)
			waitFor(t, func() bool { return v.inFlight() == 0 })
		})
	}
}
