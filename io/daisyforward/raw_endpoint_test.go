package daisyforward_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"
)

// rawEndpoint is an endpoint on a raw socket, whose responses need not follow HTTP.
type rawEndpoint struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu          sync.Mutex
	connections []net.Conn
}

// startRawEndpoint starts an endpoint that passes each connection to serve, and closes the
// connection when serve returns.
func startRawEndpoint(t *testing.T, serve func(e *rawEndpoint, c net.Conn)) netip.AddrPort {
	t.Helper()
	e := &rawEndpoint{listener: listen(t)}
	e.wg.Go(func() {
		for {
			c, err := e.listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.connections = append(e.connections, c)
			e.mu.Unlock()
			e.wg.Go(func() {
				defer c.Close()
				serve(e, c)
			})
		}
	})
	t.Cleanup(e.wg.Wait)
	t.Cleanup(func() { _ = e.listener.Close() })
	return netip.MustParseAddrPort(e.listener.Addr().String())
}

// crash ends the endpoint as if its process had ended: nothing listens at its address any
// more, and all its connections are closed.
func (e *rawEndpoint) crash() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.connections {
		_ = c.Close()
	}
}
