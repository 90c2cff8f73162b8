package daisyroute

import (
	"time"

	"daisyyoke/core/daisybudget"
	"daisyyoke/core/daisyhealth"
	"daisyyoke/core/daisyrequest"
)

func (d *Dispatcher) resolve(now time.Time, event AttemptResolved) {
	a := d.attempts[event.Attempt]
	if a == nil || a.answered {
		return
	}
	d.forgoHedge(a)
	d.learn(now, a, event.Outcome)
	d.credits.noteOutcome(now, a.endpoint, event.Outcome)
	d.attemptTimers.Remove(a.check)
	if o, ok := event.Outcome.(daisyrequest.Answered); ok {
		a.answered = true
		d.answer(now, a, o)
		return
	}
	if r := a.request; r != nil {
		r.closed(a)
		a.request = nil
		d.disappoint(now, r, a, event)
	}
	d.vacate(now, a)
}

// release ends an answered attempt. A holder may also release one that it gave up.
func (d *Dispatcher) release(now time.Time, event AttemptReleased) {
	a := d.attempts[event.Attempt]
	if a == nil {
		return
	}
	if r := a.request; r != nil {
		d.lose(now, r, a)
	}
	if event.Ending == daisyrequest.EndpointCut {
		d.observe(now, a, daisyhealth.Fault{})
	}
	d.vacate(now, a)
}

// vacate gives the slot of an attempt back.
func (d *Dispatcher) vacate(now time.Time, a *attempt) {
	e := a.endpoint
	d.forgoHedge(a)
	delete(d.attempts, a.id)
	d.attemptTimers.Remove(a.check)
	d.queue.Ended(now, a.rank, now.Sub(a.sent), a.charge)
	e.inFlight--
	d.credits.release(now, e)
	d.refresh(now, e)
	if e.removed && e.inFlight == 0 {
		delete(d.byAddress, e.address)
	}
	d.pool.keepAttempt(a)
}

// answer delivers an answer, but lets a server error wait for an attempt that still runs.
func (d *Dispatcher) answer(now time.Time, a *attempt, answered daisyrequest.Answered) {
	r := a.request
	if r == nil {
		return
	}
	r.closed(a)
	if answered.ServerError() && r.running > 0 && r.held == nil {
		r.held = a
		return
	}
	if answered.ServerError() && r.held != nil {
		a, r.held = r.held, a
	}
	d.deliver(now, r, a)
}

func (d *Dispatcher) deliver(now time.Time, r *request, a *attempt) {
	d.emit(Deliver{Request: r.ID, Attempt: a.id})
	d.end(now, r, a)
}

// end forgets a request and cancels its attempts but the delivered one.
func (d *Dispatcher) end(now time.Time, r *request, delivered *attempt) {
	d.queue.Remove(now, &r.item)
	for _, a := range r.open[:r.running] {
		d.cancel(a)
	}
	if r.held != nil && r.held != delivered {
		d.cancel(r.held)
	}
	if delivered != nil {
		delivered.request = nil
	}
	delete(d.requests, r.ID)
	d.pool.keepRequest(r)
}

func (d *Dispatcher) cancel(a *attempt) {
	a.request = nil
	d.forgoHedge(a)
	d.attemptTimers.Remove(a.check)
	d.emit(Cancel{Attempt: a.id})
}

// disappoint decides what becomes of a request whose attempt failed.
func (d *Dispatcher) disappoint(now time.Time, r *request, a *attempt, event AttemptResolved) {
	r.failed = a.endpoint
	if daisyrequest.RunOf(event.Outcome) == daisyrequest.MayHaveRun {
		r.run = daisyrequest.MayHaveRun
	} else {
		r.runs--
	}
	_, notSent := event.Outcome.(daisyrequest.NotSent)
	r.unsent = notSent && a.counted
	if _, ok := event.Outcome.(daisyrequest.TimedOut); ok {
		d.fail(now, r, Expired, defaultRetryAfter)
		return
	}
	if r.running > 0 {
		return
	}
	if r.held != nil {
		d.deliver(now, r, r.held)
		return
	}
	if cause, ok := d.mayRetry(now, r, event); !ok {
		d.fail(now, r, cause, defaultRetryAfter)
		return
	}
	r.reason = Retry
	d.queue.Push(now, &r.item)
}

// mayRetry reports whether the request may be sent again, or why not.
func (d *Dispatcher) mayRetry(now time.Time, r *request, event AttemptResolved) (Cause, bool) {
	if !event.Resendable || !repeatable(r, event.Outcome) {
		return NotRepeatable, false
	}
	others := d.usable
	if r.failed.usable {
		others--
	}
	if _, unsent := event.Outcome.(daisyrequest.NotSent); unsent && others == 0 && r.failed.usable {
		// Its connection may have been an old one; the next is new.
		r.failed = nil
		others++
	}
	switch {
	case !now.Before(r.Deadline):
		return Expired, false
	case r.spent():
		return AttemptsSpent, false
	case others == 0:
		return NoneUsable, false
	case !r.unsent && !d.budget.Allows(now, daisybudget.Retry{}):
		return BudgetSpent, false
	}
	return 0, true
}

// repeatable reports whether a further send is safe after an outcome: it is on
// proof that no endpoint ran the request, and when running it twice does no harm.
func repeatable(r *request, outcome daisyrequest.Outcome) bool {
	switch outcome.(type) {
	case daisyrequest.Shed, daisyrequest.Misdirected, daisyrequest.NotSent:
		return r.Idempotent || r.run == daisyrequest.NotRun
	case daisyrequest.BrokenOff:
		return r.Idempotent
	case daisyrequest.Answered, daisyrequest.TimedOut, daisyrequest.Canceled:
	}
	return false
}

// lose takes note that an attempt ended that could still have been delivered.
func (d *Dispatcher) lose(now time.Time, r *request, a *attempt) {
	r.closed(a)
	a.request = nil
	if r.held == a {
		r.held = nil
	}
	r.run = daisyrequest.MayHaveRun
	if r.running == 0 && r.held == nil {
		d.fail(now, r, NotRepeatable, 0)
	}
}

// fail ends a request with a failure that never promises more than is known.
func (d *Dispatcher) fail(now time.Time, r *request, cause Cause, after time.Duration) {
	if r.running > 0 {
		r.run = daisyrequest.MayHaveRun
	}
	d.emit(Fail{
		Request: r.ID,
		Failure: failure(r.run, cause, after),
		Cause:   cause,
		Waited:  now.Sub(r.Arrived),
		Left:    r.Deadline.Sub(now),
		Needs:   r.needs,
	})
	d.end(now, r, nil)
}

func failure(run daisyrequest.Run, cause Cause, after time.Duration) daisyrequest.Failure {
	if cause == Expired {
		if run == daisyrequest.MayHaveRun {
			after = 0
		}
		return daisyrequest.DeadlinePassed{Run: run, RetryAfter: after}
	}
	if run == daisyrequest.MayHaveRun {
		return daisyrequest.EndpointBroke{}
	}
	switch cause {
	case QueueFull, CannotFinish:
		return daisyrequest.Overloaded{RetryAfter: after}
	case NoneUsable, AttemptsSpent, BudgetSpent, NotRepeatable, Expired:
	}
	return daisyrequest.NoEndpoint{RetryAfter: after}
}
