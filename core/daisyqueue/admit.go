package daisyqueue

import (
	"slices"
	"time"

	"daisyyoke/core/daisyrank"
)

// Verdict is the result of Admit. It is one of Admitted, Refused and Displaced.
type Verdict[T any] interface{ verdict(T) }

// Admitted means that the request was queued.
type Admitted[T any] struct{}

// Refused means that the request was not queued.
type Refused[T any] struct {
	Cause Cause
	// Expected is the estimated time from now to the response.
	Expected time.Duration
	// RetryAfter is the estimated time until the queue of the rank has drained.
	RetryAfter time.Duration
}

// Displaced means that the request was queued in place of another one, which is refused.
type Displaced[T any] struct {
	Item       *Item[T]
	RetryAfter time.Duration
}

func (Admitted[T]) verdict(T)  {}
func (Refused[T]) verdict(T)   {}
func (Displaced[T]) verdict(T) {}

// Cause is the reason for refusing a request.
type Cause int

const (
	// Full means that too many requests wait.
	Full Cause = iota
	// Infeasible means that the request could not finish by its deadline.
	Infeasible
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Admit queues a request if it can finish by its deadline and the limits allow it.
// The argument available is the number of further requests that the VM can hold; 0
// means any number.
//
// At the limit of the rank, Admit evicts a request of that rank; at the limit of the
// service, one of the least urgent rank that holds more than its floor of the limit, or
// else one of the request's own rank.
func (q *Queue[T]) Admit(now time.Time, item *Item[T], available int) Verdict[T] {
	q.accrue(now)
	expected := q.estimateCompletion(item)
	if q.cannotFinish(now, item, expected) {
		return Refused[T]{Cause: Infeasible, Expected: expected, RetryAfter: q.RetryAfter(item.Rank)}
	}
	q.Push(now, item)
	evicted := q.evictionCandidate(item.Rank, q.options.Limits.cappedAt(available))
	if evicted == nil {
		return Admitted[T]{}
	}
	q.Remove(now, evicted)
	retryAfter := q.RetryAfter(evicted.Rank)
	if evicted == item {
		return Refused[T]{Cause: Full, Expected: expected, RetryAfter: retryAfter}
	}
	return Displaced[T]{Item: evicted, RetryAfter: retryAfter}
}

// cannotFinish reports whether a request is not expected to finish by its deadline, given the
// estimate of its completion. Those that will miss their target wait behind those that can
// meet it, so they are no reason to refuse one of these.
func (q *Queue[T]) cannotFinish(now time.Time, item *Item[T], expected time.Duration) bool {
	return expected > 0 && now.Add(expected).After(item.Deadline) && !q.canMeetTarget(now, item)
}

// estimateCompletion returns the estimated time from now to the response for a request
// that has to wait. It returns 0 when the request need not wait, or is admitted regardless
// of the estimate.
func (q *Queue[T]) estimateCompletion(item *Item[T]) time.Duration {
	switch q.options.Admission.(type) {
	case RefuseInfeasible:
		r := q.ranks[item.Rank]
		if wait := q.waitFor(item.Rank, r.flows.ahead(item.Account, r.len())); wait > 0 {
			return wait + r.account.responseTimes.Median()
		}
	case AdmitAll:
	}
	return 0
}

// Wait estimates how long a request of a rank that arrives now will wait: the slot
// time of the requests ahead of it, divided by the slots in use or by the even share
// of the VM, whichever is more. The estimate is at least the time that the requests
// of the rank itself take at its recent share of the slots, and at most the time that
// they take at its floor.
func (q *Queue[T]) Wait(index daisyrank.Index) time.Duration {
	return q.waitFor(index, q.ranks[index].len())
}

// waitFor is like Wait for a request behind a number of those of its rank.
func (q *Queue[T]) waitFor(index daisyrank.Index, requests int) time.Duration {
	if q.inFlight == 0 && !q.rateLimited || q.waiting == 0 {
		return 0
	}
	var ahead time.Duration
	for _, i := range q.urgency {
		if i == index {
			break
		}
		ahead += time.Duration(q.ranks[i].len()) * q.ranks[i].account.slotTime()
	}
	slots := max(float64(q.inFlight-q.evacuatedInFlight), q.evenShare)
	if slots <= 0 {
		slots = 1
	}
	r := q.ranks[index]
	own := time.Duration(requests) * r.account.slotTime()
	byPriority := float64(ahead+own) / slots
	share := max(r.account.slotShare, r.declared.Floor, minSlotShare)
	byShare := float64(own) / (share * slots)
	if r.declared.Floor > 0 {
		return time.Duration(min(max(byPriority, byShare), float64(own)/(r.declared.Floor*slots)))
	}
	return time.Duration(max(byPriority, byShare))
}

// minSlotShare keeps the estimate finite for a rank without a floor.
const minSlotShare = 0.001

// Unservable returns a waiting request that is not expected to finish by its deadline, of the
// least urgent rank that has any, or nil if there is none. Capacity may have been lost since
// the requests were admitted.
func (q *Queue[T]) Unservable(now time.Time) *Item[T] {
	q.accrue(now)
	for _, i := range slices.Backward(q.urgency) {
		if q.ranks[i].len() == 0 {
			continue
		}
		item := q.rankEvictionCandidate(i)
		if q.cannotFinish(now, item, q.estimateCompletion(item)) {
			return item
		}
	}
	return nil
}

// RetryAfter returns the estimated time until the queue of a rank has drained, within
// bounds.
func (q *Queue[T]) RetryAfter(index daisyrank.Index) time.Duration {
	return min(max(q.Wait(index), minRetryAfter), maxRetryAfter)
}

// evictionCandidate returns the request to evict after a request of a rank was added,
// or nil if all limits are met.
func (q *Queue[T]) evictionCandidate(index daisyrank.Index, limits Limits) *Item[T] {
	if q.ranks[index].len() > limits.Rank {
		return q.rankEvictionCandidate(index)
	}
	if q.waiting <= limits.Service {
		return nil
	}
	for _, i := range slices.Backward(q.urgency) {
		reserved := q.ranks[i].declared.Floor * float64(limits.Service)
		n := q.ranks[i].len()
		if n > 0 && float64(n) > reserved {
			return q.rankEvictionCandidate(i)
		}
	}
	return q.rankEvictionCandidate(index)
}

// rankEvictionCandidate returns the request of a rank to evict, from the account with the
// most requests there: the overdue one with the earliest deadline if there are overdue
// ones, else the one with the latest due time.
func (q *Queue[T]) rankEvictionCandidate(index daisyrank.Index) *Item[T] {
	_, f, _ := q.ranks[index].flows.sizes.First()
	if _, item, ok := f.overdue.First(); ok {
		return item
	}
	_, item, _ := f.latest.First()
	return item
}
