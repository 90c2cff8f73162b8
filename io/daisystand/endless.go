package daisystand

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
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
	*socketServer
	endless Endless
	// sent counts the bytes of all answers, and broken the connections that have broken.
	sent, broken atomic.Int64
}

// endlessWriteBytes is the least number of bytes of one write without a pause.
const endlessWriteBytes = 8 << 10

// NewEndlessServer returns a server that answers on the listener until Close.
func NewEndlessServer(listener net.Listener, endless Endless) *EndlessServer {
	if endless.Pause == 0 {
		endless.Filler = strings.Repeat(endless.Filler, 1+endlessWriteBytes/len(endless.Filler))
	}
	s := &EndlessServer{endless: endless}
	s.socketServer = newSocketServer(listener, s.serve)
	return s
}

// ListenEndless returns an EndlessServer on a free port of the loopback interface. It
// fails with daisyerror.Unavailable.
func ListenEndless(endless Endless) (*EndlessServer, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	return NewEndlessServer(listener, endless), nil
}

// Sent returns the number of bytes that were sent.
func (s *EndlessServer) Sent() int64 { return s.sent.Load() }

// Broken returns the number of connections that have broken while they were written to.
func (s *EndlessServer) Broken() int64 { return s.broken.Load() }

func (s *EndlessServer) serve(c net.Conn) {
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
