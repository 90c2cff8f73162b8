package daisyroute

import (
	"time"

	"daisyyoke/core/daisyqueue"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
)

// maxAttempts bounds the sends of one request.
const maxAttempts = 3

// request is a request from its arrival to its Deliver, Fail or abandonment.
type request struct {
	daisyrequest.Request
	item   daisyqueue.Item[*request]
	reason Reason
	// sends counts the attempts, runs those that an endpoint may have run or may yet run.
	sends, runs int
	hedged      bool
	// open has the attempts without an outcome; open[:running] are set.
	open    [2]*attempt
	running int
	// held is an attempt that was answered with a server error while another ran on.
	held *attempt
	// failed is the endpoint that failed the request last.
	failed *endpoint
	// needs is how long the queue expected it to take when it refused it.
	needs time.Duration
	// unsent says that the last attempt never left, so that the next one takes its place in the budget.
	unsent bool
	// run says whether an endpoint may have run the request.
	run daisyrequest.Run
}

// mayTake reports whether the request may go to the endpoint.
func (r *request) mayTake(e *endpoint) bool {
	for _, a := range r.open[:r.running] {
		if a.endpoint.address == e.address {
			return false
		}
	}
	return r.failed == nil || r.failed.address != e.address
}

// spent reports whether the request was sent as often as it may be.
func (r *request) spent() bool {
	return r.sends >= maxAttempts || r.Attempts > 0 && r.runs >= r.Attempts
}

func (r *request) opened(a *attempt) {
	r.open[r.running] = a
	r.running++
}

func (r *request) closed(a *attempt) {
	for i, o := range r.open[:r.running] {
		if o == a {
			r.running--
			r.open[i] = r.open[r.running]
			r.open[r.running] = nil
			return
		}
	}
}

// attempt is one send from its start until it holds its slot no longer.
type attempt struct {
	id       daisyrequest.AttemptID
	endpoint *endpoint
	rank     daisyrank.Index
	sent     time.Time
	charge   daisyqueue.Charge
	// request is nil once the request has ended.
	request *request
	// counted says that the budget counted it as the first send of its request.
	counted  bool
	answered bool
	trial    bool
	hedging  bool
	// checks counts the checks made, and check is the place in the heap of checks.
	checks, check int
}

// spent keeps requests and attempts that have ended, to be used again.
type objectPool struct {
	requests []*request
	attempts []*attempt
}

// mostSpent bounds each list of spent.
const mostSpent = 1024

func (s *objectPool) request(q daisyrequest.Request) *request {
	r := new(request)
	if n := len(s.requests); n > 0 {
		r, s.requests = s.requests[n-1], s.requests[:n-1]
	}
	*r = request{Request: q}
	r.item = daisyqueue.Item[*request]{Value: r, Rank: q.Rank, Deadline: q.Deadline, Target: q.Target}
	return r
}

func (s *objectPool) attempt() *attempt {
	a := new(attempt)
	if n := len(s.attempts); n > 0 {
		a, s.attempts = s.attempts[n-1], s.attempts[:n-1]
	}
	return a
}

func (s *objectPool) keepRequest(r *request) {
	if len(s.requests) < mostSpent {
		s.requests = append(s.requests, r)
	}
}

func (s *objectPool) keepAttempt(a *attempt) {
	*a = attempt{}
	if len(s.attempts) < mostSpent {
		s.attempts = append(s.attempts, a)
	}
}
