package daisyroute

import (
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyqueue"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
)

// maxAttempts is the maximum number of attempts of one request.
const maxAttempts = 3

// request is the state of a request from its arrival to its Deliver, Fail or
// abandonment.
type request struct {
	daisyrequest.Request
	// item has the index of the rank in the queue.
	item   daisyqueue.Item[*request]
	reason Reason
	// sends is the number of attempts. runs excludes those that an endpoint is known
	// not to have run.
	sends, runs int
	hedged      bool
	// open contains the attempts without an outcome, in open[:openCount].
	open      [2]*attempt
	openCount int
	// heldError is an attempt that was answered with a server error while another one
	// was under way.
	heldError *attempt
	// lastFailed is the endpoint of the last failed attempt.
	lastFailed *endpoint
	// expected is the expected time until the response, when the queue rejected the request.
	expected time.Duration
	// replacesUnsent is set if the last attempt was never sent, so that the next one
	// takes its place in the budget.
	replacesUnsent bool
	// run is whether an endpoint may have run the request.
	run daisyrequest.Run
}

// allows reports whether the request may be sent to the endpoint: not to one with an
// open attempt of the request, nor to the one at which it failed last.
func (r *request) allows(e *endpoint) bool {
	for _, a := range r.open[:r.openCount] {
		if a.endpoint.address == e.address {
			return false
		}
	}
	return r.lastFailed == nil || r.lastFailed.address != e.address
}

// attemptsSpent reports whether the request has reached its maximum number of attempts.
func (r *request) attemptsSpent() bool {
	return r.sends >= maxAttempts || r.Attempts > 0 && r.runs >= r.Attempts
}

func (r *request) addOpen(a *attempt) {
	r.open[r.openCount] = a
	r.openCount++
}

func (r *request) removeOpen(a *attempt) {
	for i, o := range r.open[:r.openCount] {
		if o == a {
			r.openCount--
			r.open[i] = r.open[r.openCount]
			r.open[r.openCount] = nil
			return
		}
	}
}

// attempt is the state of an attempt from its start until it frees its slot.
type attempt struct {
	id       daisyrequest.AttemptID
	endpoint *endpoint
	// sharing is the group from which the attempt has its credit.
	sharing *slotSharing
	// declared is the declaration of the endpoint when the attempt was sent.
	declared daisyendpoint.Endpoint
	rank     daisyrank.Index
	// account is the client account of the request.
	account daisyaccount.Name
	sent    time.Time
	charge  daisyqueue.Charge
	// request is nil once the request has ended.
	request *request
	// countedAsFirst is set if the budget counted the attempt as the first send of its
	// request.
	countedAsFirst bool
	answered       bool
	trial          bool
	// fingerprint identifies the request, also once that has ended.
	fingerprint daisyrequest.Fingerprint
	// delivered is set if the response was forwarded, and ran if its status shows that
	// the endpoint has run the request.
	delivered, ran bool
	// awaitsHedge is set while the attempt waits in the queue of hedges.
	awaitsHedge bool
	// checks is the number of checks made, and timerIndex the index in the
	// dispatcher's attemptTimers.
	checks, timerIndex int
}

// objectPool keeps requests and attempts that have ended, for reuse.
type objectPool struct {
	requests []*request
	attempts []*attempt
}

// maxPooled is the maximum length of each list of an objectPool.
const maxPooled = 1024

func (p *objectPool) newRequest(q daisyrequest.Request, rank daisyrank.Index) *request {
	r := new(request)
	if n := len(p.requests); n > 0 {
		r, p.requests = p.requests[n-1], p.requests[:n-1]
	}
	*r = request{Request: q}
	r.item = daisyqueue.Item[*request]{Value: r, Rank: rank, Deadline: q.Deadline, Target: q.Target, Account: q.Account}
	return r
}

func (p *objectPool) newAttempt() *attempt {
	a := new(attempt)
	if n := len(p.attempts); n > 0 {
		a, p.attempts = p.attempts[n-1], p.attempts[:n-1]
	}
	return a
}

func (p *objectPool) putRequest(r *request) {
	if len(p.requests) < maxPooled {
		p.requests = append(p.requests, r)
	}
}

func (p *objectPool) putAttempt(a *attempt) {
	*a = attempt{}
	if len(p.attempts) < maxPooled {
		p.attempts = append(p.attempts, a)
	}
}
