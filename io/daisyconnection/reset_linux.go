package daisyconnection

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a connection whose peer has ended its side in order
// (TCP_CLOSE_WAIT in linux/tcp_states.h). A reset takes the connection out of it.
const tcpCloseWait = 8

// closedInOrder reports whether the kernel knows that all bytes of the peer have arrived
// and that it sends no more. It returns false if the kernel does not say.
func closedInOrder(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	inOrder := false
	// It fails if the connection was closed in the meantime.
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		inOrder = err == nil && info.State == tcpCloseWait
	})
	return err == nil && inOrder
}
