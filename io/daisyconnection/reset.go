package daisyconnection

import (
	"io"
	"net"
	"os"
	"syscall"
)

// Read reads from the connection. It fails with syscall.ECONNRESET instead of io.EOF if the
// connection may have been reset.
//
// The kernel reports a reset to one system call only, and afterwards reads return the end
// of the connection. If a write of the request gets the report, a response without a length
// that broke off would look complete.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.head.receive(p[:n])
	if err == io.EOF && s.writesUnfinished.Load() > 0 && !closedInOrder(s.Conn) {
		return n, errReset
	}
	return n, err
}

// errReset is the error of a read after a write that got the report of a reset, or that may
// be getting it. It is the error that the read would have got instead.
var errReset = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
