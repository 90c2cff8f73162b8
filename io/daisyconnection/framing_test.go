package daisyconnection

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a transfer coding of an HTTP/1.0 response that is missed because its header
// arrives in parts, has bare line ends, or follows another response on the connection.
func TestTransferEncodingInHTTP10IsFound(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"
	cases := []struct {
		text  string
		valid bool
	}{
		{head + "\r\nbody", true},
		{head + "\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{head + "X: Transfer-Encoding: chunked\r\n\r\n", true},
		{head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody", false},
		{head + "TRANSFER-encoding: identity\r\n\r\nbody", false},
		{strings.ReplaceAll(head, "\r\n", "\n") + "Transfer-Encoding: chunked\n\nbody", false},
		{strings.ReplaceAll(head, "\r\n", "\n") + "\nTransfer-Encoding: chunked\n\n", true},
		{"HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n", false},
	}
	for _, size := range []int{1, 2, 3, 7, 16, 1024} {
		var h http10Head
		for _, c := range cases {
			h.begin()
			for rest := c.text; rest != ""; {
				n := min(size, len(rest))
				h.receive([]byte(rest[:n]))
				rest = rest[n:]
			}
			err := h.checkTransferEncoding()
			assert.Check(t, (err == nil) == c.valid, "%q in parts of %d bytes: %v", c.text, size, err)
		}
	}
}
