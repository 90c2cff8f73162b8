package daisycaller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyresponse"
)

const (
	// maxBufferedBytes is the size at which a response that is waiting for the preceding
	// responses blocks its handler.
	maxBufferedBytes = 256 << 10
	// writeThresholdBytes is the size at which buffered data is written to the connection.
	writeThresholdBytes = 16 << 10
)

var errWriteFailed = daisyerror.Unavailable.New("writing to the caller failed")

// responseWriter is the http.ResponseWriter of one request on a connection. Responses are
// written in the order of their requests.
type responseWriter struct {
	connection *connection
	request    *http.Request
	// streamsBody is true if the handler reads the request body from the connection, and
	// false if the body was buffered.
	streamsBody bool
	header      http.Header
	// precedingDone is closed when the preceding responses are complete.
	precedingDone chan struct{}
	// finished is closed when the handler has returned and the response was sent or aborted.
	finished chan struct{}
	// closesConnection is true if the connection is closed after this response.
	closesConnection bool

	status int
	// headerWritten is true once the header was appended to sendBuffer.
	headerWritten bool
	chunked       bool
	// bodyBuffer is the body that was written before the header; sendBuffer is what the
	// next send writes to the connection.
	bodyBuffer bytes.Buffer
	sendBuffer bytes.Buffer
	err        error
}

func newResponseWriter(c *connection, request *http.Request, streamsBody bool) *responseWriter {
	return &responseWriter{
		connection:    c,
		request:       request,
		streamsBody:   streamsBody,
		header:        make(http.Header),
		precedingDone: make(chan struct{}),
		finished:      make(chan struct{}),
	}
}

// serve runs the handler and sends its response. If the handler aborts, it closes the
// connection.
func (w *responseWriter) serve(handler http.Handler) {
	defer close(w.finished)
	aborted := w.callHandler(handler)
	if !aborted {
		w.complete()
	}
	w.awaitPreceding()
	if !aborted && w.err == nil {
		w.send()
	}
	w.connection.finish(w, aborted || w.err != nil)
}

// callHandler runs the handler and reports whether it aborted. Any panic aborts only this
// request and those behind it on its connection; one that is a bug is logged.
func (w *responseWriter) callHandler(handler http.Handler) (aborted bool) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			w.connection.pipeline.logger.Error("handler of a request panicked", "host", w.request.Host, "path", w.request.URL.Path,
				"cause", fmt.Sprint(v), "stack", string(debug.Stack()))
		}
		aborted = true
	}()
	handler.ServeHTTP(w, w.request)
	return false
}

// bodyConsumed reports whether the handler has read a streamed body to its end, so that
// the connection can carry another request.
func (w *responseWriter) bodyConsumed() bool {
	n, err := w.request.Body.Read(make([]byte, 1))
	return n == 0 && errors.Is(err, io.EOF)
}

// Header returns the response header. After the header was written, only changes of
// trailers have an effect.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader sets the status. An interim (1xx) response is sent without waiting for the
// final one. Like that of net/http, it panics if the status does not have three digits.
func (w *responseWriter) WriteHeader(status int) {
	if !daisyresponse.ValidStatus(status) {
		panic(fmt.Sprintf("invalid status code %d", status))
	}
	if status >= 100 && status < 200 {
		w.writeInterim(status)
		return
	}
	if w.status == 0 {
		w.status = status
	}
}

func (w *responseWriter) writeInterim(status int) {
	if w.headerWritten || !w.request.ProtoAtLeast(1, 1) {
		return
	}
	fmt.Fprintf(&w.sendBuffer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = w.header.Write(&w.sendBuffer)
	w.sendBuffer.WriteString("\r\n")
	w.trySend(true)
}

// Write appends to the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	if !w.headerWritten {
		w.bodyBuffer.Write(p)
		if w.header.Get("Content-Length") == "" && w.bodyBuffer.Len() < writeThresholdBytes {
			return len(p), nil
		}
		w.appendHeader()
		return len(p), w.trySend(false)
	}
	w.appendBody(p)
	return len(p), w.trySend(false)
}

// appendBody appends a part of the body to sendBuffer, as a chunk if the response is
// chunked.
func (w *responseWriter) appendBody(p []byte) {
	if len(p) == 0 || !w.hasBody() {
		return
	}
	if !w.chunked {
		w.sendBuffer.Write(p)
		return
	}
	cw := httputil.NewChunkedWriter(&w.sendBuffer)
	_, _ = cw.Write(p)
}

func (w *responseWriter) hasBody() bool {
	return w.request.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// appendHeader appends the header to sendBuffer. A body without a Content-Length is
// chunked, or, for an HTTP/1.0 caller, delimited by the end of the connection.
func (w *responseWriter) appendHeader() {
	w.headerWritten = true
	c := w.connection
	if w.hasBody() && w.header.Get("Content-Length") == "" {
		w.chunked = w.request.ProtoAtLeast(1, 1)
		if w.chunked {
			w.header.Set("Transfer-Encoding", "chunked")
		}
	}
	closeRequested := strings.EqualFold(w.header.Get("Connection"), "close")
	if !w.closesConnection && (closeRequested || c.pipeline.leaving.Load()) {
		c.closeAfter(w)
	}
	w.header.Del("Connection")
	if w.closesConnection {
		w.header.Set("Connection", "close")
	}
	if _, ok := w.header["Date"]; !ok {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	fmt.Fprintf(&w.sendBuffer, "HTTP/1.1 %d %s\r\n", w.status, http.StatusText(w.status))
	_ = w.header.WriteSubset(&w.sendBuffer, excludedFields(w.header))
	w.sendBuffer.WriteString("\r\n")
	w.appendBody(w.bodyBuffer.Bytes())
	w.bodyBuffer.Reset()
}

// excludedFields returns the fields that are not part of the header: trailers, and
// fields without a value.
func excludedFields(h http.Header) map[string]bool {
	var fields map[string]bool
	for k := range h {
		if strings.HasPrefix(k, http.TrailerPrefix) || h[k] == nil {
			if fields == nil {
				fields = make(map[string]bool)
			}
			fields[k] = true
		}
	}
	return fields
}

// complete completes the response after its handler has returned: it appends the header
// if it was not written, and the last chunk and the trailers of a chunked body.
func (w *responseWriter) complete() {
	w.WriteHeader(http.StatusOK)
	if !w.headerWritten {
		if w.hasBody() && w.header.Get("Content-Length") == "" {
			w.header.Set("Content-Length", strconv.Itoa(w.bodyBuffer.Len()))
		}
		w.appendHeader()
	}
	if !w.chunked {
		return
	}
	w.sendBuffer.WriteString("0\r\n")
	for k, values := range w.header {
		if name, ok := strings.CutPrefix(k, http.TrailerPrefix); ok {
			// Write leaves out names that are not valid.
			_ = http.Header{name: values}.Write(&w.sendBuffer)
		}
	}
	w.sendBuffer.WriteString("\r\n")
}

// FlushError sends the buffered data if the preceding responses are complete; otherwise
// the data stays buffered.
func (w *responseWriter) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if !w.headerWritten {
		w.appendHeader()
	}
	return w.trySend(true)
}

// trySend sends the buffered data if the preceding responses are complete and either
// immediate is set or writeThresholdBytes is reached. If maxBufferedBytes is reached, it
// first waits for the preceding responses.
func (w *responseWriter) trySend(immediate bool) error {
	select {
	case <-w.precedingDone:
	default:
		if w.sendBuffer.Len() < maxBufferedBytes {
			return nil
		}
		w.awaitPreceding()
	}
	if immediate || w.sendBuffer.Len() >= writeThresholdBytes {
		w.send()
	}
	return w.err
}

// awaitPreceding waits until the preceding responses are complete. This ends at the latest
// when the caller disconnects, since that cancels their requests.
func (w *responseWriter) awaitPreceding() { <-w.precedingDone }

func (w *responseWriter) send() {
	if w.err != nil || w.sendBuffer.Len() == 0 {
		return
	}
	c := w.connection
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.pipeline.limits.Load().WriteTimeout))
	if _, err := c.conn.Write(w.sendBuffer.Bytes()); err != nil {
		w.err = errWriteFailed
	}
	w.sendBuffer.Reset()
}

// SetReadDeadline sets the deadline for reads of a streamed body. A buffered body is
// already in memory and needs none.
func (w *responseWriter) SetReadDeadline(deadline time.Time) error {
	if !w.streamsBody {
		return nil
	}
	return w.connection.conn.SetReadDeadline(deadline)
}

// SetWriteDeadline has no effect: every write has the write timeout of the connection.
func (w *responseWriter) SetWriteDeadline(time.Time) error { return nil }

// EnableFullDuplex has no effect: reads and writes of a connection are always independent.
func (w *responseWriter) EnableFullDuplex() error { return nil }
