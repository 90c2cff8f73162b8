// Package daisyforward sends requests to endpoints and passes their answers back.
//
// Bodies stream in both directions and are never held whole. An attempt reaches
// the socket at most once; whether there is another one is for routing to decide.
package daisyforward

import (
	"context"
	"net/http"
	"net/netip"
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
)

// Options are what a Forwarder depends on.
type Options struct {
	Self   daisyvm.Name
	Routes *daisycontroller.Route
	Pool   *daisyconnection.Pool
	Limits Limits
	// Dialect is that of daisyyoke itself when it is nil.
	Dialect Dialect
	// Log gets a line for each decision; nil writes none.
	Log *daisylog.Log
	// Metrics count requests and attempts; nil counts nothing.
	Metrics *daisymetric.Metrics
}

// Forwarder carries out what routing decides on each request.
type Forwarder struct {
	self    daisyvm.Name
	routes  *daisycontroller.Route
	pool    *daisyconnection.Pool
	limits  Limits
	dialect Dialect
	log     *daisylog.Log
	metrics *daisymetric.Metrics
	ended   sync.WaitGroup
}

// New gives a forwarder.
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

// Close waits for every attempt. The requests have to have ended.
func (f *Forwarder) Close() { f.ended.Wait() }

// Forward takes one request to its end. It panics with http.ErrAbortHandler when
// an answer that has begun breaks off, which breaks it off towards the caller too.
func (f *Forwarder) Forward(w http.ResponseWriter, call *daisyfilter.Call) {
	ticket, err := f.routes.Begin(call.Request)
	if err != nil {
		// The service was removed after the chain had found it.
		f.dialect.WriteProblem(w, daisyproblem.Problem{Status: http.StatusNotFound, Title: "No such service or fleet", Run: daisyrequest.NotRun})
		return
	}
	x := newExchange(f, ticket, call, w)
	defer x.end()
	x.run(call.HTTP.Context())
}

// exchange is one request with its attempts.
type exchange struct {
	forwarder *Forwarder
	ticket    *daisycontroller.Ticket
	call      *daisyfilter.Call
	rank      daisyrank.Name
	writer    http.ResponseWriter
	control   *http.ResponseController
	header    http.Header
	source    *source
	// bodyFailed is closed when the caller's body breaks off; nil without a body.
	bodyFailed <-chan struct{}
	attempts   []*attempt
	// interim tells of interim answers to pass on at once; nil when they have to wait.
	interim chan *attempt
	metrics *daisymetric.Rank
	outcome daisymetric.Outcome
	// ended says that routing has no more to decide, finished that the ticket is closed too.
	ended    bool
	finished bool
}

func newExchange(f *Forwarder, ticket *daisycontroller.Ticket, call *daisyfilter.Call, w http.ResponseWriter) *exchange {
	rank := call.Service.Ranks[call.Request.Rank].Name
	x := &exchange{
		forwarder: f,
		ticket:    ticket,
		call:      call,
		rank:      rank,
		writer:    w,
		control:   http.NewResponseController(w),
		header:    f.outgoingHeader(call, rank),
		metrics:   f.metrics.Rank(call.Service.ID, rank),
		outcome:   daisymetric.Abandoned,
	}
	if !call.Request.Hedgeable {
		x.interim = make(chan *attempt, maxInterim)
	}
	x.source = newSource(call.HTTP, x.control, f.limits)
	if x.source != nil {
		x.bodyFailed = x.source.failed
	}
	x.metrics.Begin()
	return x
}

func (x *exchange) target(endpoint netip.AddrPort) daisyconnection.Target {
	return daisyconnection.Target{Address: endpoint, Protocol: x.call.Service.Protocol}
}

func (x *exchange) run(ctx context.Context) {
	for {
		select {
		case d := <-x.ticket.Decisions():
			if x.carryOut(d) {
				return
			}
		case a := <-x.interim:
			x.passInterim(a)
		case <-x.bodyFailed:
			x.refuseBody()
			return
		case <-ctx.Done():
			if x.source.stalled() {
				x.refuseBody()
				return
			}
			// The caller has gone. A return would be an empty answer with status 200.
			panic(http.ErrAbortHandler)
		}
	}
}

func (x *exchange) carryOut(decision daisyroute.Decision) (ended bool) {
	switch d := decision.(type) {
	case daisyroute.Send:
		x.logSend(d)
		x.metrics.Attempt(d.Reason.String(), d.Waited)
		x.attempts = append(x.attempts, newAttempt(x, d))
	case daisyroute.Deliver:
		x.ended = true
		x.deliver(x.attempt(d.Attempt))
		return true
	case daisyroute.Fail:
		x.ended = true
		x.fail(d)
		return true
	case daisyroute.Cancel:
		x.cancel(d)
	case daisyroute.SendMessage, daisyroute.Probe:
	}
	return false
}

func (x *exchange) attempt(id daisyrequest.AttemptID) *attempt {
	for _, a := range x.attempts {
		if a.send.Attempt == id {
			return a
		}
	}
	return nil
}

func (x *exchange) cancel(decision daisyroute.Cancel) {
	a := x.attempt(decision.Attempt)
	if a == nil {
		return
	}
	x.logCancel(a)
	x.metrics.Cancel()
	a.giveUp()
}

func (x *exchange) fail(decision daisyroute.Fail) {
	x.outcome = outcomeOf(decision.Failure)
	p := daisyproblem.FromFailure(decision.Failure)
	x.logFail(decision, x.writeProblem(p), p.RetryAfter)
}

func outcomeOf(failure daisyrequest.Failure) daisymetric.Outcome {
	switch failure.(type) {
	case daisyrequest.Overloaded:
		return daisymetric.Refused
	case daisyrequest.NoEndpoint:
		return daisymetric.NoEndpoint
	case daisyrequest.DeadlinePassed:
		return daisymetric.TimedOut
	case daisyrequest.EndpointFailed:
		return daisymetric.EndpointFailed
	}
	return daisymetric.EndpointFailed
}

// end lets go of everything that is left: attempts nobody waits for, decisions
// that were not carried out, and the caller's body.
func (x *exchange) end() {
	if !x.finished {
		if !x.ended {
			x.ticket.Abandon()
		}
		x.ticket.Close()
	}
	x.carryOutRest()
	if x.outcome == daisymetric.Abandoned {
		x.logAbandoned()
	}
	for _, a := range x.attempts {
		a.giveUp()
		a.closeBody()
		a.cancel(errGivenUp)
	}
	x.source.close()
	x.metrics.End(x.outcome, len(x.attempts) > 0, time.Since(x.call.Arrived))
}

// carryOutRest takes the decisions that came too late: it gives the slots of
// sends back and cancels what a delivered answer has left over.
func (x *exchange) carryOutRest() {
	for {
		select {
		case d := <-x.ticket.Decisions():
			x.carryOutLate(d)
		default:
			return
		}
	}
}

func (x *exchange) carryOutLate(decision daisyroute.Decision) {
	switch d := decision.(type) {
	case daisyroute.Send:
		x.ticket.Resolve(daisycontroller.Resolution{Attempt: d.Attempt, Outcome: daisyrequest.NotSent{Cause: errGivenUp}})
	case daisyroute.Cancel:
		x.cancel(d)
	case daisyroute.Deliver, daisyroute.Fail, daisyroute.SendMessage, daisyroute.Probe, daisyroute.EndpointChanged:
	}
}
