package daisyroute

import (
	"slices"
	"time"

	"daisyyoke/core/daisybudget"
	"daisyyoke/core/daisyhealth"
	"daisyyoke/core/daisyrequest"
)

const (
	// fewestSamples of a rank come before hedges are timed by its percentiles.
	fewestSamples = 20
	// unknownCheck is the age of the first check of an attempt while the samples are too few.
	unknownCheck = 500 * time.Millisecond
	// shortestCheck is the shortest time to a check.
	shortestCheck = time.Millisecond
	// evidenceFrom is the number of checks after which age is evidence against an endpoint.
	evidenceFrom = 2
	// mostHedges bounds the attempts that wait for a hedge.
	mostHedges = 64
)

// planCheck sets the first check of an attempt, at the 90th percentile of its rank.
func (d *Dispatcher) planCheck(now time.Time, a *attempt) {
	times := d.queue.Answers(a.rank)
	delay := unknownCheck
	if times.Samples() >= fewestSamples {
		delay = times.P90()
		if a.trial {
			delay = 2 * times.Median()
		}
		if last, ok := lastUseful(now, a, times.Median()); ok {
			delay = min(delay, last)
		}
	}
	d.attemptTimers.Push(now.Add(max(delay, shortestCheck)), a, &a.check)
}

// usefulFrom is how many times the median an attempt is left alone: most are answered
// by then.
const usefulFrom = 1.3

// lastUseful gives the time after which a hedge that takes the median could no
// longer be answered within the target of the request.
func lastUseful(now time.Time, a *attempt, median time.Duration) (time.Duration, bool) {
	r := a.request
	if r == nil || !r.Hedgeable || r.Target.IsZero() {
		return 0, false
	}
	last := r.Target.Sub(now) - median
	return max(last, time.Duration(usefulFrom*float64(median))), true
}

// check looks at an attempt that has been without an answer for long: its age is
// evidence against its endpoint, and it may be hedged.
func (d *Dispatcher) check(now time.Time, a *attempt) {
	d.attemptTimers.Remove(a.check)
	if now.Equal(d.resumedAt) {
		d.planCheck(now, a)
		return
	}
	age := now.Sub(a.sent)
	if a.checks >= evidenceFrom {
		d.observe(now, a, daisyhealth.AtLeast{Slowness: d.slowness(a, age)})
	}
	a.checks++
	if d.hedgeable(now, a) {
		d.wantHedge(a)
	}
	d.attemptTimers.Push(now.Add(max(d.nextCheck(a, age), shortestCheck)), a, &a.check)
}

// nextCheck gives the time to the next check: at the 95th and the 99th percentile,
// and then each time that the age has doubled.
func (d *Dispatcher) nextCheck(a *attempt, age time.Duration) time.Duration {
	times := d.queue.Answers(a.rank)
	if a.checks == 1 && times.P95() > age {
		return times.P95() - age
	}
	if a.checks <= 2 && times.P99() > age {
		return times.P99() - age
	}
	return age
}

// hedgeable reports whether the request of an attempt may be sent a second time beside it.
func (d *Dispatcher) hedgeable(now time.Time, a *attempt) bool {
	r := a.request
	if r == nil || !r.Hedgeable || r.hedged || r.running != 1 || r.held != nil || r.spent() {
		return false
	}
	times := d.queue.Answers(a.rank)
	return times.Samples() >= fewestSamples && now.Add(times.Median()).Before(r.Deadline)
}

// wantHedge lets an attempt wait for a hedge.
func (d *Dispatcher) wantHedge(a *attempt) {
	if a.hedging {
		return
	}
	if len(d.hedgeQueue) >= mostHedges {
		d.hedgeQueue = slices.DeleteFunc(d.hedgeQueue, func(id daisyrequest.AttemptID) bool { return !d.wantsHedge(id) })
	}
	if len(d.hedgeQueue) < mostHedges {
		a.hedging = true
		d.hedgesWaiting[a.rank]++
		d.hedgeQueue = append(d.hedgeQueue, a.id)
	}
}

func (d *Dispatcher) wantsHedge(id daisyrequest.AttemptID) bool {
	a := d.attempts[id]
	return a != nil && a.hedging
}

// forgoHedge says that an attempt waits for a hedge no longer.
func (d *Dispatcher) forgoHedge(a *attempt) {
	if a.hedging {
		a.hedging = false
		d.hedgesWaiting[a.rank]--
	}
}

// hedgeNext sends the request of a slow attempt a second time, into a slot that no
// request as urgent waits for. It reports whether the hedge at the head was dealt with.
func (d *Dispatcher) hedgeNext(now time.Time) bool {
	if len(d.hedgeQueue) == 0 || len(d.free) == 0 {
		return false
	}
	id := d.hedgeQueue[0]
	if !d.wantsHedge(id) {
		d.hedgeQueue = slices.Delete(d.hedgeQueue, 0, 1)
		return true
	}
	a := d.attempts[id]
	if !d.hedgeable(now, a) || !d.budget.Allows(now, daisybudget.Hedge{}) {
		d.forgoHedge(a)
		return true
	}
	if !d.queue.Yields(now, a.rank) {
		return false
	}
	c := d.choose(now, a.request)
	if c.endpoint == nil {
		return false
	}
	d.forgoHedge(a)
	d.budget.Take(now, daisybudget.Hedge{})
	a.request.hedged = true
	a.request.reason = Hedge
	d.send(now, a.request, c)
	return true
}
