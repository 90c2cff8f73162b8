package daisyqueue

import (
	"time"

	"daisyyoke/core/daisyheap"
	"daisyyoke/core/daisyrank"
)

// Step is what Next gives. It is one of Serve, Drop and Idle.
type Step[T any] interface{ step(T) }

// Serve says that the request is the next to get a slot.
type Serve[T any] struct{ Item *Item[T] }

// Drop says that the request cannot finish by its deadline and has to be refused.
type Drop[T any] struct {
	Item *Item[T]
	// Needs is how long it was expected to take from now to its answer.
	Needs time.Duration
}

// Idle says that nothing waits.
type Idle[T any] struct{}

func (Serve[T]) step(T) {}
func (Drop[T]) step(T)  {}
func (Idle[T]) step(T)  {}

// overloadTime is how long LatestWhenOverloaded takes the latest deadline first after a drop.
const overloadTime = time.Second

// Next gives the request that a free slot should go to. A request to serve goes
// on waiting until Remove; a dropped one waits no longer.
func (q *Queue[T]) Next(now time.Time) Step[T] {
	q.settle(now)
	r := q.turn()
	if r == nil {
		return Idle[T]{}
	}
	r.demote(now)
	item := r.head(now, q.options.Order)
	needs := r.margin()
	if now.Before(item.Deadline) && (q.waiting == 1 || !now.Add(needs).After(item.Deadline)) {
		return Serve[T]{Item: item}
	}
	return q.drop(now, r, item, needs)
}

// Expire gives a request whose time to begin has passed while no slot was free, or Idle.
func (q *Queue[T]) Expire(now time.Time) Step[T] {
	for _, r := range q.ranks {
		r.demote(now)
		for _, h := range []*daisyheap.Heap[*Item[T]]{r.earliest, r.overdue} {
			if _, item, ok := h.First(); ok && !now.Before(r.start(item)) {
				return q.drop(now, r, item, r.account.answers.Median())
			}
		}
	}
	return Idle[T]{}
}

// NextExpiry gives when Expire will have a request next; the zero time means never.
func (q *Queue[T]) NextExpiry() time.Time {
	var next time.Time
	for _, r := range q.ranks {
		for _, h := range []*daisyheap.Heap[*Item[T]]{r.earliest, r.overdue} {
			at, _, ok := h.First()
			if !ok {
				continue
			}
			start := at.Add(-r.account.answers.Median())
			if next.IsZero() || start.Before(next) {
				next = start
			}
		}
	}
	return next
}

// Yields reports whether a free slot may go to extra work of a rank: no request of
// the rank or of a more urgent one waits, and no rank with work is owed slot time.
func (q *Queue[T]) Yields(now time.Time, index daisyrank.Index) bool {
	q.settle(now)
	for i, r := range q.ranks {
		if r.len() == 0 {
			continue
		}
		if i <= int(index) || r.owed() {
			return false
		}
	}
	return true
}

// owed reports whether the rank got less than its floor.
func (r *rank[T]) owed() bool { return r.declared.Floor > 0 && r.account.owed >= 0 }

// turn gives the rank whose turn it is: the most urgent one that is owed slot
// time, or else the most urgent one.
func (q *Queue[T]) turn() *rank[T] {
	var first *rank[T]
	for _, r := range q.ranks {
		if r.len() == 0 {
			continue
		}
		if r.owed() {
			return r
		}
		if first == nil {
			first = r
		}
	}
	return first
}

func (r *rank[T]) head(now time.Time, order Order) *Item[T] {
	if r.earliest.Len() == 0 {
		_, item, _ := r.overdue.First()
		return item
	}
	switch order.(type) {
	case LatestWhenOverloaded:
		if now.Before(r.overloadedUntil) {
			_, item, _ := r.latest.First()
			return item
		}
	case EarliestFirst:
	}
	_, item, _ := r.earliest.First()
	return item
}

// margin is the time to an answer that a request at the head must have left: more
// while another of its rank waits that has more time left.
func (r *rank[T]) margin() time.Duration {
	if r.len() > 1 {
		return r.account.answers.P95()
	}
	return r.account.answers.Median()
}

// start gives the time by which the request has to begin to be more likely to finish than not.
func (r *rank[T]) start(item *Item[T]) time.Time {
	return item.Deadline.Add(-r.account.answers.Median())
}

func (q *Queue[T]) drop(now time.Time, r *rank[T], item *Item[T], needs time.Duration) Step[T] {
	q.Remove(now, item)
	r.overloadedUntil = now.Add(overloadTime)
	return Drop[T]{Item: item, Needs: needs}
}
