package daisystand

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"daisyyoke/core/daisyerror"
)

// Endless is what an EndlessServer sends: a prefix, and then the filler until the
// connection breaks.
type Endless struct {
	Prefix, Filler string
	// Pause is the time between two writes of the filler; 0 writes as fast as possible.
	Pause time.Duration
	// Early is set if the answer begins before the body of the request was read.
	Early bool
}

// EndlessServer simulates a server whose answers never end. It does not answer further
// requests on a connection.
type EndlessServer struct {
	endless  Endless
	listener net.Listener
	// sent counts the bytes of all answers, and broken the connections that have broken.
	sent, broken atomic.Int64

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	closed      bool
	running     sync.WaitGroup
}

// endlessWriteBytes is the least number of bytes of one write without a pause.
const endlessWriteBytes = 8 << 10

// NewEndlessServer returns a server that answers on the listener until Close.
func NewEndlessServer(listener net.Listener, endless Endless) *EndlessServer {
	if endless.Pause == 0 {
		endless.Filler = strings.Repeat(endless.Filler, 1+endlessWriteBytes/len(endless.Filler))
	}
	s := &EndlessServer{endless: endless, listener: listener, connections: make(map[net.Conn]struct{})}
	s.running.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if s.track(c) {
				s.running.Go(func() { s.serve(c) })
			}
		}
	})
	return s
}

// ListenEndless returns an EndlessServer on a free port of the loopback interface. It
// fails with daisyerror.Unavailable.
func ListenEndless(endless Endless) (*EndlessServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, daisyerror.Unavailable.Wrap(err, "cannot listen")
	}
	return NewEndlessServer(listener, endless), nil
}

// Address returns the address of the listener.
func (s *EndlessServer) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Sent returns the number of bytes that were sent.
func (s *EndlessServer) Sent() int64 { return s.sent.Load() }

// Broken returns the number of connections that have broken while they were written to.
func (s *EndlessServer) Broken() int64 { return s.broken.Load() }

// Close closes all connections and waits for them.
func (s *EndlessServer) Close() {
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
func (s *EndlessServer) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

func (s *EndlessServer) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	}()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if !s.endless.Early {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
	for text := s.endless.Prefix; ; text = s.endless.Filler {
		n, err := io.WriteString(c, text)
		s.sent.Add(int64(n))
		if err != nil {
			s.broken.Add(1)
			return
		}
		time.Sleep(s.endless.Pause)
	}
}
