package daisyqueue

import (
	"time"

	"daisyyoke/core/daisyrank"
)

// Verdict is what Admit decides. It is one of Admitted, Refused and Displaced.
type Verdict[T any] interface{ verdict(T) }

// Admitted says that the request waits.
type Admitted[T any] struct{}

// Refused says that the request does not wait.
type Refused[T any] struct {
	Cause Cause
	// Needs is how long the request was expected to take, from now to its answer.
	Needs time.Duration
	// RetryAfter is when the queue of the rank may have drained.
	RetryAfter time.Duration
}

// Displaced says that the request waits in place of another, which is refused.
type Displaced[T any] struct {
	Item       *Item[T]
	RetryAfter time.Duration
}

func (Admitted[T]) verdict(T)  {}
func (Refused[T]) verdict(T)   {}
func (Displaced[T]) verdict(T) {}

// Cause says why a request is refused.
type Cause int

const (
	// Full says that too many requests wait.
	Full Cause = iota
	// Hopeless says that the request could not finish by its deadline.
	Hopeless
)

const (
	leastRetryAfter = time.Second
	mostRetryAfter  = time.Minute
)

// Admit lets a request wait if it can finish in time and there is room for it: room
// is how many further requests the VM can hold, 0 any number. At a limit the latest deadline of the least urgent rank that holds more than its
// floor of the room gives way.
func (q *Queue[T]) Admit(now time.Time, item *Item[T], room int) Verdict[T] {
	q.settle(now)
	needs := q.needs(item.Rank)
	if needs > 0 && now.Add(needs).After(item.Deadline) {
		return Refused[T]{Cause: Hopeless, Needs: needs, RetryAfter: q.retryAfter(item.Rank)}
	}
	q.Push(now, item)
	out := q.overfull(item.Rank, q.options.Limits.within(room))
	if out == nil {
		return Admitted[T]{}
	}
	q.Remove(now, out)
	after := q.retryAfter(out.Rank)
	if out == item {
		return Refused[T]{Cause: Full, Needs: needs, RetryAfter: after}
	}
	return Displaced[T]{Item: out, RetryAfter: after}
}

// needs estimates how long a request of a rank that has to wait takes from now to
// its answer; 0 when it need not wait, or is admitted whatever it takes.
func (q *Queue[T]) needs(index daisyrank.Index) time.Duration {
	switch q.options.Admission.(type) {
	case RefuseHopeless:
		if wait := q.Wait(index); wait > 0 {
			return wait + q.ranks[index].account.answers.Median()
		}
	case AdmitAll:
	}
	return 0
}

// Wait estimates how long a request of a rank that arrives now will wait: the
// slot time of the requests before it, over the slots in use or, if that is more,
// the even share.
func (q *Queue[T]) Wait(index daisyrank.Index) time.Duration {
	if q.inFlight == 0 || q.waiting == 0 {
		return 0
	}
	var before time.Duration
	for _, r := range q.ranks[:index] {
		before += time.Duration(r.len()) * r.account.mean()
	}
	slots := max(float64(q.inFlight), q.even)
	r := q.ranks[index]
	own := time.Duration(r.len()) * r.account.mean()
	all := float64(before+own) / slots
	share := max(r.account.share, r.declared.Floor, leastShare)
	alone := float64(own) / (share * slots)
	if r.declared.Floor > 0 {
		return time.Duration(min(max(all, alone), float64(own)/(r.declared.Floor*slots)))
	}
	return time.Duration(max(all, alone))
}

// leastShare keeps the estimate for a rank without a floor finite.
const leastShare = 0.001

func (q *Queue[T]) retryAfter(index daisyrank.Index) time.Duration {
	return min(max(q.Wait(index), leastRetryAfter), mostRetryAfter)
}

// overfull gives the request that has to go after one of a rank was added, or nil.
func (q *Queue[T]) overfull(index daisyrank.Index, limits Limits) *Item[T] {
	if q.ranks[index].len() > limits.Rank {
		return q.last(index)
	}
	if q.waiting <= limits.Service {
		return nil
	}
	for i := len(q.ranks) - 1; i >= 0; i-- {
		room := q.ranks[i].declared.Floor * float64(limits.Service)
		n := q.ranks[i].len()
		if n > 0 && float64(n) > room {
			return q.last(daisyrank.Index(i))
		}
	}
	return q.last(index)
}

// last gives a request that misses its target before any other.
func (q *Queue[T]) last(index daisyrank.Index) *Item[T] {
	if _, item, ok := q.ranks[index].overdue.First(); ok {
		return item
	}
	_, item, _ := q.ranks[index].latest.First()
	return item
}
