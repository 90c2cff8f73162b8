package daisypeer

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"daisyyoke/core/daisymessage"
)

// FrameSize gives the bytes that a message takes on a link, without what the
// session and TCP add.
func FrameSize(message daisymessage.Message) int {
	n := proto.Size(new(encoder).encode(time.Time{}, message))
	return protowire.SizeBytes(n)
}
