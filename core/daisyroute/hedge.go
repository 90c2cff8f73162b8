package daisyroute

import (
	"slices"
	"time"

	"daisyyoke/core/daisybudget"
	"daisyyoke/core/daisyhealth"
	"daisyyoke/core/daisyrequest"
)

const (
	// minSamples is the number of response times of a rank from which its
	// percentiles determine when attempts are checked and hedged.
	minSamples = 20
	// defaultCheckDelay is the age at which an attempt is first checked while there
	// are fewer than minSamples.
	defaultCheckDelay = 500 * time.Millisecond
	// minCheckDelay is the minimum time until the next check of an attempt.
	minCheckDelay = time.Millisecond
	// minChecksForEvidence is the number of earlier checks from which the age of an
	// attempt is evidence that its endpoint is slow.
	minChecksForEvidence = 2
	// maxQueuedHedges is the maximum length of the queue of hedges.
	maxQueuedHedges = 64
)

// scheduleCheck schedules the first check of an attempt: at the 90th percentile of
// the response times of its rank, for a trial at twice their median, and earlier if
// a hedge would otherwise be too late for the target of the request.
func (d *Dispatcher) scheduleCheck(now time.Time, a *attempt) {
	times := d.queue.ResponseTimes(a.rank)
	delay := defaultCheckDelay
	if times.Samples() >= minSamples {
		delay = times.P90()
		if a.trial {
			delay = 2 * times.Median()
		}
		if latest, ok := latestHedgeDelay(now, a, times.Median()); ok {
			delay = min(delay, latest)
		}
	}
	d.attemptTimers.Push(now.Add(max(delay, minCheckDelay)), a, &a.timerIndex)
}

// minHedgeDelayMedians is the minimum delay of a hedge that is sent early to meet the
// target, in medians of the response time. Most attempts are answered by then.
const minHedgeDelayMedians = 1.3

// latestHedgeDelay returns the delay after which a hedge with the median response
// time could no longer be answered within the target of the request, but at least
// minHedgeDelayMedians. It reports false if the target of the request is its deadline
// or the request may not be hedged.
func latestHedgeDelay(now time.Time, a *attempt, median time.Duration) (time.Duration, bool) {
	r := a.request
	if r == nil || !r.Hedgeable || r.Target.IsZero() {
		return 0, false
	}
	latest := r.Target.Sub(now) - median
	return max(latest, time.Duration(minHedgeDelayMedians*float64(median))), true
}

// check handles an attempt that has had no response for long: its age may be evidence
// that its endpoint is slow, and it may be hedged.
func (d *Dispatcher) check(now time.Time, a *attempt) {
	d.attemptTimers.Remove(a.timerIndex)
	if now.Equal(d.resumedAt) {
		d.scheduleCheck(now, a)
		return
	}
	age := now.Sub(a.sent)
	if a.checks >= minChecksForEvidence {
		d.observe(now, a, daisyhealth.AtLeast{Slowness: d.slowness(a, age)})
	}
	a.checks++
	if d.mayHedge(now, a) {
		d.queueHedge(a)
	}
	d.attemptTimers.Push(now.Add(max(d.nextCheckDelay(a, age), minCheckDelay)), a, &a.timerIndex)
}

// nextCheckDelay returns the time until the next check: at the 95th and the 99th
// percentile, then each time that the age of the attempt has doubled.
func (d *Dispatcher) nextCheckDelay(a *attempt, age time.Duration) time.Duration {
	times := d.queue.ResponseTimes(a.rank)
	if a.checks == 1 && times.P95() > age {
		return times.P95() - age
	}
	if a.checks <= 2 && times.P99() > age {
		return times.P99() - age
	}
	return age
}

// mayHedge reports whether the request of an attempt may be sent a second time in
// parallel with it. While rate limits leave slots unused, a hedge would take the place of
// another request.
func (d *Dispatcher) mayHedge(now time.Time, a *attempt) bool {
	r := a.request
	if r == nil || !r.Hedgeable || d.rateLimited || r.hedged || r.openCount != 1 || r.heldError != nil || r.attemptsSpent() {
		return false
	}
	if _, quarantined := d.quarantineEnd(now, r.Fingerprint); quarantined {
		return false
	}
	times := d.queue.ResponseTimes(a.rank)
	return times.Samples() >= minSamples && now.Add(times.Median()).Before(r.Deadline)
}

// queueHedge lets an attempt wait for a hedge, unless too many do.
func (d *Dispatcher) queueHedge(a *attempt) {
	if a.awaitsHedge {
		return
	}
	if len(d.hedgeQueue) >= maxQueuedHedges {
		d.hedgeQueue = slices.DeleteFunc(d.hedgeQueue, func(id daisyrequest.AttemptID) bool { return !d.awaitsHedge(id) })
	}
	if len(d.hedgeQueue) < maxQueuedHedges {
		a.awaitsHedge = true
		for len(d.hedgesWaiting) <= int(a.rank) {
			d.hedgesWaiting = append(d.hedgesWaiting, 0)
		}
		d.hedgesWaiting[a.rank]++
		d.hedgeQueue = append(d.hedgeQueue, a.id)
	}
}

func (d *Dispatcher) awaitsHedge(id daisyrequest.AttemptID) bool {
	a := d.attempts[id]
	return a != nil && a.awaitsHedge
}

// withdrawHedge marks an attempt as no longer waiting for a hedge. Its ID stays in the
// queue for now.
func (d *Dispatcher) withdrawHedge(a *attempt) {
	if a.awaitsHedge {
		a.awaitsHedge = false
		d.hedgesWaiting[a.rank]--
	}
}

// sendNextHedge sends the request of the first attempt in the queue a second time if
// there is a free slot that no request of the same or a more urgent rank needs, and no
// rank with waiting requests is below its floor. It reports whether the first attempt
// was removed or no longer waits.
func (d *Dispatcher) sendNextHedge(now time.Time) bool {
	if len(d.hedgeQueue) == 0 || len(d.free) == 0 {
		return false
	}
	id := d.hedgeQueue[0]
	if !d.awaitsHedge(id) {
		d.hedgeQueue = slices.Delete(d.hedgeQueue, 0, 1)
		return true
	}
	a := d.attempts[id]
	if !d.mayHedge(now, a) || !d.budget.Allows(now, daisybudget.Hedge{}) {
		d.withdrawHedge(a)
		return true
	}
	if !d.queue.AllowsExtra(now, a.rank) {
		return false
	}
	c := d.pickByPolicy(now, a.request)
	if c.endpoint == nil {
		return false
	}
	d.withdrawHedge(a)
	d.budget.Take(now, daisybudget.Hedge{})
	a.request.hedged = true
	a.request.reason = Hedge
	d.send(now, a.request, c)
	return true
}
