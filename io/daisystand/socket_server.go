package daisystand

import (
	"net"
	"net/netip"
	"sync"

	"daisyyoke/core/daisyerror"
)

// socketServer passes each connection of a listener to a function.
type socketServer struct {
	listener net.Listener
	serve    func(net.Conn)

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	closed      bool
	running     sync.WaitGroup
}

// newSocketServer returns a server on the listener. It closes a connection when serve
// returns.
func newSocketServer(listener net.Listener, serve func(net.Conn)) *socketServer {
	s := &socketServer{listener: listener, serve: serve, connections: make(map[net.Conn]struct{})}
	s.running.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if s.track(c) {
				s.running.Go(func() {
					defer s.untrack(c)
					s.serve(c)
				})
			}
		}
	})
	return s
}

// listenLoopback listens on a free port of the loopback interface. It fails with
// daisyerror.Unavailable.
func listenLoopback() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, daisyerror.Unavailable.Wrap(err, "cannot listen")
	}
	return listener, nil
}

// Address returns the address of the listener.
func (s *socketServer) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Close closes all connections and waits for them.
func (s *socketServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.connections {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// track registers a connection, or closes it if the server is closed.
func (s *socketServer) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

func (s *socketServer) untrack(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}
