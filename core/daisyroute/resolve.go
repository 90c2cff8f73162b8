package daisyroute

import (
	"time"

	"daisyyoke/core/daisybudget"
	"daisyyoke/core/daisyhealth"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
)

func (d *Dispatcher) resolve(now time.Time, event AttemptResolved) {
	a := d.attempts[event.Attempt]
	if a == nil || a.answered {
		return
	}
	d.withdrawHedge(a)
	d.recordOutcome(now, a, event.Outcome)
	d.recordRun(now, a, event)
	a.endpoint.sharing.noteOutcome(now, a.endpoint, event.Outcome)
	if a.declared.SameIncarnation(a.endpoint.declared) {
		d.noteRateLimit(now, a.endpoint, event.RateLimit)
	}
	d.noteNotice(now, a.declared.Identity(), event.Notice)
	d.attemptTimers.Remove(a.timerIndex)
	if o, ok := event.Outcome.(daisyrequest.Answered); ok {
		a.answered = true
		d.handleAnswer(now, a, o)
		return
	}
	if r := a.request; r != nil {
		r.removeOpen(a)
		a.request = nil
		d.handleFailedAttempt(now, r, a, event)
	}
	d.freeSlot(now, a)
}

// release ends an answered attempt. A driver may also release an attempt without an
// outcome that it no longer follows.
func (d *Dispatcher) release(now time.Time, event AttemptReleased) {
	a := d.attempts[event.Attempt]
	if a == nil {
		return
	}
	if r := a.request; r != nil {
		d.handleLostAttempt(now, r, a)
	}
	if event.Ending == daisyrequest.BodyTruncated {
		d.observe(now, a, daisyhealth.Fault{})
	}
	d.recordEnding(now, a, event.Ending)
	d.freeSlot(now, a)
}

// freeSlot ends an attempt and frees its slot.
func (d *Dispatcher) freeSlot(now time.Time, a *attempt) {
	e := a.endpoint
	d.withdrawHedge(a)
	delete(d.attempts, a.id)
	d.attemptTimers.Remove(a.timerIndex)
	d.queue.Ended(now, a.rank, now.Sub(a.sent), a.charge)
	d.queue.RecordSlotTime(a.rank, a.account, now.Sub(a.sent))
	e.inFlight--
	d.countEvacuated(e)
	a.sharing.release(now, a)
	d.refresh(now, e)
	if e.removed && e.inFlight == 0 {
		delete(d.byAddress, e.address)
	}
	d.pool.putAttempt(a)
}

// handleAnswer delivers a response, but holds back a server error while another attempt
// of the request is under way.
func (d *Dispatcher) handleAnswer(now time.Time, a *attempt, answered daisyrequest.Answered) {
	r := a.request
	if r == nil {
		return
	}
	r.removeOpen(a)
	if answered.ServerError() && r.openCount > 0 && r.heldError == nil {
		r.heldError = a
		return
	}
	if answered.ServerError() && r.heldError != nil {
		a, r.heldError = r.heldError, a
	}
	d.deliver(now, r, a)
}

func (d *Dispatcher) deliver(now time.Time, r *request, a *attempt) {
	d.emit(Deliver{Request: r.ID, Attempt: a.id})
	d.end(now, r, a)
}

// end removes a request and cancels its attempts other than the delivered one.
func (d *Dispatcher) end(now time.Time, r *request, delivered *attempt) {
	d.queue.Remove(now, &r.item)
	for _, a := range r.open[:r.openCount] {
		d.cancel(a)
	}
	if r.heldError != nil && r.heldError != delivered {
		d.cancel(r.heldError)
	}
	if delivered != nil {
		delivered.request, delivered.delivered = nil, true
	}
	delete(d.requests, r.ID)
	d.pool.putRequest(r)
}

func (d *Dispatcher) cancel(a *attempt) {
	a.request = nil
	d.withdrawHedge(a)
	d.attemptTimers.Remove(a.timerIndex)
	d.emit(Cancel{Attempt: a.id})
}

// handleFailedAttempt retries or fails a request after a failed attempt, or waits for
// another attempt of it.
func (d *Dispatcher) handleFailedAttempt(now time.Time, r *request, a *attempt, event AttemptResolved) {
	r.lastFailed = a.endpoint
	if daisyrequest.RunOf(event.Outcome) == daisyrequest.MayHaveRun {
		r.run = daisyrequest.MayHaveRun
	} else {
		r.runs--
	}
	_, notSent := event.Outcome.(daisyrequest.NotSent)
	r.replacesUnsent = notSent && a.countedAsFirst
	if _, ok := event.Outcome.(daisyrequest.TimedOut); ok {
		d.fail(now, r, Expired, defaultRetryAfter)
		return
	}
	if r.openCount > 0 {
		return
	}
	if r.heldError != nil {
		d.deliver(now, r, r.heldError)
		return
	}
	if cause, ok := d.mayRetry(now, r, event); !ok {
		d.fail(now, r, cause, d.retryAfter(r.item.Rank, cause))
		return
	}
	r.reason = Retry
	if d.failForPause(now, r) {
		return
	}
	d.queue.Push(now, &r.item)
	d.noteWaiting(now, r)
}

// retryAfter returns when a caller should send a request again that may not be retried. A
// spent budget says nothing about the endpoints: the caller's next request is a first
// attempt, which needs no budget, so that it may come back as soon as a backoff is over and
// what waits has been served.
func (d *Dispatcher) retryAfter(rank daisyrank.Index, cause Cause) time.Duration {
	if cause == BudgetSpent {
		return max(d.queue.Wait(rank), d.firstBackoff())
	}
	return defaultRetryAfter
}

// mayRetry reports whether the request may be sent again, and otherwise the cause.
func (d *Dispatcher) mayRetry(now time.Time, r *request, event AttemptResolved) (Cause, bool) {
	if !event.Resendable || !repeatable(r, event.Outcome) {
		return NotRepeatable, false
	}
	others := d.usable
	if r.lastFailed.usable {
		others--
	}
	if _, unsent := event.Outcome.(daisyrequest.NotSent); unsent && others == 0 && r.lastFailed.usable {
		// The failed connection may have been a reused idle one; the next attempt
		// opens a new one.
		r.lastFailed = nil
		others++
	}
	_, quarantined := d.quarantineEnd(now, r.Fingerprint)
	switch {
	case !now.Before(r.Deadline):
		return Expired, false
	case quarantined:
		return CrashesEndpoints, false
	case r.attemptsSpent():
		return AttemptsSpent, false
	case others == 0:
		return NoneUsable, false
	case !r.replacesUnsent && !d.budget.Allows(now, daisybudget.Retry{}):
		return BudgetSpent, false
	}
	return 0, true
}

// repeatable reports whether the request may safely be sent again after an outcome:
// if it is certain that no endpoint ran it, or if running it twice does no harm.
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

// handleLostAttempt handles the end of an attempt that had not been delivered yet.
func (d *Dispatcher) handleLostAttempt(now time.Time, r *request, a *attempt) {
	r.removeOpen(a)
	a.request = nil
	if r.heldError == a {
		r.heldError = nil
	}
	r.run = daisyrequest.MayHaveRun
	if r.openCount == 0 && r.heldError == nil {
		d.fail(now, r, NotRepeatable, 0)
	}
}

// fail ends a request with a failure that claims that the request was not run only
// if that is certain.
func (d *Dispatcher) fail(now time.Time, r *request, cause Cause, retryAfter time.Duration) {
	if r.openCount > 0 {
		r.run = daisyrequest.MayHaveRun
	}
	d.emit(Fail{
		Request:   r.ID,
		Failure:   failure(r.run, cause, retryAfter),
		Cause:     cause,
		Waited:    now.Sub(r.Arrived),
		Remaining: r.Deadline.Sub(now),
		Expected:  r.expected,
	})
	d.end(now, r, nil)
}

func failure(run daisyrequest.Run, cause Cause, retryAfter time.Duration) daisyrequest.Failure {
	if cause == Expired {
		if run == daisyrequest.MayHaveRun {
			retryAfter = 0
		}
		return daisyrequest.DeadlinePassed{Run: run, RetryAfter: retryAfter}
	}
	if run == daisyrequest.MayHaveRun {
		return daisyrequest.EndpointFailed{}
	}
	switch cause {
	case QueueFull, CannotFinish:
		return daisyrequest.Overloaded{RetryAfter: retryAfter}
	case CrashesEndpoints:
		return daisyrequest.Quarantined{RetryAfter: retryAfter}
	case NoneUsable, AttemptsSpent, BudgetSpent, NotRepeatable, AllPausing, Stopping, Expired, CapacityLost:
	}
	return daisyrequest.NoEndpoint{RetryAfter: retryAfter}
}
