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

// scripted is an endpoint at the level of the socket. It answers the first
// request, breaks on the second as its script says, and counts what arrives.
type scripted struct {
	listener net.Listener
	serve    func(*scripted, net.Conn)
	point    point
	arrived  atomic.Int32
	ended    sync.WaitGroup
}

type point int

const (
	asWritten point = iota
	afterRequest
	inHeader
	goAway
	refusedStream
	internalError
	inStream
)

func newScripted(t *testing.T, serve func(*scripted, net.Conn), p point) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scripted{listener: l, serve: serve, point: p}
	s.ended.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.ended.Go(func() {
				defer c.Close()
				s.serve(s, c)
			})
		}
	})
	return s
}

func (s *scripted) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func (s *scripted) close() {
	_ = s.listener.Close()
	s.ended.Wait()
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func serveHTTP1(s *scripted, c net.Conn) {
	r := bufio.NewReader(c)
	for {
		if _, err := r.ReadByte(); err != nil {
			return
		}
		n := s.arrived.Add(1)
		if n == 2 && s.point == asWritten {
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
		if n == 2 && s.point == inHeader {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func serveHTTP2(s *scripted, c net.Conn) {
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
			if !s.answerHTTP2(f, c, x.StreamID) {
				return
			}
		}
	}
}

func (s *scripted) answerHTTP2(f *http2.Framer, c net.Conn, stream uint32) (goOn bool) {
	if s.arrived.Add(1) != 2 {
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
	case inStream:
		reset(c)
		return false
	}
	return true
}
