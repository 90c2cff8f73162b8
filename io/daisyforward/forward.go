// Package daisyforward forwards requests to endpoints and their responses to callers.
//
// Bodies are streamed in both directions and never buffered in full. An attempt is
// written to a socket at most once; routing decides whether there is another attempt.
package daisyforward

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyfilter"
	"daisyyoke/io/daisylog"
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisyproblem"
	"daisyyoke/io/daisyresponse"
)

// Options are the settings and dependencies of a Forwarder.
type Options struct {
	Self   daisyvm.Name
	Routes *daisycontroller.Route
	Pool   *daisyconnection.Pool
	Limits Limits
	// Dialect encodes and decodes headers and error responses; nil means Native.
	Dialect Dialect
	// Log receives a line for each decision; nil disables it.
	Log *daisylog.Log
	// Metrics counts requests and attempts; nil disables it.
	Metrics *daisymetric.Metrics
}

// Forwarder executes the decisions of routing for each request.
type Forwarder struct {
	self    daisyvm.Name
	routes  *daisycontroller.Route
	pool    *daisyconnection.Pool
	limits  Limits
	dialect Dialect
	log     *daisylog.Log
	metrics *daisymetric.Metrics
	wg      sync.WaitGroup
}

// New returns a Forwarder.
func New(options Options) *Forwarder {
	if options.Dialect == nil {
		options.Dialect = NewNative(options.Self)
	}
	return &Forwarder{
		self:    options.Self,
		routes:  options.Routes,
		pool:    options.Pool,
		limits:  options.Limits,
		dialect: options.Dialect,
		log:     options.Log,
		metrics: options.Metrics,
	}
}

// removedRetryAfter is the Retry-After time if the service of a request was removed.
const removedRetryAfter = 250 * time.Millisecond

// Close waits for all attempts to end. It must be called after all requests have ended.
func (f *Forwarder) Close() { f.wg.Wait() }

// Forward handles one request until its response has ended. It panics with
// http.ErrAbortHandler if the response breaks off after it has begun, so that the
// caller's connection or stream is aborted too, and if the caller has disconnected.
func (f *Forwarder) Forward(w http.ResponseWriter, call *daisyfilter.Call) {
	body := newSource(call.HTTP, http.NewResponseController(w), f.limits)
	body.withholdTrailers(call.WithheldTrailers)
	call.Request.Fingerprint = newFingerprint(call.HTTP, call.Request.Account, body)
	f.readSuspectBody(call, body)
	ticket, err := f.routes.Begin(call.Request)
	if err != nil {
		body.close()
		// The service was removed long after the filter chain had matched the request, for
		// instance because its body came in slowly. Its route may lead elsewhere by now.
		f.dialect.WriteProblem(w, daisyproblem.Problem{
			Status:     http.StatusServiceUnavailable,
			Title:      "The service of the request was removed",
			Run:        daisyrequest.NotRun,
			RetryAfter: removedRetryAfter,
		})
		return
	}
	x := newExchange(f, ticket, call, w, body)
	defer x.end()
	x.run(call.HTTP.Context())
}

// exchange is the state of one request and its attempts.
type exchange struct {
	forwarder *Forwarder
	ticket    *daisycontroller.Ticket
	call      *daisyfilter.Call
	rank      daisyrank.Name
	writer    http.ResponseWriter
	control   *http.ResponseController
	header    http.Header
	source    *source
	// bodyFailed is closed when the caller's body breaks off or stalls; nil if there is no body.
	bodyFailed <-chan struct{}
	attempts   []*attempt
	// interim delivers attempts with interim responses to forward immediately; nil if
	// these have to wait for the final response.
	interim chan *attempt
	metrics *daisymetric.Rank
	outcome daisymetric.Outcome
	// decided reports whether routing has made its final decision, ticketFinished
	// whether the ticket is closed as well.
	decided        bool
	ticketFinished bool
}

func newExchange(f *Forwarder, ticket *daisycontroller.Ticket, call *daisyfilter.Call, w http.ResponseWriter, body *source) *exchange {
	rank := call.Request.Rank
	x := &exchange{
		forwarder: f,
		ticket:    ticket,
		call:      call,
		rank:      rank,
		writer:    w,
		control:   http.NewResponseController(w),
		header:    f.requestHeader(call, rank),
		source:    body,
		metrics:   f.metrics.Rank(call.Service.ID, rank),
		outcome:   daisymetric.Abandoned,
	}
	if !call.Request.Hedgeable {
		x.interim = make(chan *attempt, daisyresponse.MaxInterim)
	}
	if x.source != nil {
		x.bodyFailed = x.source.failed
	}
	x.metrics.Begin()
	return x
}

func (x *exchange) target(endpoint netip.AddrPort) daisyconnection.Target {
	return daisyconnection.Target{Address: endpoint, Protocol: x.call.Service.Protocol}
}

// run executes decisions until the request has ended.
func (x *exchange) run(ctx context.Context) {
	for {
		select {
		case d := <-x.ticket.Decisions():
			if x.execute(d) {
				return
			}
		case a := <-x.interim:
			x.forwardInterim(a)
		case <-x.bodyFailed:
			x.rejectBody()
			return
		case <-ctx.Done():
			if x.source.stalled() {
				x.rejectBody()
				return
			}
			// The caller has disconnected. To return would send an empty response with
			// status 200.
			panic(http.ErrAbortHandler)
		}
	}
}

// execute executes one decision and reports whether the request has ended.
func (x *exchange) execute(decision daisyroute.Decision) (ended bool) {
	switch d := decision.(type) {
	case daisyroute.Send:
		x.logSend(d)
		x.metrics.Attempt(d.Reason.String(), d.Waited)
		x.call.Token.Sent()
		x.attempts = append(x.attempts, startAttempt(x, d))
	case daisyroute.Deliver:
		x.decided = true
		x.deliver(x.findAttempt(d.Attempt))
		return true
	case daisyroute.Fail:
		x.decided = true
		x.fail(d)
		return true
	case daisyroute.Cancel:
		x.cancel(d)
	case daisyroute.SendMessage, daisyroute.Probe:
	}
	return false
}

// findAttempt returns the attempt with the given ID, or nil if there is none.
func (x *exchange) findAttempt(id daisyrequest.AttemptID) *attempt {
	for _, a := range x.attempts {
		if a.send.Attempt == id {
			return a
		}
	}
	return nil
}

// wasSentTo reports whether an earlier attempt was made at the endpoint.
func (x *exchange) wasSentTo(endpoint netip.AddrPort) bool {
	return slices.ContainsFunc(x.attempts, func(a *attempt) bool { return a.send.Endpoint == endpoint })
}

func (x *exchange) cancel(decision daisyroute.Cancel) {
	a := x.findAttempt(decision.Attempt)
	if a == nil {
		return
	}
	x.logCancel(a)
	x.metrics.Cancel()
	a.abort()
}

func (x *exchange) fail(decision daisyroute.Fail) {
	x.outcome = failureMetric(decision.Failure)
	p := daisyproblem.FromFailure(decision.Failure)
	x.logFail(decision, x.writeProblem(p), p.RetryAfter)
}

// failureMetric returns the outcome that the metrics count for a failure.
func failureMetric(failure daisyrequest.Failure) daisymetric.Outcome {
	switch failure.(type) {
	case daisyrequest.Overloaded:
		return daisymetric.Refused
	case daisyrequest.NoEndpoint:
		return daisymetric.NoEndpoint
	case daisyrequest.Quarantined:
		return daisymetric.Quarantined
	case daisyrequest.DeadlinePassed:
		return daisymetric.TimedOut
	case daisyrequest.EndpointFailed:
		return daisymetric.EndpointFailed
	}
	return daisymetric.EndpointFailed
}

// end releases what the exchange still holds: attempts that are no longer needed,
// decisions that were not executed, and the caller's body.
func (x *exchange) end() {
	if !x.ticketFinished {
		if !x.decided {
			x.ticket.Abandon()
		}
		x.ticket.Close()
	}
	x.drainDecisions()
	if x.outcome == daisymetric.Abandoned {
		x.logAbandoned()
	}
	for _, a := range x.attempts {
		a.abort()
		a.closeBody()
		a.cancel(errCanceled)
	}
	x.source.close()
	x.metrics.End(x.outcome, len(x.attempts) > 0, time.Since(x.call.Arrived))
}

// drainDecisions handles the decisions that arrived after the request had ended: it
// returns the slots of sends and cancels attempts that a delivered response has made
// unnecessary.
func (x *exchange) drainDecisions() {
	for {
		select {
		case d := <-x.ticket.Decisions():
			x.executeLate(d)
		default:
			return
		}
	}
}

// executeLate handles one decision that arrived after the request had ended.
func (x *exchange) executeLate(decision daisyroute.Decision) {
	switch d := decision.(type) {
	case daisyroute.Send:
		x.ticket.Resolve(daisycontroller.Resolution{Attempt: d.Attempt, Outcome: daisyrequest.NotSent{Cause: errCanceled}})
	case daisyroute.Cancel:
		x.cancel(d)
	case daisyroute.Deliver, daisyroute.Fail, daisyroute.SendMessage, daisyroute.Probe, daisyroute.EndpointChanged, daisyroute.EndpointNoticed,
		daisyroute.CheckEndpoint, daisyroute.FindingNoted:
	}
}
