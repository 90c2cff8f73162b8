package daisycaller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// maxPipelinedRequests is the maximum number of unanswered requests on one
	// connection; callers' HTTP libraries pipeline fewer.
	maxPipelinedRequests = 32
	// maxBufferedBodyBytes is the size of the largest request body that is buffered
	// before its handler starts. Buffering leaves the connection free for reading the
	// next request and for detecting that the caller disconnects.
	maxBufferedBodyBytes = 64 << 10
	// headerSlackBytes is what may be read beyond the limit of the header before the
	// request is rejected: the request line and what the buffered reader reads ahead.
	headerSlackBytes = 4 << 10
	// lingerTimeout is the time that a caller whose request was rejected has to read the
	// response, since closing a connection with unread bytes resets it.
	lingerTimeout = 200 * time.Millisecond
	// pendingRequestTime is how long a connection without requests stays open when the
	// server shuts down, for a request that its caller has sent and that was not read yet.
	// It is longer than a round trip to callers.
	pendingRequestTime = 50 * time.Millisecond
)

// connection is one caller's connection. Its requests are handled concurrently and
// answered in order.
type connection struct {
	pipeline *Pipeline
	conn     net.Conn
	limited  *limitedReader
	reader   *bufio.Reader
	ctx      context.Context
	cancel   context.CancelFunc
	handlers sync.WaitGroup

	mu sync.Mutex
	// unfinished is the queue of unfinished responses, in the order of their requests.
	unfinished []*responseWriter
	// notFull is signaled when a response is finished or the connection is closing.
	notFull *sync.Cond
	// closing is true once no further request is accepted; waiting is true while the first
	// byte of a request is awaited, and receiving while a request has been read only in part.
	closing, waiting, receiving bool
	// closeAt is when no further request is accepted; the zero time means that the
	// connection stays open.
	closeAt time.Time
}

func newConnection(p *Pipeline, conn net.Conn) *connection {
	limited := &limitedReader{reader: conn}
	limited.removeLimit()
	c := &connection{pipeline: p, conn: conn, limited: limited, reader: bufio.NewReader(limited)}
	c.ctx, c.cancel = context.WithCancel(p.ctx)
	c.notFull = sync.NewCond(&c.mu)
	return c
}

// run reads requests until the caller disconnects, a response closes the connection, or
// the idle timeout passes.
func (c *connection) run() {
	for c.serveNext() {
	}
	c.handlers.Wait()
	c.cancel()
	_ = c.conn.Close()
}

// serveNext reads one request, starts its handler and reports whether another request
// may follow.
func (c *connection) serveNext() bool {
	limits := *c.pipeline.limits.Load()
	if !c.awaitRequest(limits) {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limited.setLimit(limits.MaxHeaderBytes + headerSlackBytes)
	request, err := http.ReadRequest(c.reader)
	c.limited.removeLimit()
	if err != nil {
		c.reject(err)
		return false
	}
	request.RemoteAddr = c.conn.RemoteAddr().String()
	streamsBody, err := c.bufferBody(request, limits)
	if err != nil {
		c.reject(err)
		return false
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	return c.startHandler(request, streamsBody)
}

// awaitRequest waits for the first byte of a request and reports whether it arrived. The
// idle timeout applies while no response is unfinished.
func (c *connection) awaitRequest(limits Limits) bool {
	c.mu.Lock()
	for len(c.unfinished) >= maxPipelinedRequests && !c.closing {
		c.notFull.Wait()
	}
	closing := c.closing
	c.mu.Unlock()
	if closing {
		c.awaitDisconnect()
		return false
	}
	for {
		c.beginWait(limits)
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		c.waiting = false
		c.closing = c.closing || !c.closeAt.IsZero() && !time.Now().Before(c.closeAt)
		closing, unfinished := c.closing, len(c.unfinished)
		c.receiving = err == nil && !closing
		c.mu.Unlock()
		switch {
		case closing && unfinished > 0:
			c.awaitDisconnect()
			return false
		case err == nil && !closing:
			return true
		case unfinished > 0 && errors.Is(err, os.ErrDeadlineExceeded):
		default:
			// The caller disconnected, so nobody reads the unfinished responses; or there are
			// none, and the idle timeout passed or the connection is to close.
			c.cancel()
			return false
		}
	}
}

// beginWait limits the wait for the next request, which begins.
func (c *connection) beginWait(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
	deadline := c.closeAt
	if deadline.IsZero() {
		deadline = time.Now().Add(limits.IdleTimeout)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// awaitDisconnect discards what the caller still sends until the connection ends, and
// cancels the requests in flight if the caller disconnects before the last response is
// finished.
func (c *connection) awaitDisconnect() {
	_ = c.conn.SetReadDeadline(time.Time{})
	if _, err := io.Copy(io.Discard, c.reader); err != nil || c.unfinishedCount() > 0 {
		c.cancel()
	}
}

func (c *connection) unfinishedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unfinished)
}

// bufferBody buffers a body of at most maxBufferedBodyBytes. It reports whether the body
// is longer, so that the handler reads the rest from the connection. It sends
// 100 Continue if the caller expects it.
func (c *connection) bufferBody(request *http.Request, limits Limits) (streamsBody bool, err error) {
	if limits.MaxBodyBytes > 0 && request.ContentLength > limits.MaxBodyBytes {
		return false, errBodyTooLarge
	}
	if request.Body == http.NoBody || request.ContentLength == 0 {
		return false, nil
	}
	if request.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false, err
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	buffered, err := io.ReadAll(io.LimitReader(request.Body, maxBufferedBodyBytes+1))
	if err != nil {
		return false, err
	}
	if len(buffered) > maxBufferedBodyBytes {
		request.Body = &streamedBody{Reader: io.MultiReader(bytes.NewReader(buffered), request.Body), Closer: request.Body}
		return true, nil
	}
	request.Body = io.NopCloser(bytes.NewReader(buffered))
	if len(request.Trailer) == 0 {
		request.ContentLength = int64(len(buffered))
		request.TransferEncoding = nil
	}
	return false, nil
}

type streamedBody struct {
	io.Reader
	io.Closer
}

// startHandler starts the handler of a request and reports whether another request may
// follow. It waits for the handler if the body is streamed.
func (c *connection) startHandler(request *http.Request, streamsBody bool) bool {
	ctx, cancel := context.WithCancel(c.ctx)
	w := newResponseWriter(c, request.WithContext(ctx), streamsBody)
	c.mu.Lock()
	c.receiving = false
	if c.closing {
		// The preceding response announced that the connection closes, so the caller
		// repeats this request on another connection.
		c.mu.Unlock()
		cancel()
		return false
	}
	if len(c.unfinished) == 0 {
		close(w.precedingDone)
	}
	c.unfinished = append(c.unfinished, w)
	if request.Close || !request.ProtoAtLeast(1, 1) {
		c.closing = true
		w.closesConnection = true
	}
	last := c.closing
	c.mu.Unlock()
	c.handlers.Go(func() {
		defer cancel()
		w.serve(c.pipeline.handler)
	})
	switch {
	case streamsBody:
		<-w.finished
		return !last && w.bodyConsumed()
	case last:
		c.awaitDisconnect()
	}
	return !last
}

// closeAfter makes a response the last one of its connection, unless a later request was
// already accepted, and reports whether it did.
func (c *connection) closeAfter(w *responseWriter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unfinished[len(c.unfinished)-1] != w {
		return false
	}
	c.closing = true
	w.closesConnection = true
	return true
}

// finish removes a finished response and lets the next one be sent. It closes the
// connection after the last response, or if this one was aborted or could not be sent.
func (c *connection) finish(w *responseWriter, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unfinished = c.unfinished[1:]
	if broken || w.closesConnection || c.closing && len(c.unfinished) == 0 {
		c.closing = true
		c.cancel()
		_ = c.conn.Close()
	}
	if len(c.unfinished) > 0 {
		close(c.unfinished[0].precedingDone)
	}
	c.notFull.Signal()
}

// closeGracefully closes the connection once its responses are sent. A request that has
// arrived in part, or arrives within pendingRequestTime, is still served: otherwise the caller
// could not tell that it was not executed. The responses announce that the connection closes,
// unless they have begun already.
func (c *connection) closeGracefully() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAt = time.Now().Add(pendingRequestTime)
	if c.waiting {
		_ = c.conn.SetReadDeadline(c.closeAt)
	}
}

// reject responds to a request that could not be read or exceeds a limit, after the
// preceding responses are sent. It does not respond when the connection is broken.
func (c *connection) reject(err error) {
	status := http.StatusBadRequest
	if c.limited.lastErr != nil {
		err = c.limited.lastErr
	}
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), isNetError(err):
		c.cancel()
		return
	}
	c.pipeline.logger.Info("request rejected while reading it", "caller", c.conn.RemoteAddr().String(), "status", status, "cause", causeOf(err))
	c.handlers.Wait()
	_ = c.conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, err = io.WriteString(c.conn, encodeRejection(status))
	if t, ok := c.conn.(*net.TCPConn); ok && err == nil {
		_ = t.CloseWrite()
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.conn)
	}
}

// causeOf returns the text of an error without what it quotes from the request, which may be
// the key of an account: parsers quote it after a colon or in quotation marks.
func causeOf(err error) string {
	if errors.Is(err, errHeaderTooLarge) || errors.Is(err, errBodyTooLarge) || errors.Is(err, os.ErrDeadlineExceeded) {
		return err.Error()
	}
	text := err.Error()
	if i := strings.IndexAny(text, `:"`); i >= 0 {
		text = text[:i]
	}
	return strings.TrimSpace(text)
}

func isNetError(err error) bool {
	var n *net.OpError
	return errors.As(err, &n)
}
