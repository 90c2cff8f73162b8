package daisypeer_test

import (
	"errors"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a link whose other side sends bytes without end that are no messages: it
// has to be closed, and other links go on.
func TestEndlessBytesFromAPeerCloseTheLink(t *testing.T) {
	a, b := startNode(t, "vm-1", 1), startNode(t, "vm-2", 1)
	a.links.Connect(b.vm)
	assert.Equal(t, (<-a.inbox.opened).Name, b.vm.Name)
	for name, text := range map[string]string{
		"no frame":   "x",
		"zeros":      "\x00",
		"long frame": "\xff\xff\xff\x7f",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", a.vm.Peers.String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
			part := []byte(strings.Repeat(text, 16<<10))
			sent := 0
			for err == nil {
				var n int
				n, err = c.Write(part)
				sent += n
			}
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the link was not closed after %d bytes", sent)
			assert.Check(t, sent < 32<<20, "%d bytes were read", sent)
		})
	}
}
