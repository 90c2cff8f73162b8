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
	x.outcome = daisymetric.Cut
	response := a.take()
	x.passInterim(a)
	p := newPump(x, a, response)
	err := p.run()
	if err == nil {
		x.passTrailers(response)
	}
	_ = response.Body.Close()
	x.finished = true
	x.ticket.Finish(a.send.Attempt, p.ending)
	x.logAnswered(a, response.StatusCode, err == nil)
	switch {
	case err == nil:
		x.outcome = daisymetric.Served
	case p.begun:
		panic(http.ErrAbortHandler)
	default:
		x.outcome = daisymetric.EndpointBroke
		x.writeProblem(daisyproblem.FromFailure(daisyrequest.EndpointFailed{}))
	}
}

// extendWriteDeadline gives the caller the stall timeout to take the next bytes.
func (x *exchange) extendWrite() {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.forwarder.limits.Stall))
}

// writeProblem sends an error response of daisyyoke's own and returns its HTTP status.
func (x *exchange) writeProblem(p daisyproblem.Problem) (status int) {
	x.settleBody()
	x.extendWrite()
	return x.forwarder.dialect.WriteProblem(x.writer, p)
}

// releaseBody stops reading the caller's body, so that the HTTP server can read the
// rest of it before it sends an error response of daisyyoke's own. If a read had to
// be interrupted, the connection cannot be reused.
func (x *exchange) settleBody() {
	if x.source.close() {
		x.announceClose()
		return
	}
	if x.source != nil {
		_ = x.control.SetReadDeadline(time.Now().Add(x.forwarder.limits.Stall))
	}
}

// enableFullDuplex allows the response to begin while the caller's body is still
// being read. The HTTP server would read the rest of the body after the response and,
// in HTTP/1.1, the next request of the connection at the same time. An HTTP/1.1
// connection is therefore closed after this response.
func (x *exchange) beginDuplex() {
	if x.source.whole() {
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
func (x *exchange) refuseBody() {
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
func (x *exchange) interimArrived(a *attempt) {
	select {
	case x.interim <- a:
	default:
	}
}

// forwardInterim sends the stored interim responses of a to the caller. HTTP/1.0 has none.
func (x *exchange) passInterim(a *attempt) {
	if !x.call.HTTP.ProtoAtLeast(1, 1) {
		return
	}
	h := x.writer.Header()
	for _, i := range a.takeInterim() {
		copyEndToEnd(h, http.Header(i.header))
		x.extendWrite()
		x.writer.WriteHeader(i.status)
		for k := range i.header {
			delete(h, k)
		}
	}
}

// forwardTrailers sets the trailers after the body was written. net/http sends those
// that were announced under their own names, and others only with http.TrailerPrefix.
func (x *exchange) passTrailers(response *http.Response) {
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
type pump struct {
	exchange *exchange
	attempt  *attempt
	response *http.Response
	timer    *time.Timer

	mu sync.Mutex
	// readDeadline is the time at which the read in progress times out; zero if no
	// read is in progress.
	due time.Time
	// headerWritten reports whether the header was passed to the HTTP server.
	begun bool
	// ending is BodyTruncated if the endpoint, and not the caller, broke off the response.
	ending daisyrequest.Ending
}

func newPump(x *exchange, a *attempt, response *http.Response) *pump {
	return &pump{exchange: x, attempt: a, response: response}
}

// run copies the header and the body.
func (p *pump) run() error {
	if p.response.ContentLength <= 0 {
		p.begin()
	}
	if p.response.ContentLength < 0 {
		if err := p.flush(); err != nil {
			return err
		}
	}
	if p.response.Body == http.NoBody {
		p.begin()
		return nil
	}
	p.timer = time.AfterFunc(p.patience(), p.tick)
	defer p.timer.Stop()
	chunk := getChunk(p.response.ContentLength)
	defer putChunk(chunk)
	return p.copy(chunk.bytes)
}

// copyBody copies the body, with chunk as its buffer. It writes the header when the first
// bytes or the end of the body arrive.
func (p *pump) copy(chunk []byte) error {
	for passed := int64(0); ; {
		n, err := p.read(chunk)
		passed += int64(n)
		ended := err == io.EOF
		if n > 0 || ended {
			p.begin()
		}
		if n > 0 {
			if err := p.pass(chunk[:n], ended || passed == p.response.ContentLength); err != nil {
				return err
			}
		}
		if ended {
			return nil
		}
		if err != nil {
			p.blame()
			return err
		}
	}
}

// recordTruncation sets the ending after a failed read. A read also fails if the
// caller has disconnected, which is no fault of the endpoint.
func (p *pump) blame() {
	if p.exchange.call.HTTP.Context().Err() == nil {
		p.ending = daisyrequest.BodyTruncated
	}
}

// writeHeader passes the header to the HTTP server unless that was done before.
func (p *pump) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beginLocked()
}

// writeHeaderLocked is writeHeader for callers that hold p.mu.
func (p *pump) beginLocked() {
	if p.begun {
		return
	}
	p.begun = true
	x := p.exchange
	x.forwarder.incomingHeader(x.writer.Header(), p.response)
	x.beginDuplex()
	x.extendWrite()
	x.writer.WriteHeader(p.response.StatusCode)
	x.metrics.Added(time.Since(x.call.Arrived) - p.attempt.send.Waited - p.attempt.responseTime)
}

// readTimeout returns the maximum duration of the next read. Before the header is
// written it is headerDelay, so that the header and the first bytes of the body can
// be sent in one write.
func (p *pump) patience() time.Duration {
	if !p.begun {
		return headerDelay
	}
	return p.exchange.forwarder.limits.Stall
}

// read reads the next bytes of the body. The timer runs onReadTimeout if it takes too long.
func (p *pump) read(chunk []byte) (int, error) {
	p.mu.Lock()
	patience := p.patience()
	p.due = time.Now().Add(patience)
	p.timer.Reset(patience)
	p.mu.Unlock()
	n, err := p.response.Body.Read(chunk)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.due = time.Time{}
	return n, err
}

// onReadTimeout runs when a read has taken too long. The first time it sends the
// header without waiting for the body any longer; after that it cancels the attempt.
func (p *pump) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.due.IsZero() || time.Now().Before(p.due) {
		return
	}
	if p.begun {
		p.attempt.cancel(errStalled)
		return
	}
	p.beginLocked()
	_ = p.flush()
	p.due = time.Now().Add(p.patience())
	p.timer.Reset(p.patience())
}

// write writes bytes to the caller. If the response has a known length in HTTP/1.x,
// the last bytes complete it and are flushed before routing is told that it has ended.
// Otherwise they are sent when the handler returns.
func (p *pump) pass(bytes []byte, last bool) error {
	x := p.exchange
	x.extendWrite()
	if _, err := x.writer.Write(bytes); err != nil {
		return err
	}
	if last && (p.response.ContentLength < 0 || x.call.HTTP.ProtoMajor != 1) {
		// The write deadline stays in place for what the HTTP server has still to send.
		return nil
	}
	return p.flush()
}

// flush sends the buffered bytes to the caller.
func (p *pump) flush() error {
	p.exchange.extendWrite()
	err := p.exchange.control.Flush()
	// The deadline limits only the write in progress: the endpoint may pause between
	// parts of the body.
	_ = p.exchange.control.SetWriteDeadline(time.Time{})
	return err
}
