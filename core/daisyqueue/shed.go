package daisyqueue

import (
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyrank"
)

const (
	// overloadWait is how long a request must have waited in vain for the queue to count as
	// overloaded. Requests whose target is shorter than a usual response miss it without
	// any wait, which is no overload.
	overloadWait = 50 * time.Millisecond
	// lateWorth is the worth of a response after its target, relative to one within it.
	lateWorth = 0.1
	// maxPassed is how many requests of less urgent ranks in a row go before a rank all of
	// whose requests will miss their target, so that it gets at least a quarter of the turns of each.
	maxPassed = 3
	// longWork is from which ratio to the rank's mean slot time an account's work counts as
	// long. The mean of 32 exponentially distributed samples is above it in one of 200 cases.
	longWork = 1.5
	// maxTurnCost bounds the turns that an account with long work gives up. With 4 it would
	// get a quarter of the others' turns, and less in some intervals.
	maxTurnCost = 2.5
)

// noteMissed takes note of a request that will miss its target or its deadline although it
// has waited for so long that the queue is overloaded.
func (q *Queue[T]) noteMissed(now time.Time, item *Item[T]) {
	if now.Sub(item.queuedAt) >= overloadWait {
		q.overloadedUntil = now.Add(overloadDuration)
	}
}

// overloaded reports whether requests have missed their target or deadline after a wait
// within the last second, in a service that sheds by cost.
func (q *Queue[T]) overloaded(now time.Time) bool {
	return q.shedsByCost && now.Before(q.overloadedUntil)
}

// shedRank returns the rank to serve under overload: the most urgent one with a request that
// can meet its target, or a more urgent one that has been passed over too often. The first
// rank, which is the most urgent one with requests waiting, is served instead if a more
// urgent rank than that with the request in time loses as much worth for each second of a slot.
func (q *Queue[T]) shedRank(now time.Time, first *rank[T]) *rank[T] {
	passed := 0.0
	for _, i := range q.urgency {
		r := q.ranks[i]
		if r.len() == 0 {
			continue
		}
		q.demote(now, r)
		worth := r.declared.Worth / r.account.slotTime().Seconds()
		switch {
		case r.earliest.Len() > 0 && r != first && worth <= passed:
			return first
		case r.earliest.Len() > 0, r.passed >= maxPassed:
			return r
		}
		passed = max(passed, lateWorth*worth)
	}
	return first
}

// countPassed counts a turn of a rank against the more urgent ones that wait.
func (q *Queue[T]) countPassed(index daisyrank.Index) {
	for _, i := range q.urgency {
		if i == index {
			break
		}
		if q.ranks[i].len() > 0 {
			q.ranks[i].passed++
		}
	}
	q.ranks[index].passed = 0
}

// canMeetTarget reports whether a request is expected to meet a target that comes before its
// deadline. Of its own rank, only the requests that can meet theirs go before it.
func (q *Queue[T]) canMeetTarget(now time.Time, item *Item[T]) bool {
	r := q.ranks[item.Rank]
	if !q.shedsByCost || !item.due().Before(item.Deadline) {
		return false
	}
	wait := q.waitFor(item.Rank, r.flows.readyAhead(item.Account, r.earliest.Len()))
	return !now.Add(wait + r.account.responseTimes.Median()).After(item.due())
}

// RecordSlotTime records for how long an attempt of a client account occupied its slot.
func (q *Queue[T]) RecordSlotTime(index daisyrank.Index, account daisyaccount.Name, slotTime time.Duration) {
	r := q.ranks[index]
	f := r.flows.flowOf(account)
	if f.slotTime == 0 {
		f.slotTime = r.account.slotTime()
		r.flows.update(f)
	}
	f.slotTime += time.Duration(slotTimeWeight * float64(slotTime-f.slotTime))
}

// turnCost returns how many turns a request of the flow counts for under overload: more
// than one if the account's requests take clearly longer than those of its rank.
func (r *rank[T]) turnCost(f *flow[T]) float64 {
	ratio := float64(f.slotTime) / float64(r.account.slotTime())
	if ratio < longWork {
		return 1
	}
	return min(ratio, maxTurnCost)
}
