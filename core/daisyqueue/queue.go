// Package daisyqueue orders the requests of one service that wait at one VM for a slot.
//
// Requests are ordered by rank. Within a rank, client accounts are served in turn, the one
// with the least recent use first, and the requests of an account by due time, which is the
// target or the deadline, whichever comes first. A rank that got less than its floor of the slot
// time while it had requests waiting goes before the others. Requests that cannot
// finish by their deadline are refused, and the number of waiting requests is bounded.
package daisyqueue

import (
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyheap"
	"daisyyoke/core/daisyrank"
)

// Item is one waiting request. Its owner keeps it in memory and changes nothing but
// Value while it waits.
type Item[T any] struct {
	Value T
	// Rank is an index that the queue has assigned; see Queue.Rank.
	Rank     daisyrank.Index
	Deadline time.Time
	// Target is when the response begins to lose worth; the zero time means at the Deadline.
	Target time.Time
	// Account is the client account that the request belongs to; empty if it has none.
	Account daisyaccount.Name

	// earliestIndex and overdueIndex are the positions in the heaps of the rank, and the
	// others those in the heaps of the flow.
	earliestIndex, overdueIndex                      int
	flowEarliestIndex, latestIndex, flowOverdueIndex int
	flow                                             *flow[T]
	queued                                           bool
	// queuedAt is when the request was first queued.
	queuedAt time.Time
}

// due returns the time by which the request should be answered: its target if that
// comes before its deadline, else its deadline.
func (i *Item[T]) due() time.Time {
	if i.Target.IsZero() || i.Target.After(i.Deadline) {
		return i.Deadline
	}
	return i.Target
}

// Queued reports whether the item is in a queue.
func (i *Item[T]) Queued() bool { return i.queued }

// Limits bound how many requests wait.
type Limits struct {
	// Rank bounds the requests of one rank, Service those of all ranks.
	Rank    int
	Service int
}

// cappedAt returns the limits when all services of the VM together can hold a number
// of further requests; 0 means any number. A service may queue as many requests as are
// left free for the others, so that several overloaded services still leave capacity
// (the dynamic threshold of Choudhury and Hahne, 1998).
func (l Limits) cappedAt(available int) Limits {
	if available == 0 {
		return l
	}
	return Limits{Rank: min(l.Rank, available), Service: min(l.Service, available)}
}

// Options configure a queue.
type Options struct {
	Limits Limits
	// Order defaults to LatestWhenOverloaded.
	Order Order
	// Admission defaults to RefuseInfeasible.
	Admission Admission
}

// Order is the order within a rank. It is one of EarliestFirst and LatestWhenOverloaded.
type Order interface{ order() }

// EarliestFirst serves the earliest due time first.
type EarliestFirst struct{}

// LatestWhenOverloaded serves the latest due time of an account first for a second after a
// request of the account could not finish by its deadline, and the earliest due time first
// otherwise.
type LatestWhenOverloaded struct{}

func (EarliestFirst) order()        {}
func (LatestWhenOverloaded) order() {}

// Admission is the policy for queueing requests. It is one of RefuseInfeasible and AdmitAll.
type Admission interface{ admission() }

// RefuseInfeasible refuses a request that would have to wait too long to finish by its deadline.
type RefuseInfeasible struct{}

// AdmitAll admits every request, up to the limits.
type AdmitAll struct{}

func (RefuseInfeasible) admission() {}
func (AdmitAll) admission()         {}

// Queue holds the waiting requests of one service. The times passed to its methods must
// not decrease.
type Queue[T any] struct {
	options Options
	// ranks has the state of each rank by its index, and urgency the indices of the ranks
	// in use, the most urgent first. declared are those of the last SetRanks.
	ranks    []*rank[T]
	urgency  []daisyrank.Index
	declared []daisyrank.Rank
	waiting  int
	// inFlight counts the attempts of all ranks.
	inFlight  int
	accruedAt time.Time
	// evenShare is the number of slots of this VM when all VMs have the same demand.
	evenShare float64
	// evacuatedInFlight counts the attempts at endpoints that get nothing new.
	evacuatedInFlight int
	// rateLimited is set if the endpoints' rate limits leave slots unused.
	rateLimited bool
	// shedsByCost is set once a request of a client account has been queued: only services
	// with accounts shed by cost, and those without keep the order that they had.
	shedsByCost bool
	// overloadedUntil is when the order goes back to what it is without overload.
	overloadedUntil time.Time
}

// New returns an empty queue for the ranks, the most urgent one first.
func New[T any](ranks []daisyrank.Rank, options Options) *Queue[T] {
	if options.Order == nil {
		options.Order = LatestWhenOverloaded{}
	}
	if options.Admission == nil {
		options.Admission = RefuseInfeasible{}
	}
	q := &Queue[T]{options: options}
	q.SetRanks(ranks)
	return q
}

// SetEvenShare sets the number of slots that the VM has when all VMs want as many. The
// VM may use fewer while others need more, and is lent slots up to this share when it
// needs them.
func (q *Queue[T]) SetEvenShare(slots float64) { q.evenShare = slots }

// SetEvacuatedInFlight sets how many of the attempts in flight are at endpoints that get
// nothing new: their slots will not be free for waiting requests.
func (q *Queue[T]) SetEvacuatedInFlight(attempts int) { q.evacuatedInFlight = attempts }

// SetRateLimited sets whether the endpoints' rate limits leave slots unused, so that
// requests wait although none is in flight.
func (q *Queue[T]) SetRateLimited(limited bool) { q.rateLimited = limited }

// SlotTime returns the mean slot time of the attempts of all ranks, or 0 if none has ended.
func (q *Queue[T]) SlotTime() time.Duration {
	var sum time.Duration
	ranks := 0
	for _, i := range q.urgency {
		r := q.ranks[i]
		if r.account.meanSlotTime > 0 {
			sum += r.account.meanSlotTime
			ranks++
		}
	}
	return sum / time.Duration(max(ranks, 1))
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.waiting }

// Waiting returns the number of waiting requests of a rank.
func (q *Queue[T]) Waiting(index daisyrank.Index) int { return q.ranks[index].len() }

func (r *rank[T]) len() int { return r.earliest.Len() + r.overdue.Len() }

// demote moves the requests that will miss their target behind those that can meet it.
func (q *Queue[T]) demote(now time.Time, r *rank[T]) {
	for {
		due, item, ok := r.earliest.First()
		if !ok || !due.Before(item.Deadline) || now.Before(due.Add(-r.account.responseTimes.Median())) {
			return
		}
		q.noteMissed(now, item)
		r.earliest.Remove(item.earliestIndex)
		item.flow.earliest.Remove(item.flowEarliestIndex)
		item.flow.latest.Remove(item.latestIndex)
		r.overdue.Push(item.Deadline, item, &item.overdueIndex)
		item.flow.overdue.Push(item.Deadline, item, &item.flowOverdueIndex)
		r.flows.update(item.flow)
	}
}

// InFlight returns the number of attempts of a rank in flight.
func (q *Queue[T]) InFlight(index daisyrank.Index) int { return q.ranks[index].account.inFlight }

// Push queues a request regardless of limits and estimates; Admit applies them.
func (q *Queue[T]) Push(now time.Time, item *Item[T]) {
	q.accrue(now)
	r := q.ranks[item.Rank]
	item.overdueIndex, item.flowOverdueIndex = daisyheap.NotInHeap, daisyheap.NotInHeap
	item.flow = r.flows.flowOf(item.Account)
	r.earliest.Push(item.due(), item, &item.earliestIndex)
	item.flow.earliest.Push(item.due(), item, &item.flowEarliestIndex)
	item.flow.latest.Push(item.due(), item, &item.latestIndex)
	r.flows.update(item.flow)
	q.shedsByCost = q.shedsByCost || item.Account != ""
	if item.queuedAt.IsZero() {
		item.queuedAt = now
	}
	q.demote(now, r)
	item.queued = true
	q.waiting++
}

// Remove takes a request out of the queue. It does nothing if the request is not queued.
func (q *Queue[T]) Remove(now time.Time, item *Item[T]) {
	if !item.queued {
		return
	}
	q.accrue(now)
	r := q.ranks[item.Rank]
	r.earliest.Remove(item.earliestIndex)
	r.overdue.Remove(item.overdueIndex)
	item.flow.earliest.Remove(item.flowEarliestIndex)
	item.flow.latest.Remove(item.latestIndex)
	item.flow.overdue.Remove(item.flowOverdueIndex)
	r.flows.update(item.flow)
	item.queued, item.flow = false, nil
	q.waiting--
}

// Take takes a request out of the queue that gets a slot, which ends the turn of its account.
// It does nothing if the request is not queued.
func (q *Queue[T]) Take(now time.Time, item *Item[T]) {
	if item.queued {
		r, turns := q.ranks[item.Rank], 1.0
		if q.overloaded(now) {
			turns = r.turnCost(item.flow)
		}
		q.countPassed(item.Rank)
		r.flows.use(item.flow, turns)
		q.Remove(now, item)
	}
}
