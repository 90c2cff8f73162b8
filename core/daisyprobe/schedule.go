// Package daisyprobe decides when to ask endpoints for their load.
//
// Only the VM that owns a service probes its endpoints, so the load that probes
// put on an endpoint does not grow with the number of VMs. An endpoint is probed
// only when nothing fresh is known of it, and so seldom that probes take at most
// 1% of its slot time.
package daisyprobe

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"daisyyoke/core/daisyheap"
)

const (
	// cost is the slot time that a probe takes, share the part of an endpoint's slot time for all probes.
	cost  = 6 * time.Millisecond
	share = 0.01
	// shortest is the shortest time between two probes of an endpoint.
	shortest = time.Second
	// staleAfter is the age at which knowledge is no longer fresh, watchedAfter
	// the age for an endpoint whose state is in doubt.
	staleAfter   = 2 * time.Second
	watchedAfter = time.Second
	// giveUp is when a probe without a result counts as failed.
	giveUp = 5 * time.Second
	// longest bounds the time between probes of an endpoint that fails them.
	longest = 30 * time.Second
)

// Target is one endpoint of a schedule.
type Target struct {
	address netip.AddrPort
	slots   int
	place   int
	// known is when something was last learned of the endpoint.
	known   time.Time
	probed  time.Time
	pending bool
	watched bool
	// failures counts the probes in a row without a result.
	failures int
}

// Address gives the address of the endpoint.
func (t *Target) Address() netip.AddrPort { return t.address }

// Pending reports whether a probe is under way.
func (t *Target) Pending() bool { return t.pending }

// Schedule holds the endpoints of one service. The time given to its methods must not go back.
type Schedule struct {
	due    *daisyheap.Heap[*Target]
	random *rand.Rand
}

// New gives an empty schedule.
func New(random *rand.Rand) *Schedule {
	return &Schedule{due: daisyheap.New[*Target](daisyheap.Earliest), random: random}
}

// Join adds an endpoint. Its first probe comes at a random moment, so that probes do not bunch.
func (s *Schedule) Join(now time.Time, address netip.AddrPort, slots int) *Target {
	t := &Target{address: address, slots: max(slots, 1), known: now}
	first := now.Add(staleAfter + time.Duration(s.random.Int64N(int64(staleAfter))))
	s.due.Push(first, t, &t.place)
	return t
}

// Leave takes an endpoint out.
func (s *Schedule) Leave(t *Target) { s.due.Remove(t.place) }

// SetSlots changes the slots as declared.
func (t *Target) SetSlots(slots int) { t.slots = max(slots, 1) }

// Known says that something fresh was learned of the endpoint.
func (t *Target) Known(now time.Time) { t.known = now }

// Watch says whether the state of the endpoint is in doubt, so that knowledge ages faster.
func (s *Schedule) Watch(t *Target, watched bool) {
	if t.watched == watched {
		return
	}
	t.watched = watched
	s.plan(t)
}

// Resolved says that a probe got a report.
func (s *Schedule) Resolved(now time.Time, t *Target) {
	t.pending = false
	t.failures = 0
	t.known = now
	s.plan(t)
}

// Failed says that a probe got no report.
func (s *Schedule) Failed(t *Target) {
	if !t.pending {
		return
	}
	t.pending = false
	t.failures++
	s.plan(t)
}

// Next gives when Due may have an endpoint next; the zero time means never.
func (s *Schedule) Next() time.Time {
	at, _, _ := s.due.First()
	return at
}

// Due gives an endpoint to probe now, or nil. The probe counts as begun.
func (s *Schedule) Due(now time.Time) *Target {
	for {
		at, t, ok := s.due.First()
		if !ok || now.Before(at) {
			return nil
		}
		if t.pending {
			s.Failed(t)
		}
		if now.Before(t.when()) {
			s.plan(t)
			continue
		}
		t.pending = true
		t.probed = now
		s.plan(t)
		return t
	}
}

func (s *Schedule) plan(t *Target) {
	s.due.Remove(t.place)
	s.due.Push(t.when(), t, &t.place)
}

// when gives the earliest time of the next probe.
func (t *Target) when() time.Time {
	if t.pending {
		return t.probed.Add(giveUp)
	}
	stale := t.known.Add(staleAfter)
	if t.watched {
		stale = t.known.Add(watchedAfter)
	}
	if t.probed.IsZero() {
		return stale
	}
	allowed := t.probed.Add(t.interval())
	if allowed.After(stale) {
		return allowed
	}
	return stale
}

// interval gives the least time between two probes.
func (t *Target) interval() time.Duration {
	budget := time.Duration(float64(cost) / (share * float64(t.slots)))
	backoff := shortest << min(t.failures, 10)
	return max(budget, min(backoff, longest))
}
