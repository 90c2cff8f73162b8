package daisypeer

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"daisyyoke/core/daisymessage"
)

// FrameSize returns the size of a message on a link in bytes, including its length prefix
// but not the overhead of yamux, TLS and TCP.
func FrameSize(message daisymessage.Message) int {
	n := proto.Size(new(encoder).encode(time.Time{}, message))
	return protowire.SizeBytes(n)
}
