package daisyconnection_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"gotest.tools/v3/assert"
)

// scriptedEndpoint is an endpoint that reads and writes the socket directly. It
// responds to the first request, fails on the second one at the given point, and
// counts the requests that it receives.
type scriptedEndpoint struct {
	listener net.Listener
	serve    func(*scriptedEndpoint, net.Conn)
	point    failurePoint
	requests atomic.Int32
	wg       sync.WaitGroup
}

type failurePoint int

const (
	atFirstByte failurePoint = iota
	afterRequest
	inResponseHeader
	goAway
	refusedStream
	internalError
	connectionReset
)

func newScriptedEndpoint(t *testing.T, serve func(*scriptedEndpoint, net.Conn), p failurePoint) *scriptedEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedEndpoint{listener: l, serve: serve, point: p}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() {
				defer c.Close()
				s.serve(s, c)
			})
		}
	})
	return s
}

func (s *scriptedEndpoint) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func (s *scriptedEndpoint) close() {
	_ = s.listener.Close()
	s.wg.Wait()
}

// reset closes a connection with a TCP RST.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func serveHTTP1(s *scriptedEndpoint, c net.Conn) {
	r := bufio.NewReader(c)
	for {
		if _, err := r.ReadByte(); err != nil {
			return
		}
		n := s.requests.Add(1)
		if n == 2 && s.point == atFirstByte {
			reset(c)
			return
		}
		_ = r.UnreadByte()
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if n == 2 && s.point == afterRequest {
			return
		}
		if n == 2 && s.point == inResponseHeader {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func serveHTTP2(s *scriptedEndpoint, c net.Conn) {
	if _, err := io.CopyN(io.Discard, c, int64(len(http2.ClientPreface))); err != nil {
		return
	}
	f := http2.NewFramer(c, c)
	_ = f.WriteSettings()
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return
		}
		switch x := frame.(type) {
		case *http2.SettingsFrame:
			if !x.IsAck() {
				_ = f.WriteSettingsAck()
			}
		case *http2.HeadersFrame:
			if !s.respondHTTP2(f, c, x.StreamID) {
				return
			}
		}
	}
}

func (s *scriptedEndpoint) respondHTTP2(f *http2.Framer, c net.Conn, stream uint32) (keepOpen bool) {
	if s.requests.Add(1) != 2 {
		var header bytes.Buffer
		_ = hpack.NewEncoder(&header).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
		_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: header.Bytes(), EndHeaders: true, EndStream: true})
		return true
	}
	switch s.point {
	case goAway:
		_ = f.WriteGoAway(stream-2, http2.ErrCodeNo, nil)
	case refusedStream:
		_ = f.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
	case internalError:
		_ = f.WriteRSTStream(stream, http2.ErrCodeInternal)
	case connectionReset:
		reset(c)
		return false
	}
	return true
}
