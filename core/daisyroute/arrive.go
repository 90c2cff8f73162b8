package daisyroute

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisybudget"
	"daisyyoke/core/daisyqueue"
	"daisyyoke/core/daisyrequest"
)

// defaultRetryAfter is the Retry-After of failures for which the queue returns no
// estimate, such as when no endpoint is usable.
const defaultRetryAfter = time.Second

func (d *Dispatcher) handleArrival(now time.Time, event RequestArrived) {
	q := event.Request
	if d.requests[q.ID] != nil {
		return
	}
	if d.division.byRate {
		d.division.arrivals.add(now, 1)
	}
	rank := d.queue.Rank(q.Rank)
	if d.mostUrgent(rank) {
		d.lastUrgent = now
	}
	outlastsStop := d.mayOutlastStop(q)
	if d.stopsBefore(q.Deadline) {
		q.Deadline = d.answerBy
	}
	r := d.pool.newRequest(q, rank)
	d.requests[r.ID] = r
	switch {
	case outlastsStop:
		d.fail(now, r, Stopping, d.firstBackoff())
		return
	case !now.Before(q.Deadline):
		d.fail(now, r, Expired, defaultRetryAfter)
		return
	case d.usable == 0:
		d.fail(now, r, NoneUsable, defaultRetryAfter)
		return
	}
	if d.failQuarantined(now, r) || d.failForStop(now, r) || d.failForPause(now, r) {
		return
	}
	if d.queue.Len() == 0 {
		if c := d.pick(now, r); c.endpoint != nil {
			d.send(now, r, c)
			return
		}
	}
	d.admit(now, r, event.Capacity)
}

func (d *Dispatcher) admit(now time.Time, r *request, capacity int) {
	switch v := d.queue.Admit(now, &r.item, capacity).(type) {
	case daisyqueue.Refused[*request]:
		r.expected = v.Expected
		d.fail(now, r, causeOf(v.Cause), v.RetryAfter)
	case daisyqueue.Displaced[*request]:
		d.noteWaiting(now, r)
		d.fail(now, v.Item.Value, QueueFull, v.RetryAfter)
	case daisyqueue.Admitted[*request]:
		d.noteWaiting(now, r)
	}
}

func causeOf(cause daisyqueue.Cause) Cause {
	switch cause {
	case daisyqueue.Full:
		return QueueFull
	case daisyqueue.Infeasible:
		return CannotFinish
	}
	return QueueFull
}

func (d *Dispatcher) handleAbandonment(now time.Time, id daisyrequest.ID) {
	if r := d.requests[id]; r != nil {
		d.end(now, r, nil)
	}
}

// dispatchWaiting sends hedges and waiting requests for as long as there are free
// slots. When no endpoint is usable, it fails the waiting requests.
func (d *Dispatcher) dispatchWaiting(now time.Time) {
	for len(d.free)+len(d.trials) > 0 || d.usable == 0 {
		if !d.sendNextHedge(now) && !d.serveNext(now) {
			break
		}
	}
	for _, r := range d.skipped {
		d.queue.Push(now, &r.item)
	}
	clear(d.skipped)
	d.skipped = d.skipped[:0]
}

// maxSkipped is the maximum number of waiting requests that one call of
// dispatchWaiting skips because they may not go to any of the free endpoints.
const maxSkipped = 4

// serveNext sends, fails or skips the next waiting request. It reports whether
// further requests may be served.
func (d *Dispatcher) serveNext(now time.Time) bool {
	switch s := d.queue.Next(now).(type) {
	case daisyqueue.Drop[*request]:
		d.drop(now, s)
		return true
	case daisyqueue.Serve[*request]:
		if d.reservesLastCredit(now, s.Item.Rank) {
			return false
		}
		return d.serve(now, s.Item.Value)
	case daisyqueue.Idle[*request]:
	}
	return false
}

func (d *Dispatcher) serve(now time.Time, r *request) bool {
	if d.usable == 0 {
		d.fail(now, r, NoneUsable, defaultRetryAfter)
		return true
	}
	if d.failForStop(now, r) {
		return true
	}
	c := d.pick(now, r)
	if c.endpoint == nil {
		d.queue.Remove(now, &r.item)
		d.skipped = append(d.skipped, r)
		return len(d.skipped) < maxSkipped
	}
	if r.reason == Retry && !r.replacesUnsent && !d.budget.Take(now, daisybudget.Retry{}) {
		d.fail(now, r, BudgetSpent, d.retryAfter(r.item.Rank, BudgetSpent))
		return true
	}
	d.queue.Take(now, &r.item)
	d.send(now, r, c)
	return true
}

// expire fails the waiting requests that can no longer be answered by their deadline.
func (d *Dispatcher) expire(now time.Time) {
	for s, ok := d.queue.Expire(now).(daisyqueue.Drop[*request]); ok; s, ok = d.queue.Expire(now).(daisyqueue.Drop[*request]) {
		d.drop(now, s)
	}
}

func (d *Dispatcher) drop(now time.Time, step daisyqueue.Drop[*request]) {
	r := step.Item.Value
	r.expected = step.Expected
	retryAfter := d.queue.RetryAfter(r.item.Rank)
	if now.Before(r.Deadline) {
		d.fail(now, r, CannotFinish, retryAfter)
		return
	}
	d.fail(now, r, Expired, retryAfter)
}

// send starts an attempt. The budget of a retry or hedge has to be checked before.
func (d *Dispatcher) send(now time.Time, r *request, c candidate) {
	d.lastAttempt++
	a := d.pool.newAttempt()
	a.id, a.endpoint, a.rank, a.sent, a.request = d.lastAttempt, c.endpoint, r.item.Rank, now, r
	a.trial = c.choice == Trial
	a.account = r.Account
	a.fingerprint = r.Fingerprint
	a.declared = c.endpoint.declared
	a.countedAsFirst = r.reason == First || r.reason == Retry && r.replacesUnsent
	if r.reason == First {
		d.budget.First(now)
	}
	d.attempts[a.id] = a
	r.addOpen(a)
	r.sends++
	r.runs++
	r.replacesUnsent = false
	d.emit(Send{
		Request:       r.ID,
		Attempt:       a.id,
		Endpoint:      c.endpoint.address,
		Instance:      c.endpoint.declared.Instance,
		Deadline:      r.Deadline,
		Reason:        r.reason,
		Choice:        c.choice,
		FreeEndpoints: len(d.free),
		Considered:    considered(c),
		Waited:        now.Sub(r.Arrived),
		Report:        c.endpoint.report,
		RateLimit:     c.endpoint.rate.inForce,
		RateUsed:      c.endpoint.rate.usedShare(now),
	})
	a.charge = d.queue.Started(now, a.rank)
	a.endpoint.inFlight++
	d.countSend(now, a.endpoint, a.trial)
	a.sharing = a.endpoint.sharing
	a.sharing.take(a)
	d.health.Sent(now, a.endpoint.health)
	d.refresh(now, a.endpoint)
	d.scheduleCheck(now, a)
}

func considered(c candidate) []netip.AddrPort {
	if c.considered == nil {
		return nil
	}
	return []netip.AddrPort{c.considered.address}
}
