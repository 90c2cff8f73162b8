package daisyforward

import (
	"io"
	"net/http"
	"sync"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisyproblem"
)

// deliver forwards the response of an attempt to the caller. It panics with
// http.ErrAbortHandler if the response breaks off after its header was written.
func (x *exchange) deliver(a *attempt) {
	x.outcome = daisymetric.Interrupted
	rc := newResponseCopier(x, a, a.takeResponse())
	err := x.forwardResponse(rc)
	x.countMalformed(err)
	x.logAnswered(a, rc.response.StatusCode, err)
	switch {
	case err == nil:
		x.outcome = daisymetric.Served
	case rc.headerWritten:
		panic(http.ErrAbortHandler)
	default:
		x.outcome = daisymetric.EndpointFailed
		x.writeProblem(daisyproblem.FromFailure(daisyrequest.EndpointFailed{}))
	}
}

// forwardResponse forwards a whole response. Its connection and its slot are released even
// if a panic ends the request.
func (x *exchange) forwardResponse(rc *responseCopier) error {
	defer func() {
		_ = rc.response.Body.Close()
		x.ticketFinished = true
		x.ticket.Finish(rc.attempt.send.Attempt, rc.ending)
	}()
	x.forwardInterim(rc.attempt)
	if err := rc.run(); err != nil {
		return err
	}
	x.forwardTrailers(rc.response)
	return nil
}

// extendWriteDeadline gives the caller the stall timeout to take the next bytes.
func (x *exchange) extendWriteDeadline() {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.forwarder.limits.StallTimeout))
}

// writeProblem sends an error response of daisyyoke's own and returns its HTTP status.
func (x *exchange) writeProblem(p daisyproblem.Problem) (status int) {
	x.releaseBody()
	x.extendWriteDeadline()
	return x.forwarder.dialect.WriteProblem(x.writer, p)
}

// releaseBody stops reading the caller's body, so that the HTTP server can read the
// rest of it before it sends an error response of daisyyoke's own. If a read had to
// be interrupted, the connection cannot be reused.
func (x *exchange) releaseBody() {
	if x.source.close() {
		x.announceClose()
		return
	}
	if x.source != nil {
		_ = x.control.SetReadDeadline(time.Now().Add(x.forwarder.limits.StallTimeout))
	}
}

// enableFullDuplex allows the response to begin while the caller's body is still
// being read. The HTTP server would read the rest of the body after the response and,
// in HTTP/1.1, the next request of the connection at the same time. An HTTP/1.1
// connection is therefore closed after this response.
func (x *exchange) enableFullDuplex() {
	if x.source.complete() {
		return
	}
	_ = x.control.EnableFullDuplex()
	x.announceClose()
}

// announceClose tells an HTTP/1.1 caller that the connection will be closed.
func (x *exchange) announceClose() {
	if x.call.HTTP.ProtoMajor == 1 {
		x.writer.Header().Set("Connection", "close")
	}
}

// rejectBody sends an error response to a caller whose body broke off or stalled.
func (x *exchange) rejectBody() {
	p := daisyproblem.Problem{
		Status: http.StatusBadRequest,
		Title:  "The body of the request broke off",
		Run:    daisyrequest.MayHaveRun,
	}
	if x.source.stalled() {
		p.Status = http.StatusRequestTimeout
		p.Title = "No byte of the request's body arrived for too long"
	}
	if len(x.attempts) == 0 {
		p.Run = daisyrequest.NotRun
	}
	x.writeProblem(p)
}

// notifyInterim notifies the exchange that a has stored interim responses. It does
// not block.
func (x *exchange) notifyInterim(a *attempt) {
	select {
	case x.interim <- a:
	default:
	}
}

// forwardInterim sends the stored interim responses of a to the caller. HTTP/1.0 has none.
func (x *exchange) forwardInterim(a *attempt) {
	if !x.call.HTTP.ProtoAtLeast(1, 1) {
		return
	}
	h := x.writer.Header()
	for _, i := range a.takeInterim() {
		copyEndToEnd(h, i.header)
		x.extendWriteDeadline()
		x.writer.WriteHeader(i.status)
		for k := range i.header {
			delete(h, k)
		}
	}
}

// forwardTrailers sets the trailers after the body was written. net/http sends those
// that were announced under their own names, and others only with http.TrailerPrefix.
func (x *exchange) forwardTrailers(response *http.Response) {
	h := x.writer.Header()
	announced := make(map[string]bool)
	for _, k := range h["Trailer"] {
		announced[k] = true
	}
	for k, v := range response.Trailer {
		if announced[k] {
			h[k] = v
			continue
		}
		h[http.TrailerPrefix+k] = v
	}
}

// responseCopier copies a response to the caller. It writes bytes as soon as they arrive.
type responseCopier struct {
	exchange *exchange
	attempt  *attempt
	response *http.Response
	timer    *time.Timer

	mu sync.Mutex
	// readDeadline is the time at which the read in progress times out; zero if no
	// read is in progress.
	readDeadline time.Time
	// headerWritten reports whether the header was passed to the HTTP server.
	headerWritten bool
	// ending is BodyTruncated if the endpoint, and not the caller, broke off the response.
	ending daisyrequest.Ending
}

func newResponseCopier(x *exchange, a *attempt, response *http.Response) *responseCopier {
	return &responseCopier{exchange: x, attempt: a, response: response}
}

// run copies the header and the body.
func (rc *responseCopier) run() error {
	if rc.response.ContentLength <= 0 {
		rc.writeHeader()
	}
	if rc.response.ContentLength < 0 {
		if err := rc.flush(); err != nil {
			return err
		}
	}
	if rc.response.Body == http.NoBody {
		rc.writeHeader()
		return nil
	}
	rc.timer = time.AfterFunc(rc.readTimeout(), rc.onReadTimeout)
	defer rc.timer.Stop()
	if limit := rc.exchange.forwarder.limits.MaxResponseTime; limit > 0 {
		end := time.AfterFunc(limit, func() { rc.attempt.cancel(errTooLong) })
		defer end.Stop()
	}
	chunk := getChunk(rc.response.ContentLength)
	defer putChunk(chunk)
	return rc.copyBody(chunk.bytes)
}

// copyBody copies the body, with chunk as its buffer. It writes the header when the first
// bytes or the end of the body arrive.
func (rc *responseCopier) copyBody(chunk []byte) error {
	for copied := int64(0); ; {
		n, err := rc.read(chunk)
		copied += int64(n)
		if limit := rc.exchange.forwarder.limits.MaxResponseBytes; limit > 0 && copied > limit {
			rc.attempt.cancel(errTooLarge)
			n, err = 0, errTooLarge
		}
		ended := err == io.EOF
		if n > 0 || ended {
			rc.writeHeader()
		}
		if n > 0 {
			if err := rc.write(chunk[:n], ended || copied == rc.response.ContentLength); err != nil {
				return err
			}
		}
		if ended {
			return nil
		}
		if err != nil {
			rc.recordTruncation()
			return err
		}
	}
}

// recordTruncation sets the ending after a failed read. A read also fails if the
// caller has disconnected, which is no fault of the endpoint.
func (rc *responseCopier) recordTruncation() {
	if rc.exchange.call.HTTP.Context().Err() == nil {
		rc.ending = daisyrequest.BodyTruncated
	}
}

// writeHeader passes the header to the HTTP server unless that was done before.
func (rc *responseCopier) writeHeader() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.writeHeaderLocked()
}

// writeHeaderLocked is writeHeader for callers that hold rc.mu.
func (rc *responseCopier) writeHeaderLocked() {
	if rc.headerWritten {
		return
	}
	rc.headerWritten = true
	x := rc.exchange
	x.forwarder.copyResponseHeader(x.writer.Header(), rc.response)
	x.enableFullDuplex()
	x.extendWriteDeadline()
	x.writer.WriteHeader(rc.response.StatusCode)
	x.metrics.AddedLatency(time.Since(x.call.Arrived) - rc.attempt.send.Waited - rc.attempt.responseTime)
}

// readTimeout returns the maximum duration of the next read. Before the header is
// written it is headerDelay, so that the header and the first bytes of the body can
// be sent in one write.
func (rc *responseCopier) readTimeout() time.Duration {
	if !rc.headerWritten {
		return headerDelay
	}
	return rc.exchange.forwarder.limits.StallTimeout
}

// read reads the next bytes of the body. The timer runs onReadTimeout if it takes too long.
func (rc *responseCopier) read(chunk []byte) (int, error) {
	rc.mu.Lock()
	timeout := rc.readTimeout()
	rc.readDeadline = time.Now().Add(timeout)
	rc.timer.Reset(timeout)
	rc.mu.Unlock()
	n, err := rc.response.Body.Read(chunk)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.readDeadline = time.Time{}
	return n, err
}

// onReadTimeout runs when a read has taken too long. The first time it sends the
// header without waiting for the body any longer; after that it cancels the attempt.
func (rc *responseCopier) onReadTimeout() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.readDeadline.IsZero() || time.Now().Before(rc.readDeadline) {
		return
	}
	if rc.headerWritten {
		rc.attempt.cancel(errStalled)
		return
	}
	rc.writeHeaderLocked()
	_ = rc.flush()
	rc.readDeadline = time.Now().Add(rc.readTimeout())
	rc.timer.Reset(rc.readTimeout())
}

// write writes bytes to the caller. If the response has a known length in HTTP/1.x,
// the last bytes complete it and are flushed before routing is told that it has ended.
// Otherwise they are sent when the handler returns.
func (rc *responseCopier) write(bytes []byte, last bool) error {
	x := rc.exchange
	x.extendWriteDeadline()
	if _, err := x.writer.Write(bytes); err != nil {
		return err
	}
	if last && (rc.response.ContentLength < 0 || x.call.HTTP.ProtoMajor != 1) {
		// The write deadline stays in place for what the HTTP server has still to send.
		return nil
	}
	return rc.flush()
}

// flush sends the buffered bytes to the caller.
func (rc *responseCopier) flush() error {
	rc.exchange.extendWriteDeadline()
	err := rc.exchange.control.Flush()
	// The deadline limits only the write in progress: the endpoint may pause between
	// parts of the body.
	_ = rc.exchange.control.SetWriteDeadline(time.Time{})
	return err
}
