package daisypeer

import (
	"encoding/binary"
	"io"
	"net"
	"time"
)

// The layout of a yamux header of version 0: its size, the offsets of its type and its
// length, and the type of a data frame.
const (
	yamuxHeaderSize   = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// sessionConn is the connection under a yamux session. yamux writes the header and the
// body of a data frame separately; sessionConn joins them, so that a message takes one
// TCP segment and one TLS record. It also sets a deadline for each write and counts
// bytes. At most one goroutine may write, and one may read.
type sessionConn struct {
	net.Conn
	counters *counters
	// onFailure is called before yamux learns of the failure of a read or a write and closes
	// the session by itself; see streamUsers.
	onFailure func(error)
	// pendingHeader is the header of a data frame whose body has not been written yet, or
	// empty.
	pendingHeader []byte
}

// Write buffers the header of a data frame until the next call, which passes the body.
func (c *sessionConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 && isDataHeader(p) {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, Broken.Wrap(err, "deadline")
	}
	if len(c.pendingHeader) == 0 {
		return c.write(p)
	}
	c.pendingHeader = append(c.pendingHeader, p...)
	_, err := c.write(c.pendingHeader)
	c.pendingHeader = c.pendingHeader[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *sessionConn) write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesSent.Add(uint64(n))
	if err != nil {
		c.onFailure(Broken.Wrap(err, "write"))
	}
	return n, err
}

// Read counts the bytes that it reads.
func (c *sessionConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesReceived.Add(uint64(n))
	switch {
	case err == io.EOF:
		c.onFailure(Broken.New("connection closed by peer"))
	case err != nil:
		c.onFailure(Broken.Wrap(err, "read"))
	}
	return n, err
}

func isDataHeader(p []byte) bool {
	return len(p) == yamuxHeaderSize && p[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0
}
