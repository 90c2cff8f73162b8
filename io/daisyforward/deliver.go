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

// deliver passes an endpoint's answer on. It panics with http.ErrAbortHandler when
// the answer breaks off after its first byte was passed on.
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
		x.outcome = daisymetric.EndpointFailed
		x.writeProblem(daisyproblem.FromFailure(daisyrequest.EndpointFailed{}))
	}
}

func (x *exchange) extendWrite() {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.forwarder.limits.Stall))
}

// writeProblem sends an answer of daisyyoke's own and gives its HTTP status.
func (x *exchange) writeProblem(p daisyproblem.Problem) (status int) {
	x.settleBody()
	x.extendWrite()
	return x.forwarder.dialect.WriteProblem(x.writer, p)
}

// settleBody leaves the caller's body to the server, which reads what is left of it
// before an answer of daisyyoke's own. A read that had to be interrupted leaves the
// connection in no state to be used again.
func (x *exchange) settleBody() {
	if x.source.close() {
		x.announceClose()
		return
	}
	if x.source != nil {
		_ = x.control.SetReadDeadline(time.Now().Add(x.forwarder.limits.Stall))
	}
}

// beginDuplex lets an answer begin while the caller's body is still being read. The
// server would read the rest of it after the answer and, in HTTP/1.1, take the
// connection's next request up at the same time, so that one ends here.
func (x *exchange) beginDuplex() {
	if x.source.whole() {
		return
	}
	_ = x.control.EnableFullDuplex()
	x.announceClose()
}

// announceClose tells an HTTP/1.1 caller to use the connection no more.
func (x *exchange) announceClose() {
	if x.call.HTTP.ProtoMajor == 1 {
		x.writer.Header().Set("Connection", "close")
	}
}

// refuseBody answers a caller whose body broke off or stalled.
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

// interimArrived tells the exchange that a holds interim answers.
func (x *exchange) interimArrived(a *attempt) {
	select {
	case x.interim <- a:
	default:
	}
}

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

// passTrailers runs after the body: the library sends what was announced, and the rest with a prefix.
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

// pump copies an answer to the caller and passes on what has arrived at once.
type pump struct {
	exchange *exchange
	attempt  *attempt
	response *http.Response
	timer    *time.Timer

	mu sync.Mutex
	// due is when the read under way has taken too long; zero while there is none.
	due time.Time
	// begun says that the header was handed to the server.
	begun bool
	// ending is set when the endpoint, and not the caller, broke the answer off.
	ending daisyrequest.Ending
}

func newPump(x *exchange, a *attempt, response *http.Response) *pump {
	return &pump{exchange: x, attempt: a, response: response}
}

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

// blame sets the ending of an answer whose next bytes could not be read. A caller
// that has gone ends the read too, and says nothing of the endpoint.
func (p *pump) blame() {
	if p.exchange.call.HTTP.Context().Err() == nil {
		p.ending = daisyrequest.BodyTruncated
	}
}

// begin hands the header to the server unless that was done before.
func (p *pump) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beginLocked()
}

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

// patience is how long a read may take: a header of known length waits a
// moment for the first byte of its body, to leave in one write with it.
func (p *pump) patience() time.Duration {
	if !p.begun {
		return headerDelay
	}
	return p.exchange.forwarder.limits.Stall
}

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

// tick runs when a read takes long: it sends a header that waits, and later gives the answer up.
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

// pass writes bytes to the caller. The last ones leave at once where that is the
// end of the answer, before routing hears of it, and else when the handler returns.
func (p *pump) pass(bytes []byte, last bool) error {
	x := p.exchange
	x.extendWrite()
	if _, err := x.writer.Write(bytes); err != nil {
		return err
	}
	if last && (p.response.ContentLength < 0 || x.call.HTTP.ProtoMajor != 1) {
		// The deadline stays for what the server still has to send.
		return nil
	}
	return p.flush()
}

func (p *pump) flush() error {
	p.exchange.extendWrite()
	err := p.exchange.control.Flush()
	// Only a write under way has a limit: the endpoint may take its time.
	_ = p.exchange.control.SetWriteDeadline(time.Time{})
	return err
}
