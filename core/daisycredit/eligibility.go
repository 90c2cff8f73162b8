package daisycredit

import (
	"time"

	"daisyyoke/core/daisywake"
)

const (
	// waitTargetShare is the share of a rank's target for which its requests wait for
	// an endpoint that is neither slow nor nearly full before they get any other: many
	// endpoints slow down when they are nearly full or share their machine with others,
	// and another endpoint is free soon.
	waitTargetShare = 0.1
	// minGrantWait and maxGrantWait bound that time.
	minGrantWait = 20 * time.Millisecond
	maxGrantWait = 200 * time.Millisecond
	// worstWaitFactor multiplies the wait and the extra time for endpoints that are full,
	// or both slow and nearly full: few requests finish there in time.
	worstWaitFactor = 4
	// fullTrialInterval is the time between two credits for last slots while these are
	// known not to increase throughput. The trials show whether that changes.
	fullTrialInterval = time.Second
	// slowExtraTime is the assumed extra time of an attempt at a slow endpoint: slow
	// endpoints usually recover after some hundred milliseconds.
	slowExtraTime = 200 * time.Millisecond
	// slowThreshold is the slowdown from which an endpoint counts as slow.
	slowThreshold = 1.5
)

// eligible reports whether an endpoint with the given slowdown may get another attempt
// now. An endpoint with a fresh report, or with a rate limit, that is neither slow nor
// nearly full is eligible.
// One that is slow or nearly full is eligible if the backlog for good endpoints is
// longer than the extra time that the attempt takes there. Otherwise an endpoint
// becomes eligible when the rank has waited for grantWait without a grant, and eligible
// sets retryAt to that time. Last slots that are known not to increase throughput are
// not eligible at all, except for one trial per fullTrialInterval.
func (o *Owner) eligible(now time.Time, e *endpointState, slowdown float64) bool {
	load := e.load(now)
	nearlyFull := e.nearlyFull(load)
	slow := slowdown >= slowThreshold
	if !nearlyFull && !slow && (e.hasFreshReport(now) || e.rate.limited()) {
		return true
	}
	if nearlyFull && !o.fullIncreasesThroughput() && now.Sub(o.lastFullGrant) < fullTrialInterval {
		return false
	}
	var extra time.Duration
	if slow {
		extra += slowExtraTime
	}
	if nearlyFull {
		extra += o.fullExtraTime()
	}
	wait := o.grantWait()
	if nearlyFull && slow || load >= e.Slots {
		extra *= worstWaitFactor
		wait *= worstWaitFactor
	}
	// A last slot that is known to cost no extra time is as good as any other.
	if known := slow || nearlyFull && o.otherHoldTimes.samples >= minHoldSamples; known && o.backlog >= extra {
		return true
	}
	due := o.rankWaitingSince[o.grantRank]
	if o.lastGrant[o.grantRank].After(due) {
		due = o.lastGrant[o.grantRank]
	}
	due = due.Add(wait)
	if now.Before(due) {
		o.retryAt = daisywake.Sooner(o.retryAt, due)
		return false
	}
	return true
}

// estimateBacklog estimates how long it takes until the waiting requests of a rank and
// of more urgent ones have got endpoints that are neither slow nor nearly full.
func (o *Owner) estimateBacklog(now time.Time, waiting [][]int, rank int) {
	o.backlog = 0
	usableSlots, waitingRequests := 0.0, 0
	for _, e := range o.endpoints {
		if slots := o.openSlots(now, e); slots > 0 {
			usableSlots += o.usableSlots(e, max(slots-1, 1))
		}
	}
	for _, w := range waiting {
		for r := range rank + 1 {
			waitingRequests += w[r]
		}
	}
	if usableSlots > 0 && o.otherHoldTimes.samples >= minHoldSamples {
		o.backlog = time.Duration(float64(waitingRequests) * float64(o.otherHoldTimes.mean) / usableSlots)
	}
}

// nearlyFull reports whether one more attempt fills an endpoint with several slots.
func (e *endpointState) nearlyFull(load int) bool { return e.Slots > 1 && load+1 >= e.Slots }

// load returns the number of requests at an endpoint: the credits lent there, or the
// number according to a fresh report if that is higher, which includes the requests of
// VMs that this one cannot reach.
func (e *endpointState) load(now time.Time) int {
	if !e.hasFreshReport(now) {
		return e.lentCredits
	}
	return max(e.lentCredits, e.reportedLoad+e.lentCredits-e.lentAtReport)
}

// grantWait returns how long requests of grantRank wait for a good endpoint.
func (o *Owner) grantWait() time.Duration {
	target := o.ranks()[o.grantRank].Target
	return min(max(time.Duration(waitTargetShare*float64(target)), minGrantWait), maxGrantWait)
}
