package daisyforward

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyresponse"
)

var (
	errDeadline = daisyerror.Unknown.New("deadline of the attempt exceeded")
	errCanceled = daisyerror.Unknown.New("attempt canceled: its response is no longer needed")
	errStalled  = daisyerror.Unknown.New("endpoint sent no byte of the response body within the stall timeout")
	errTooLong  = daisyerror.Unknown.New("response body took longer than the maximum response time")
	errTooLarge = daisyerror.Unknown.New("response body is larger than the maximum response size")
)

const (
	// maxDrainBytes is the maximum number of bytes of a discarded response's body that
	// are read so that the connection can be reused.
	maxDrainBytes = 4 << 10
	// maxDrainTime is the maximum duration of that read.
	maxDrainTime = 100 * time.Millisecond
)

// attempt is one attempt to send a request to an endpoint. It owns the endpoint's
// response until the exchange takes it, so that the response cannot reach another
// attempt or another caller.
type attempt struct {
	exchange *exchange
	send     daisyroute.Send
	ctx      context.Context
	cancel   context.CancelCauseFunc
	body     *sourceReader
	started  time.Time

	mu           sync.Mutex
	response     *http.Response
	responseTime time.Duration
	interim      []interim
	// closed reports whether the response was taken or is no longer needed.
	closed bool
}

// interim is an interim response (status 1xx).
type interim struct {
	status int
	header http.Header
}

// startAttempt sends the request of x to the endpoint of send in a new goroutine.
func startAttempt(x *exchange, send daisyroute.Send) *attempt {
	a := &attempt{exchange: x, send: send, started: time.Now()}
	// The context is not derived from the caller's: the attempt can outlive the
	// caller's request until the round trip to the endpoint has ended.
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	request := a.newRequest()
	roundTrip := x.forwarder.pool.RoundTrip
	if x.wasSentTo(send.Endpoint) {
		roundTrip = x.forwarder.pool.RoundTripOnNew
	}
	x.forwarder.wg.Go(func() {
		timer := time.AfterFunc(time.Until(send.Deadline), func() { a.cancel(errDeadline) })
		response, err := roundTrip(request, x.target(send.Endpoint))
		timer.Stop()
		a.finish(response, err)
	})
	return a
}

func (a *attempt) newRequest() *http.Request {
	x := a.exchange
	in := x.call.HTTP
	target := url.URL{
		Scheme:     "http",
		Host:       a.send.Endpoint.String(),
		Path:       in.URL.Path,
		RawPath:    in.URL.RawPath,
		RawQuery:   in.URL.RawQuery,
		ForceQuery: in.URL.ForceQuery,
	}
	header := x.header
	if len(x.attempts) > 0 {
		// net/http may still be reading the header of an earlier attempt.
		header = maps.Clone(header)
	}
	x.forwarder.dialect.EncodeAttempt(header, Attempt{Remaining: a.send.Deadline.Sub(a.started), Instance: a.send.Instance})
	request := new(http.Request).WithContext(daisyresponse.WithInterimHandler(a.ctx, a.gotInterim))
	request.Method = in.Method
	request.URL = &target
	request.Proto, request.ProtoMajor, request.ProtoMinor = "HTTP/1.1", 1, 1
	request.Header = header
	request.Host = in.Host
	request.ContentLength = in.ContentLength
	if x.source != nil {
		a.body = x.source.newReader()
		request.Body = a.body
		request.Trailer = a.body.trailer
	}
	return request
}

// gotInterim stores an interim response. If the request is hedgeable, the interim
// response is not forwarded before the final one, which may come from another attempt.
func (a *attempt) gotInterim(status int, header http.Header) {
	if status == http.StatusContinue {
		// The HTTP server sends 100 Continue to the caller when the body is read.
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.interim = append(a.interim, interim{status: status, header: header})
	if !a.exchange.call.Request.Hedgeable {
		a.exchange.notifyInterim(a)
	}
}

// takeInterim returns the stored interim responses and removes them.
func (a *attempt) takeInterim() []interim {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := a.interim
	a.interim = nil
	return i
}

// finish reports the outcome of the attempt to routing. It stores the response if
// that is to be forwarded, and discards it otherwise.
func (a *attempt) finish(response *http.Response, err error) {
	responseTime := time.Since(a.started)
	resolution := daisycontroller.Resolution{Attempt: a.send.Attempt, Outcome: a.outcome(response, err, responseTime)}
	a.readLoad(response, &resolution)
	a.exchange.countMalformed(err)
	resolution.Fingerprint = a.exchange.fingerprint()
	_, answered := resolution.Outcome.(daisyrequest.Answered)
	if answered && a.storeResponse(response, responseTime) {
		a.exchange.ticket.Resolve(resolution)
		return
	}
	if answered {
		resolution.Outcome = daisyrequest.Canceled{}
	}
	x := a.exchange
	if daisyrequest.RunOf(resolution.Outcome) == daisyrequest.NotRun {
		x.call.Token.NotRun()
	}
	x.logAttemptFailed(a, resolution.Outcome, responseTime)
	// Stop reading the caller's body before the outcome is reported: the next
	// attempt may need the rest of it.
	a.closeBody()
	resolution.Resendable = x.source.resendable()
	x.ticket.Resolve(resolution)
	a.discard(response)
}

func (a *attempt) closeBody() {
	if a.body != nil {
		_ = a.body.Close()
	}
}

// storeResponse stores the response for the exchange and reports whether it did. It
// does nothing if the response is no longer needed.
func (a *attempt) storeResponse(response *http.Response, responseTime time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.response = response
	a.responseTime = responseTime
	return true
}

// discard closes a response that is not forwarded. It reads a short body that has
// already arrived, so that the connection can be reused.
func (a *attempt) discard(response *http.Response) {
	if response != nil {
		timer := time.AfterFunc(maxDrainTime, func() { a.cancel(errCanceled) })
		_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
		timer.Stop()
		_ = response.Body.Close()
	}
	a.cancel(errCanceled)
}

// outcome returns the outcome of the attempt, given the result of its round trip.
func (a *attempt) outcome(response *http.Response, err error, responseTime time.Duration) daisyrequest.Outcome {
	if err != nil {
		return a.failureOutcome(err, responseTime)
	}
	if a.ctx.Err() != nil {
		return a.canceledOutcome()
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return daisyrequest.BrokenOff{Cause: daisyerror.InvalidRequest.New("endpoint %v switched protocols without a request to do so", a.send.Endpoint)}
	}
	return a.exchange.forwarder.dialect.Outcome(a.exchange.call.HTTP, response, responseTime)
}

// failureOutcome returns the outcome of an attempt whose round trip failed with err.
func (a *attempt) failureOutcome(err error, responseTime time.Duration) daisyrequest.Outcome {
	switch {
	case errorx.IsOfType(err, daisyconnection.NotSent):
		return daisyrequest.NotSent{Cause: err}
	case errorx.IsOfType(err, daisyconnection.Refused):
		return daisyrequest.Shed{ResponseTime: responseTime}
	case a.ctx.Err() != nil:
		return a.canceledOutcome()
	case a.exchange.source.broken():
		return daisyrequest.Canceled{}
	}
	return daisyrequest.BrokenOff{Cause: err, Closed: errorx.IsOfType(err, daisyconnection.Closed)}
}

// canceledOutcome returns the outcome of an attempt whose context has ended.
func (a *attempt) canceledOutcome() daisyrequest.Outcome {
	if context.Cause(a.ctx) == errDeadline {
		return daisyrequest.TimedOut{}
	}
	return daisyrequest.Canceled{}
}

// readLoad adds the notice, the rate limit and the load report of the endpoint to
// resolution, if response has them. A misdirected request was answered by another endpoint.
func (a *attempt) readLoad(response *http.Response, resolution *daisycontroller.Resolution) {
	if response == nil {
		return
	}
	dialect := a.exchange.forwarder.dialect
	switch resolution.Outcome.(type) {
	case daisyrequest.Answered, daisyrequest.Shed:
		resolution.RateLimit = dialect.RateLimit(response.Header)
		resolution.Notice = dialect.Notice(time.Now(), response.StatusCode, response.Header)
	case daisyrequest.Misdirected, daisyrequest.NotSent, daisyrequest.BrokenOff, daisyrequest.TimedOut, daisyrequest.Canceled:
	}
	report, ok := dialect.Load(time.Now(), response.Header)
	if !ok {
		return
	}
	resolution.Endpoint = a.send.Endpoint
	resolution.Report = report
	resolution.Report.RateLimit = nil
}

// takeResponse passes ownership of the response to the exchange.
func (a *attempt) takeResponse() *http.Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return a.response
}

// abort cancels the attempt unless its response was taken. A response that arrives
// later is discarded.
func (a *attempt) abort() {
	a.mu.Lock()
	closed, response := a.closed, a.response
	a.closed = true
	a.mu.Unlock()
	if closed {
		return
	}
	a.cancel(errCanceled)
	a.closeBody()
	if response != nil {
		_ = response.Body.Close()
		a.exchange.ticket.Release(a.send.Attempt, daisyrequest.BodyComplete)
	}
}
