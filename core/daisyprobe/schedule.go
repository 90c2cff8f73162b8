// Package daisyprobe schedules the probes that ask endpoints for their load.
//
// Only the VM that owns a service probes its endpoints, so the load that probes
// put on an endpoint does not grow with the number of VMs. An endpoint is probed
// only when the information about it is stale, and at intervals that limit probes
// to 1% of its slot time.
package daisyprobe

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"daisyyoke/core/daisyheap"
)

const (
	// probeCost is the slot time that one probe takes, and maxProbeShare the share of
	// an endpoint's slot time that all its probes may take.
	probeCost     = 6 * time.Millisecond
	maxProbeShare = 0.01
	// minInterval is the minimum time between two probes of an endpoint.
	minInterval = time.Second
	// staleAfter is the age at which information about an endpoint is stale, and
	// suspectStaleAfter the age for an endpoint whose state is in doubt.
	staleAfter        = 2 * time.Second
	suspectStaleAfter = time.Second
	// probeTimeout is the time after which a probe without a result counts as failed.
	probeTimeout = 5 * time.Second
	// maxBackoff limits the backoff between probes of an endpoint that fails them.
	maxBackoff = 30 * time.Second
)

// Target is an endpoint in a Schedule.
type Target struct {
	address   netip.AddrPort
	slots     int
	heapIndex int
	// updated is when information about the endpoint last arrived.
	updated time.Time
	probed  time.Time
	pending bool
	suspect bool
	// failures is the number of consecutive probes without a report.
	failures int
}

// Address returns the address of the endpoint.
func (t *Target) Address() netip.AddrPort { return t.address }

// Pending reports whether a probe is in progress.
func (t *Target) Pending() bool { return t.pending }

// Schedule schedules the probes of the endpoints of one service. The times passed
// to its methods must not decrease.
type Schedule struct {
	queue  *daisyheap.Heap[*Target]
	random *rand.Rand
}

// New returns an empty Schedule.
func New(random *rand.Rand) *Schedule {
	return &Schedule{queue: daisyheap.New[*Target](daisyheap.Earliest), random: random}
}

// Add adds an endpoint. Its first probe is due at a random time, so that the probes
// of endpoints added together do not coincide.
func (s *Schedule) Add(now time.Time, address netip.AddrPort, slots int) *Target {
	t := &Target{address: address, slots: max(slots, 1), updated: now}
	first := now.Add(staleAfter + time.Duration(s.random.Int64N(int64(staleAfter))))
	s.queue.Push(first, t, &t.heapIndex)
	return t
}

// Remove removes an endpoint.
func (s *Schedule) Remove(t *Target) { s.queue.Remove(t.heapIndex) }

// SetSlots sets the declared number of slots of the endpoint.
func (t *Target) SetSlots(slots int) { t.slots = max(slots, 1) }

// RecordUpdate records that information about the endpoint arrived at now.
func (t *Target) RecordUpdate(now time.Time) { t.updated = now }

// SetSuspect sets whether the state of the endpoint is in doubt. Information about
// such an endpoint is stale sooner.
func (s *Schedule) SetSuspect(t *Target, suspect bool) {
	if t.suspect == suspect {
		return
	}
	t.suspect = suspect
	s.reschedule(t)
}

// RecordSuccess records that a probe returned a report.
func (s *Schedule) RecordSuccess(now time.Time, t *Target) {
	t.pending = false
	t.failures = 0
	t.updated = now
	s.reschedule(t)
}

// RecordFailure records that a probe returned no report.
func (s *Schedule) RecordFailure(t *Target) {
	if !t.pending {
		return
	}
	t.pending = false
	t.failures++
	s.reschedule(t)
}

// Skip records that a probe that is due is not sent. The next one is due after the usual
// interval.
func (s *Schedule) Skip(now time.Time, t *Target) {
	t.pending = false
	t.probed = now
	s.reschedule(t)
}

// NextWake returns the earliest time at which Due may return an endpoint; the zero time
// means never.
func (s *Schedule) NextWake() time.Time {
	at, _, _ := s.queue.First()
	return at
}

// Due returns an endpoint that is due for a probe, or nil, and marks its probe as in progress.
func (s *Schedule) Due(now time.Time) *Target {
	for {
		at, t, ok := s.queue.First()
		if !ok || now.Before(at) {
			return nil
		}
		if t.pending {
			s.RecordFailure(t)
		}
		if now.Before(t.nextCheck()) {
			s.reschedule(t)
			continue
		}
		t.pending = true
		t.probed = now
		s.reschedule(t)
		return t
	}
}

func (s *Schedule) reschedule(t *Target) {
	s.queue.Remove(t.heapIndex)
	s.queue.Push(t.nextCheck(), t, &t.heapIndex)
}

// nextCheck returns the time of the next probe, or of the timeout of the pending one.
func (t *Target) nextCheck() time.Time {
	if t.pending {
		return t.probed.Add(probeTimeout)
	}
	stale := t.updated.Add(staleAfter)
	if t.suspect {
		stale = t.updated.Add(suspectStaleAfter)
	}
	if t.probed.IsZero() {
		return stale
	}
	earliest := t.probed.Add(t.interval())
	if earliest.After(stale) {
		return earliest
	}
	return stale
}

// interval returns the minimum time between two probes, which limits their share
// of the slot time and backs off after failures.
func (t *Target) interval() time.Duration {
	budget := time.Duration(float64(probeCost) / (maxProbeShare * float64(t.slots)))
	backoff := minInterval << min(t.failures, 10)
	return max(budget, min(backoff, maxBackoff))
}
