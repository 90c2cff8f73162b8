package daisypeer

import (
	"encoding/binary"
	"net"
	"time"
)

// Of a yamux header (version 0): its size, where its type and its length are, and the type of data.
const (
	yamuxHeaderSize   = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// sessionConn is the connection under a session. It writes the header of a data
// frame, which yamux hands over alone, together with the body that follows, so
// that a message takes one segment and one TLS record; it bounds the time that
// a write takes, and counts bytes. One goroutine writes and one reads.
type sessionConn struct {
	net.Conn
	counts *counts
	// held is a header whose body has not come yet, or nothing.
	held []byte
}

// Write holds the header of a data frame up until the next call.
func (c *sessionConn) Write(p []byte) (int, error) {
	if len(c.held) == 0 && isDataHeader(p) {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, Broken.Wrap(err, "deadline")
	}
	if len(c.held) == 0 {
		n, err := c.Conn.Write(p)
		c.counts.bytesSent.Add(uint64(n))
		return n, err
	}
	c.held = append(c.held, p...)
	n, err := c.Conn.Write(c.held)
	c.counts.bytesSent.Add(uint64(n))
	c.held = c.held[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// Read counts what it reads.
func (c *sessionConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counts.bytesReceived.Add(uint64(n))
	return n, err
}

func isDataHeader(p []byte) bool {
	return len(p) == yamuxHeaderSize && p[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0
}
