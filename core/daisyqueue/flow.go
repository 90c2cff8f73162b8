package daisyqueue

import (
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyheap"
)

// maxIdleFlows is the number of flows without requests that a rank remembers. The least
// recently used one is forgotten first: its account goes first in either case.
const maxIdleFlows = 1024

// lateTurns is the number of turns of the other flows after which one gets a turn although
// its requests will miss their target: no account may fall below a quarter of the service
// of the others, for instance one that sends its requests in bursts.
const lateTurns = 4

// flow has the waiting requests of one client account in one rank. Requests without an
// account are a flow of their own.
type flow[T any] struct {
	account daisyaccount.Name
	// earliest and latest order the requests that can meet their target by due time, and
	// overdue the others by deadline.
	earliest, latest, overdue *daisyheap.Heap[*Item[T]]
	// lastUse is the number of the rank's uses at which a request of the flow was last taken.
	lastUse int64
	// turn is lastUse, or later if the request taken counted for more than one turn.
	turn int64
	// slotTime is the mean slot time of the account's attempts; 0 means unknown.
	slotTime time.Duration
	// overloadedUntil is when LatestWhenOverloaded goes back to the earliest due time.
	overloadedUntil time.Time
	// readyIndex, lateIndex, idleIndex and sizeIndex are the positions in the heaps of flows.
	readyIndex, lateIndex, idleIndex, sizeIndex int
}

func (f *flow[T]) len() int { return f.earliest.Len() + f.overdue.Len() }

// flows are the flows of one rank. A flow's turn comes when it is the least recently used
// one of those with requests that can meet their target. One of the others has a turn if no
// flow has such requests, or when it has waited for lateTurns of each flow.
type flows[T any] struct {
	known map[daisyaccount.Name]*flow[T]
	uses  int64
	// ready has the flows with requests that can meet their target by turn, late those with
	// other requests and idle those without requests by last use. sizes has the flows with
	// requests, the largest first.
	ready, late, idle, sizes *daisyheap.Heap[*flow[T]]
}

func newFlows[T any]() flows[T] {
	return flows[T]{
		known: make(map[daisyaccount.Name]*flow[T]),
		ready: daisyheap.New[*flow[T]](daisyheap.Earliest),
		late:  daisyheap.New[*flow[T]](daisyheap.Earliest),
		idle:  daisyheap.New[*flow[T]](daisyheap.Earliest),
		sizes: daisyheap.New[*flow[T]](daisyheap.Latest),
	}
}

// at returns the time that stands for a number in the heaps.
func at(number int64) time.Time { return time.Unix(0, number) }

// flowOf returns the flow of an account.
func (s *flows[T]) flowOf(account daisyaccount.Name) *flow[T] {
	f := s.known[account]
	if f == nil {
		f = &flow[T]{
			account:    account,
			earliest:   daisyheap.New[*Item[T]](daisyheap.Earliest),
			latest:     daisyheap.New[*Item[T]](daisyheap.Latest),
			overdue:    daisyheap.New[*Item[T]](daisyheap.Earliest),
			readyIndex: daisyheap.NotInHeap,
			lateIndex:  daisyheap.NotInHeap,
			idleIndex:  daisyheap.NotInHeap,
			sizeIndex:  daisyheap.NotInHeap,
		}
		s.known[account] = f
	}
	return f
}

// waiting returns the number of flows with requests.
func (s *flows[T]) waiting() int { return s.sizes.Len() }

// update puts a flow where it belongs after a change of its requests or of its last use.
func (s *flows[T]) update(f *flow[T]) {
	place(s.ready, f, &f.readyIndex, f.turn, f.earliest.Len() > 0)
	place(s.late, f, &f.lateIndex, f.lastUse, f.overdue.Len() > 0)
	place(s.idle, f, &f.idleIndex, f.lastUse, f.len() == 0)
	place(s.sizes, f, &f.sizeIndex, int64(f.len()), f.len() > 0)
	if s.idle.Len() > maxIdleFlows {
		_, oldest, _ := s.idle.First()
		s.idle.Remove(oldest.idleIndex)
		delete(s.known, oldest.account)
	}
}

// place puts a flow in a heap at a number, or takes it out.
func place[T any](heap *daisyheap.Heap[*flow[T]], f *flow[T], index *int, number int64, member bool) {
	heap.Remove(*index)
	if member {
		heap.Push(at(number), f, index)
	}
}

// next returns the flow whose turn it is; ok is false if no request waits.
func (s *flows[T]) next() (f *flow[T], ok bool) {
	_, late, anyLate := s.late.First()
	_, f, ok = s.ready.First()
	if anyLate && (!ok || s.uses-late.lastUse > lateTurns*int64(s.waiting())) {
		return late, true
	}
	return f, ok
}

// use ends the turn of a flow, which counts for a number of turns.
func (s *flows[T]) use(f *flow[T], turns float64) {
	s.uses++
	f.lastUse = s.uses
	f.turn = s.uses + int64((turns-1)*float64(s.waiting()))
	s.update(f)
}

// ahead returns how many of the waiting requests go before a further request of an account
// at most: those of the account, and of every other flow as many and one more.
func (s *flows[T]) ahead(account daisyaccount.Name, total int) int {
	own, others := 0, s.waiting()
	if f := s.known[account]; f != nil && f.len() > 0 {
		own = f.len()
		others--
	}
	return min(total, own+(own+1)*others)
}

// readyAhead is like ahead for the requests that can meet their target.
func (s *flows[T]) readyAhead(account daisyaccount.Name, total int) int {
	own, others := 0, s.ready.Len()
	if f := s.known[account]; f != nil && f.earliest.Len() > 0 {
		own = f.earliest.Len()
		others--
	}
	return min(total, own+(own+1)*others)
}
