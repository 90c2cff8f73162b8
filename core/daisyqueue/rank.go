package daisyqueue

import (
	"slices"

	"daisyyoke/core/daisyheap"
	"daisyyoke/core/daisyrank"
)

type rank[T any] struct {
	declared daisyrank.Rank
	// isDeclared is false for a rank that is in use only for requests of another declaration.
	isDeclared bool
	// earliest orders the requests by due time.
	earliest *daisyheap.Heap[*Item[T]]
	// overdue holds the requests that will miss their target but can meet their deadline,
	// by deadline. They are served after all others of the rank.
	overdue *daisyheap.Heap[*Item[T]]
	// flows has the same requests by client account.
	flows   flows[T]
	account account
	// passed counts the requests of less urgent ranks taken in a row while requests waited.
	passed int
}

func newRank[T any]() *rank[T] {
	return &rank[T]{
		isDeclared: true,
		earliest:   daisyheap.New[*Item[T]](daisyheap.Earliest),
		overdue:    daisyheap.New[*Item[T]](daisyheap.Earliest),
		flows:      newFlows[T](),
		account:    account{slotShare: 1},
	}
}

// idle reports whether no request of the rank waits or is in flight.
func (r *rank[T]) idle() bool { return r.len() == 0 && r.account.inFlight == 0 }

// SetRanks replaces the declared ranks, the most urgent one first. A rank keeps its index
// as long as it is declared or has requests. One that is no longer declared loses its floor
// and stays more urgent than the ranks that it preceded; it is dropped at a later call, once
// it has no requests.
func (q *Queue[T]) SetRanks(ranks []daisyrank.Rank) {
	if slices.Equal(q.declared, ranks) {
		return
	}
	previous := q.urgency
	q.declared = slices.Clone(ranks)
	q.urgency = make([]daisyrank.Index, 0, len(ranks))
	for _, r := range ranks {
		i, ok := q.find(previous, r.Name)
		if !ok {
			i = q.add(previous)
		}
		q.ranks[i].declared = r
		q.urgency = append(q.urgency, i)
	}
	position := len(q.urgency)
	for _, i := range slices.Backward(previous) {
		r := q.ranks[i]
		if p := slices.Index(q.urgency, i); p >= 0 {
			r.isDeclared = true
			position = p
			continue
		}
		if r.isDeclared || !r.idle() {
			r.isDeclared, r.declared.Floor = false, 0
			q.urgency = slices.Insert(q.urgency, position, i)
		}
	}
}

// Rank returns the index of the rank with the given name. A rank that is not in use, such
// as one of a later declaration, gets no floor and is less urgent than all others.
func (q *Queue[T]) Rank(name daisyrank.Name) daisyrank.Index {
	i, ok := q.find(q.urgency, name)
	if !ok {
		i = q.add(nil)
		q.ranks[i].declared.Name = name
		q.ranks[i].isDeclared = false
		q.urgency = append(q.urgency, i)
	}
	return i
}

// Ranks returns the indices of the ranks in use, the most urgent first. The result is
// valid until the next call of Rank or SetRanks.
func (q *Queue[T]) Ranks() []daisyrank.Index { return q.urgency }

// Declared reports whether a rank is one of those that SetRanks has declared last.
func (q *Queue[T]) Declared(index daisyrank.Index) bool { return q.ranks[index].isDeclared }

// find returns the index of the rank with the given name, if it is one of those given.
func (q *Queue[T]) find(indices []daisyrank.Index, name daisyrank.Name) (daisyrank.Index, bool) {
	for _, i := range indices {
		if q.ranks[i].declared.Name == name {
			return i, true
		}
	}
	return 0, false
}

// add returns the index of a new rank: that of a rank that is no longer in use, or else the
// next one. Reserved indices are in use, as are those in urgency.
func (q *Queue[T]) add(reserved []daisyrank.Index) daisyrank.Index {
	for i := range q.ranks {
		index := daisyrank.Index(i)
		if !slices.Contains(q.urgency, index) && !slices.Contains(reserved, index) {
			q.ranks[i] = newRank[T]()
			return index
		}
	}
	q.ranks = append(q.ranks, newRank[T]())
	return daisyrank.Index(len(q.ranks) - 1)
}
