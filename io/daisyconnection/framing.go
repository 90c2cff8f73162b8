package daisyconnection

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"sync"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyresponse"
)

// checkFraming fails with daisyresponse.MalformedFraming if the end of response cannot be
// known for certain.
//
// net/http reads a response with any version in its status line by the rules of HTTP/1.1.
// Minor versions above 1 have the same ones (RFC 9110, section 2.5). HTTP/1.0 has no
// transfer codings, so that the framing of a response with one is faulty (RFC 9112, section
// 6.1); net/http removes the field and takes the coded bytes for the body.
func (c *connection) checkFraming(response *http.Response) error {
	if c.endpoint.target.Protocol != daisyservice.HTTP1 {
		return nil
	}
	if response.ProtoMajor != 1 {
		return daisyresponse.MalformedFraming.New("%s in the status line", response.Proto)
	}
	if response.ProtoMinor == 0 {
		return c.socket.head.checkTransferEncoding()
	}
	return nil
}

const (
	// http10Prefix is how an HTTP/1.0 response begins.
	http10Prefix = "HTTP/1.0"
	// emptyLine ends a header. Lines may also end without a carriage return.
	emptyLine, bareEmptyLine = "\n\r\n", "\n\n"
)

// http10Head records the header of a response in HTTP/1.0. It records nothing of others.
type http10Head struct {
	mu sync.Mutex
	// skip is set while the bytes that arrive are not part of such a header.
	skip     bool
	recorded []byte
}

// begin prepares for the next response on a connection.
func (h *http10Head) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.skip, h.recorded = false, nil
}

// receive records p, which has arrived on the connection.
func (h *http10Head) receive(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.skip || len(p) == 0 {
		return
	}
	if len(h.recorded) == 0 && !isPrefix(p, http10Prefix) {
		h.skip = true
		return
	}
	// The empty line behind the header may have begun with the last bytes.
	searched := max(len(h.recorded)-len(emptyLine)+1, 0)
	h.recorded = append(h.recorded, p...)
	added := h.recorded[searched:]
	h.skip = !isPrefix(h.recorded, http10Prefix) || bytes.Contains(added, []byte(emptyLine)) || bytes.Contains(added, []byte(bareEmptyLine))
}

// isPrefix reports whether one of p and prefix begins with the other.
func isPrefix(p []byte, prefix string) bool {
	n := min(len(p), len(prefix))
	return string(p[:n]) == prefix[:n]
}

// checkTransferEncoding fails with daisyresponse.MalformedFraming unless the recorded header
// has no field Transfer-Encoding.
func (h *http10Head) checkTransferEncoding() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(h.recorded)))
	h.skip, h.recorded = true, nil
	if _, err := reader.ReadLine(); err != nil {
		// An interim response, which HTTP/1.0 does not have, came before.
		return daisyresponse.MalformedFraming.New("HTTP/1.0 behind a response in another version")
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return daisyresponse.MalformedFraming.Wrap(err, "header in HTTP/1.0")
	}
	if coding, ok := header["Transfer-Encoding"]; ok {
		return daisyresponse.MalformedFraming.New("transfer coding %q in HTTP/1.0", coding)
	}
	return nil
}
