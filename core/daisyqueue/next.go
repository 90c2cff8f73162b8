package daisyqueue

import (
	"time"

	"daisyyoke/core/daisyheap"
	"daisyyoke/core/daisyrank"
)

// Step is the result of Next and Expire. It is one of Serve, Drop and Idle.
type Step[T any] interface{ step(T) }

// Serve means that the request is the next to get a slot.
type Serve[T any] struct{ Item *Item[T] }

// Drop means that the request cannot finish by its deadline and has to be refused.
type Drop[T any] struct {
	Item *Item[T]
	// Expected is the estimated time from now to the response.
	Expected time.Duration
}

// Idle means that there is no request to serve or to drop.
type Idle[T any] struct{}

func (Serve[T]) step(T) {}
func (Drop[T]) step(T)  {}
func (Idle[T]) step(T)  {}

// overloadDuration is how long LatestWhenOverloaded serves the latest due time first after a drop.
const overloadDuration = time.Second

// Next returns the request that a free slot should go to. A request to serve stays in
// the queue until Take is called; a dropped one has been removed. The only request
// that waits is served until its deadline, whatever the estimate.
func (q *Queue[T]) Next(now time.Time) Step[T] {
	q.accrue(now)
	r := q.nextRank(now)
	if r == nil {
		return Idle[T]{}
	}
	q.demote(now, r)
	f, _ := r.flows.next()
	item := f.head(now, q.options.Order)
	required := r.requiredTime(f)
	if now.Before(item.Deadline) && (q.waiting == 1 || !now.Add(required).After(item.Deadline)) {
		return Serve[T]{Item: item}
	}
	return q.drop(now, item, required)
}

// Expire removes and returns a request whose latest start time passed before a slot
// became free, or returns Idle.
func (q *Queue[T]) Expire(now time.Time) Step[T] {
	for _, i := range q.urgency {
		r := q.ranks[i]
		q.demote(now, r)
		for _, h := range []*daisyheap.Heap[*Item[T]]{r.earliest, r.overdue} {
			if _, item, ok := h.First(); ok && !now.Before(r.latestStart(item)) {
				return q.drop(now, item, r.account.responseTimes.Median())
			}
		}
	}
	return Idle[T]{}
}

// NextExpiry returns the earliest time at which Expire may return a request; the zero
// time means never.
func (q *Queue[T]) NextExpiry() time.Time {
	var next time.Time
	for _, i := range q.urgency {
		r := q.ranks[i]
		for _, h := range []*daisyheap.Heap[*Item[T]]{r.earliest, r.overdue} {
			at, _, ok := h.First()
			if !ok {
				continue
			}
			start := at.Add(-r.account.responseTimes.Median())
			if next.IsZero() || start.Before(next) {
				next = start
			}
		}
	}
	return next
}

// AllowsExtra reports whether a free slot may be used for extra work of a rank: neither
// the rank nor a more urgent one has requests waiting, and no rank with requests
// waiting is below its floor.
func (q *Queue[T]) AllowsExtra(now time.Time, index daisyrank.Index) bool {
	q.accrue(now)
	mayPrecede := true
	for _, i := range q.urgency {
		r := q.ranks[i]
		if r.len() > 0 && (mayPrecede || r.belowFloor()) {
			return false
		}
		mayPrecede = mayPrecede && i != index
	}
	return true
}

// belowFloor reports whether the rank has a floor and has not used more slot time than
// the floor entitles it to.
func (r *rank[T]) belowFloor() bool { return r.declared.Floor > 0 && r.account.deficit >= 0 }

// nextRank returns the most urgent rank that is below its floor, or else the most
// urgent one, of the ranks with requests waiting; nil if there are none. See shedRank for
// the order under overload.
func (q *Queue[T]) nextRank(now time.Time) *rank[T] {
	var first *rank[T]
	for _, i := range q.urgency {
		r := q.ranks[i]
		if r.len() == 0 {
			continue
		}
		if r.belowFloor() {
			return r
		}
		if first == nil {
			first = r
		}
	}
	if first == nil {
		return nil
	}
	q.demote(now, first)
	if q.overloaded(now) {
		return q.shedRank(now, first)
	}
	return first
}

func (f *flow[T]) head(now time.Time, order Order) *Item[T] {
	if f.earliest.Len() == 0 {
		_, item, _ := f.overdue.First()
		return item
	}
	switch order.(type) {
	case LatestWhenOverloaded:
		if now.Before(f.overloadedUntil) {
			_, item, _ := f.latest.First()
			return item
		}
	case EarliestFirst:
	}
	_, item, _ := f.earliest.First()
	return item
}

// requiredTime returns how much time the request at the head of a flow must have left to
// its deadline in order to be served: the 95th percentile of the response times while other
// requests of the flow wait, because one with more time left makes better use of the
// flow's turn, else the median.
func (r *rank[T]) requiredTime(f *flow[T]) time.Duration {
	if f.len() > 1 {
		return r.account.responseTimes.P95()
	}
	return r.account.responseTimes.Median()
}

// latestStart returns the time after which the request is more likely to miss its deadline than to meet it.
func (r *rank[T]) latestStart(item *Item[T]) time.Time {
	return item.Deadline.Add(-r.account.responseTimes.Median())
}

func (q *Queue[T]) drop(now time.Time, item *Item[T], expected time.Duration) Step[T] {
	q.noteMissed(now, item)
	item.flow.overloadedUntil = now.Add(overloadDuration)
	q.Remove(now, item)
	return Drop[T]{Item: item, Expected: expected}
}
