package daisyconnection

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connect returns a socket and its peer.
func connect(t *testing.T) (*socket, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	result := &dialResult{}
	_, err = dialSocket(context.WithValue(t.Context(), dialResultKey{}, result), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = result.socket.Close() })
	peer, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	return result.socket, peer.(*net.TCPConn)
}

// writeUntilFailed writes until the connection has failed.
func writeUntilFailed(t *testing.T, s *socket) {
	t.Helper()
	assert.NilError(t, s.SetWriteDeadline(time.Now().Add(10*time.Second)))
	for {
		if _, err := s.Write(make([]byte, 1024)); err != nil {
			assert.Assert(t, closedByEndpoint(err), "%v", err)
			return
		}
	}
}

// Guards against a reset that a write was told of and that a read then takes for the end of
// a complete response.
func TestReadFailsAfterAResetThatAWriteReported(t *testing.T) {
	s, peer := connect(t)
	_, err := io.WriteString(peer, "part")
	assert.NilError(t, err)
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
	writeUntilFailed(t, s)
	_, err = io.ReadAll(s)
	assert.Check(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	assert.Check(t, closedByEndpoint(err), "%v", err)
}

// Guards against the same if the kernel cannot tell how a connection ended.
func TestReadFailsAfterAFailedWriteOnAnUnknownConnection(t *testing.T) {
	s := &socket{Conn: brokenConn{}}
	_, err := s.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	_, err = s.Write(make([]byte, 1))
	assert.Equal(t, err, error(syscall.ECONNRESET))
	_, err = s.Read(make([]byte, 1))
	assert.Check(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// brokenConn is a connection whose writes got the report of its reset.
type brokenConn struct{ net.Conn }

func (brokenConn) Read([]byte) (int, error) { return 0, io.EOF }

func (brokenConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// Guards against a reset that is reported although the peer ended the connection in order,
// while a write waits because the peer does not read.
func TestReadEndsInOrderDuringAWrite(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("only Linux tells how a connection ended")
	}
	s, peer := connect(t)
	var writer sync.WaitGroup
	defer writer.Wait()
	writer.Go(func() { _, _ = s.Write(make([]byte, 64<<20)) })
	defer func() { _ = s.Close() }()
	_, err := io.WriteString(peer, "whole")
	assert.NilError(t, err)
	assert.NilError(t, peer.CloseWrite())
	body, err := io.ReadAll(s)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
}
