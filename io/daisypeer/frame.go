package daisypeer

import (
	"encoding/binary"
	"errors"
	"io"
	"net"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// Limits of a frame's length in bytes, without its prefix.
const (
	maxHelloFrame  = 4 << 10
	maxUrgentFrame = 256 << 10
	maxBulkFrame   = 16 << 20
)

// appendFrame appends a message with its length as a varint before it. It
// fails with Oversized and leaves the buffer as it was.
func appendFrame(buffer []byte, message proto.Message, limit int) ([]byte, error) {
	size := proto.Size(message)
	if size > limit {
		return buffer, Oversized.New("frame of %d bytes, limit %d", size, limit)
	}
	start := len(buffer)
	buffer = binary.AppendUvarint(buffer, uint64(size))
	buffer, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, message)
	if err != nil {
		return buffer[:start], Malformed.Wrap(err, "message cannot be encoded")
	}
	return buffer, nil
}

type byteReader interface {
	io.Reader
	io.ByteReader
}

// frameReader reads frames; it reuses its buffer.
type frameReader struct {
	reader byteReader
	limit  int
	buffer []byte
}

// readGrowth is how much room is made at a time, so that a false length costs no memory.
const readGrowth = 64 << 10

// next gives the next frame, valid until the next call. It fails with Oversized,
// with Malformed for a cut frame, with Broken, and with io.EOF at a clean end.
func (f *frameReader) next() ([]byte, error) {
	size, err := binary.ReadUvarint(f.reader)
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, readFault(err)
	}
	if size > uint64(f.limit) {
		return nil, Oversized.New("frame of %d bytes, limit %d", size, f.limit)
	}
	f.buffer = f.buffer[:0]
	for len(f.buffer) < int(size) {
		start := len(f.buffer)
		f.buffer = append(f.buffer, make([]byte, min(readGrowth, int(size)-start))...)
		if _, err := io.ReadFull(f.reader, f.buffer[start:]); err != nil {
			return nil, readFault(err)
		}
	}
	return f.buffer, nil
}

func readFault(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) {
		return Broken.Wrap(err, "connection lost within a frame")
	}
	for _, b := range []error{net.ErrClosed, yamux.ErrSessionShutdown, yamux.ErrConnectionReset, yamux.ErrStreamClosed} {
		if errors.Is(err, b) {
			return Broken.Wrap(err, "connection lost within a frame")
		}
	}
	return Malformed.Wrap(err, "frame cut short or its length too long")
}
