package daisypeer

import (
	"encoding/binary"
	"errors"
	"io"
	"net"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// The maximum lengths of a frame in bytes, without its length prefix.
const (
	maxHelloFrame  = 4 << 10
	maxUrgentFrame = 256 << 10
	maxBulkFrame   = 16 << 20
)

// appendFrame appends a message, preceded by its length as a varint. It fails with
// Oversized, or with Malformed if the message cannot be encoded, and then returns the
// buffer without the message.
func appendFrame(buffer []byte, message proto.Message, limit int) ([]byte, error) {
	size := proto.Size(message)
	if size > limit {
		return buffer, Oversized.New("frame of %d bytes, limit %d", size, limit)
	}
	start := len(buffer)
	buffer = binary.AppendUvarint(buffer, uint64(size))
	buffer, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, message)
	if err != nil {
		return buffer[:start], Malformed.Wrap(err, "cannot encode message")
	}
	return buffer, nil
}

type byteReader interface {
	io.Reader
	io.ByteReader
}

// frameReader reads frames into a buffer that it reuses.
type frameReader struct {
	reader byteReader
	limit  int
	buffer []byte
}

// bufferGrowthBytes is the amount by which the buffer grows at a time, so that an invalid
// length prefix does not cause a large allocation.
const bufferGrowthBytes = 64 << 10

// next returns the next frame, which is valid until the next call. It fails with Oversized,
// with Malformed if the length is invalid or the frame is truncated, with Broken if the
// connection is lost, and with io.EOF if the stream ends between two frames.
func (f *frameReader) next() ([]byte, error) {
	size, err := binary.ReadUvarint(f.reader)
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, wrapReadError(err)
	}
	if size > uint64(f.limit) {
		return nil, Oversized.New("frame of %d bytes, limit %d", size, f.limit)
	}
	f.buffer = f.buffer[:0]
	for len(f.buffer) < int(size) {
		start := len(f.buffer)
		f.buffer = append(f.buffer, make([]byte, min(bufferGrowthBytes, int(size)-start))...)
		if _, err := io.ReadFull(f.reader, f.buffer[start:]); err != nil {
			return nil, wrapReadError(err)
		}
	}
	return f.buffer, nil
}

// wrapReadError returns Broken for errors of the connection, and Malformed for all others.
func wrapReadError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) {
		return Broken.Wrap(err, "connection lost while reading a frame")
	}
	for _, b := range []error{net.ErrClosed, yamux.ErrSessionShutdown, yamux.ErrConnectionReset, yamux.ErrStreamClosed} {
		if errors.Is(err, b) {
			return Broken.Wrap(err, "connection lost while reading a frame")
		}
	}
	return Malformed.Wrap(err, "frame truncated or length prefix invalid")
}
