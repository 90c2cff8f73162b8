package daisystand

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Script is what a ScriptServer sends in response to each request, whether it is valid HTTP
// or not.
type Script struct {
	Response string
	// Early is set if the response begins before the body of the request was read.
	Early bool
	// Ending is what happens to the connection after the response and Pause.
	Ending Ending
	Pause  time.Duration
}

// Ending is what happens to a connection after a response.
type Ending int

const (
	// KeepAlive leaves the connection open for further requests.
	KeepAlive Ending = iota
	// CloseConnection ends the connection in order: the response is complete.
	CloseConnection
	// ResetConnection resets the connection.
	ResetConnection
)

// ScriptServer simulates a server in trouble that sends the same bytes in response to each
// request.
type ScriptServer struct {
	*socketServer
	script Script
	// reused counts the requests that arrived behind another one on their connection.
	reused atomic.Int64
}

// NewScriptServer returns a server that responds on the listener until Close.
func NewScriptServer(listener net.Listener, script Script) *ScriptServer {
	s := &ScriptServer{script: script}
	s.socketServer = newSocketServer(listener, s.serve)
	return s
}

// ListenScript returns a ScriptServer on a free port of the loopback interface. It fails
// with daisyerror.Unavailable.
func ListenScript(script Script) (*ScriptServer, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	return NewScriptServer(listener, script), nil
}

// Reused returns the number of requests that arrived behind another one on their connection.
func (s *ScriptServer) Reused() int64 { return s.reused.Load() }

func (s *ScriptServer) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if n > 0 {
			s.reused.Add(1)
		}
		if !s.script.Early {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		if _, err := io.WriteString(c, s.script.Response); err != nil {
			return
		}
		time.Sleep(s.script.Pause)
		switch s.script.Ending {
		case KeepAlive:
			continue
		case CloseConnection:
			endInOrder(c, r)
		case ResetConnection:
			resetOnClose(c)
		}
		return
	}
}

// endInOrder tells the peer that nothing follows, and reads what the peer still sends: to
// close a connection with unread bytes resets it.
func endInOrder(c net.Conn, r io.Reader) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, r)
}

// resetOnClose makes the following Close reset the connection.
func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}
