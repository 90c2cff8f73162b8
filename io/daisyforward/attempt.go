package daisyforward

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisycontroller"
)

var (
	errDeadline = daisyerror.Unknown.New("the deadline of the attempt passed")
	errGivenUp  = daisyerror.Unknown.New("the attempt was given up")
	errStalled  = daisyerror.Unknown.New("the endpoint sent no byte of its answer's body for too long")
)

const (
	// maxShedBody is how much of a shed answer's body is read to keep the connection, in bytes.
	maxShedBody = 4 << 10
	// maxShedWait is how long that may take.
	maxShedWait = 100 * time.Millisecond
)

// attempt is one send to an endpoint. It owns the endpoint's answer until the
// exchange takes it, so no other attempt or caller can come by it.
type attempt struct {
	exchange *exchange
	send     daisyroute.Send
	ctx      context.Context
	cancel   context.CancelCauseFunc
	body     *view
	started  time.Time

	mu           sync.Mutex
	response     *http.Response
	responseTime time.Duration
	interim      []interim
	// gone says that the answer was taken or that nobody wants it any more.
	gone bool
}

// interim is an answer with a status of 1xx.
type interim struct {
	status int
	header textproto.MIMEHeader
}

func newAttempt(x *exchange, send daisyroute.Send) *attempt {
	a := &attempt{exchange: x, send: send, started: time.Now()}
	// The attempt outlives the caller until the endpoint has let go of it.
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	request := a.newRequest()
	x.forwarder.ended.Go(func() {
		timer := time.AfterFunc(time.Until(send.Deadline), func() { a.cancel(errDeadline) })
		response, err := x.forwarder.pool.RoundTrip(request, x.target(send.Endpoint))
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
		// The library may still read the header of an attempt before.
		header = maps.Clone(header)
	}
	x.forwarder.dialect.EncodeAttempt(header, Attempt{Left: a.send.Deadline.Sub(a.started), Instance: a.send.Instance})
	trace := &httptrace.ClientTrace{Got1xxResponse: a.gotInterim}
	request := new(http.Request).WithContext(httptrace.WithClientTrace(a.ctx, trace))
	request.Method = in.Method
	request.URL = &target
	request.Proto, request.ProtoMajor, request.ProtoMinor = "HTTP/1.1", 1, 1
	request.Header = header
	request.Host = in.Host
	request.ContentLength = in.ContentLength
	if x.source != nil {
		a.body = x.source.newView()
		request.Body = a.body
		request.Trailer = a.body.trailer
	}
	return request
}

// gotInterim holds an interim answer back when another attempt may give the final one.
func (a *attempt) gotInterim(status int, header textproto.MIMEHeader) error {
	if status == http.StatusContinue {
		// The server says this itself when the body is asked for.
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.interim) == maxInterim {
		return nil
	}
	a.interim = append(a.interim, interim{status: status, header: header})
	if !a.exchange.call.Request.Hedgeable {
		a.exchange.interimArrived(a)
	}
	return nil
}

func (a *attempt) takeInterim() []interim {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := a.interim
	a.interim = nil
	return i
}

// finish reports what became of the attempt.
func (a *attempt) finish(response *http.Response, err error) {
	responseTime := time.Since(a.started)
	resolution := daisycontroller.Resolution{Attempt: a.send.Attempt, Outcome: a.outcome(response, err, responseTime)}
	a.readLoad(response, &resolution)
	_, answered := resolution.Outcome.(daisyrequest.Answered)
	if answered && a.keep(response, responseTime) {
		a.exchange.ticket.Resolve(resolution)
		return
	}
	if answered {
		resolution.Outcome = daisyrequest.Canceled{}
	}
	x := a.exchange
	x.logAttemptFailed(a, resolution.Outcome, responseTime)
	// From here on this attempt takes nothing more of the body: another one may need it.
	a.closeBody()
	resolution.Resendable = x.source.resendable()
	x.ticket.Resolve(resolution)
	a.drop(response)
}

func (a *attempt) closeBody() {
	if a.body != nil {
		_ = a.body.Close()
	}
}

// keep stores the answer unless nobody wants it any more.
func (a *attempt) keep(response *http.Response, responseTime time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gone {
		return false
	}
	a.response = response
	a.responseTime = responseTime
	return true
}

// drop ends an answer that is not passed on. A short body that has arrived is
// read, so that the connection can be used again.
func (a *attempt) drop(response *http.Response) {
	if response != nil {
		timer := time.AfterFunc(maxShedWait, func() { a.cancel(errGivenUp) })
		_, _ = io.CopyN(io.Discard, response.Body, maxShedBody)
		timer.Stop()
		_ = response.Body.Close()
	}
	a.cancel(errGivenUp)
}

func (a *attempt) outcome(response *http.Response, err error, responseTime time.Duration) daisyrequest.Outcome {
	if err != nil {
		return a.failure(err, responseTime)
	}
	if a.ctx.Err() != nil {
		return a.interrupted()
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return daisyrequest.BrokenOff{Cause: daisyerror.InvalidRequest.New("%v switched protocols unasked", a.send.Endpoint)}
	}
	return a.exchange.forwarder.dialect.Outcome(a.exchange.call.HTTP, response, responseTime)
}

func (a *attempt) failure(err error, responseTime time.Duration) daisyrequest.Outcome {
	switch {
	case errorx.IsOfType(err, daisyconnection.NotSent):
		return daisyrequest.NotSent{Cause: err}
	case errorx.IsOfType(err, daisyconnection.Refused):
		return daisyrequest.Shed{ResponseTime: responseTime}
	case a.ctx.Err() != nil:
		return a.interrupted()
	case a.exchange.source.broken():
		return daisyrequest.Canceled{}
	}
	return daisyrequest.BrokenOff{Cause: err}
}

func (a *attempt) interrupted() daisyrequest.Outcome {
	if context.Cause(a.ctx) == errDeadline {
		return daisyrequest.TimedOut{}
	}
	return daisyrequest.Canceled{}
}

// readLoad adds what the endpoint says of its load.
func (a *attempt) readLoad(response *http.Response, resolution *daisycontroller.Resolution) {
	if response == nil {
		return
	}
	report, ok := a.exchange.forwarder.dialect.Load(time.Now(), response.Header)
	if !ok {
		return
	}
	resolution.Endpoint = a.send.Endpoint
	resolution.Report = report
}

// take hands the answer over to the exchange.
func (a *attempt) take() *http.Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gone = true
	return a.response
}

// giveUp cancels the attempt unless its answer was taken. Whatever arrives later is dropped.
func (a *attempt) giveUp() {
	a.mu.Lock()
	gone, response := a.gone, a.response
	a.gone = true
	a.mu.Unlock()
	if gone {
		return
	}
	a.cancel(errGivenUp)
	a.closeBody()
	if response != nil {
		_ = response.Body.Close()
		a.exchange.ticket.Release(a.send.Attempt, daisyrequest.BodyComplete)
	}
}
