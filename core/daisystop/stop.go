package daisystop

import (
	"time"

	"daisyyoke/core/daisyvm"
)

// Phase is the phase of a planned stop.
type Phase int

const (
	// Serving means that no stop was requested.
	Serving Phase = iota
	// Waiting means that the VM waits for its turn and still serves.
	Waiting
	// Leaving means that callers are no longer sent to the VM, and that it serves those
	// with an old answer.
	Leaving
	// Draining means that the VM accepts no connections and finishes its requests.
	Draining
	// Stopped means that the VM has no requests left.
	Stopped
)

// String returns the phase in kebab case.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Waiting:
		return "waiting"
	case Leaving:
		return "leaving"
	case Draining:
		return "draining"
	case Stopped:
		return "stopped"
	}
	return "unknown"
}

const (
	// UncontendedWaitLimit is how long a VM waits for the lease while no peer leaves and none
	// is ahead of it. After that, the platform is taken to be down or the holder to be dead,
	// and the VM stops without the lease.
	UncontendedWaitLimit = 30 * time.Second
	// WaitLimit is how long a VM waits for its turn in any case.
	WaitLimit = 10 * time.Minute
	// DrainLeaseLimit is how long after closing to new connections a VM keeps the lease for
	// requests that are still in flight.
	DrainLeaseLimit = 30 * time.Second
	// pauseThreshold is the delay of TimePassed that shows that this VM was paused, and
	// leaseCheckTime how long it then waits to learn whether it has lost the lease.
	pauseThreshold = 2 * time.Second
	leaseCheckTime = 2 * time.Second
)

// Mode is the way a VM stops. It is one of InTurn and Within.
type Mode interface{ mode() }

// InTurn lets VMs stop one after the other, under a lease, for as long as it takes.
type InTurn struct{}

// Within stops at once and has to finish within the grace period, because whoever
// requested the stop kills the process at its end.
type Within struct {
	Grace time.Duration
	// AcceptAll is how long after the stop was requested any request is accepted, however
	// long it may take. Whoever requested the stop expects that some of these are aborted.
	AcceptAll time.Duration
}

// part returns a fraction of the grace period.
func (w Within) part(share float64) time.Duration { return time.Duration(share * float64(w.Grace)) }

func (InTurn) mode() {}
func (Within) mode() {}

// signalDelay is how much later than it was requested a VM may notice a stop.
const signalDelay = 20 * time.Millisecond

// Fractions of the grace period after which a VM accepts no more requests, by which it
// answers them, and after which it aborts those in flight. The last is less than 1 because
// the exit takes time too.
const (
	acceptShare = 0.45
	answerShare = 0.9
	cutoffShare = 0.95
)

// Stop is the state machine for the planned stop of one VM. Events and the time go in,
// decisions come out. It is not safe for concurrent use.
type Stop struct {
	mode  Mode
	phase Phase
	// stopRequested is when the stop was requested, uncontendedSince since when no peer
	// was leaving or ahead.
	stopRequested    time.Time
	uncontendedSince time.Time
	peers            PeersSeen
	// leaseHeld means that this VM holds the lease, leaseReleased that it gave it back.
	leaseHeld     bool
	leaseReleased bool
	// phaseEnd is when the present phase ends by itself.
	phaseEnd time.Time
}

// NewStop returns the stop of a VM in the phase Serving.
func NewStop(mode Mode) *Stop { return &Stop{mode: mode} }

// Phase returns the present phase.
func (s *Stop) Phase() Phase { return s.phase }

// Handle processes an event that happened at now and returns the actions to take.
func (s *Stop) Handle(now time.Time, event Event) []Decision {
	switch e := event.(type) {
	case StopWanted:
		return s.requestStop(now)
	case LeaseAcquired:
		return s.leaseAcquired(now)
	case LeaseLost:
		return s.leaseLost(now)
	case PeersSeen:
		s.updatePeers(now, e)
		return s.advance(now)
	case CallersGone:
		return s.finish()
	case TimePassed:
		return s.advance(now)
	}
	return nil
}

// NextWake returns when TimePassed has to be handled next; the zero time means never.
func (s *Stop) NextWake() time.Time {
	switch s.phase {
	case Waiting:
		return s.waitEnd()
	case Leaving:
		return s.phaseEnd
	case Draining:
		if !s.leaseReleased {
			return s.phaseEnd
		}
	case Serving, Stopped:
	}
	return time.Time{}
}

func (s *Stop) requestStop(now time.Time) []Decision {
	if s.phase != Serving {
		return nil
	}
	s.stopRequested = now
	if w, ok := s.mode.(Within); ok {
		s.phase = Leaving
		s.phaseEnd = now.Add(w.part(acceptShare))
		return []Decision{Announce{Stopping: true, Leaving: true}, LimitRequests{
			By:          now.Add(w.part(answerShare)),
			AcceptUntil: now.Add(max(w.AcceptAll-signalDelay, 0)),
		}}
	}
	if s.peers.Alone {
		s.phase = Draining
		s.phaseEnd = now.Add(DrainLeaseLimit)
		return []Decision{Announce{Stopping: true, Leaving: true}, CloseCallers{}}
	}
	return s.startWaiting(now)
}

func (s *Stop) startWaiting(now time.Time) []Decision {
	s.phase = Waiting
	s.uncontendedSince = now
	s.leaseHeld = false
	return []Decision{Announce{Stopping: true}, AcquireLease{}}
}

func (s *Stop) leaseAcquired(now time.Time) []Decision {
	switch s.phase {
	case Waiting:
		s.leaseHeld = true
		return s.startLeaving(now)
	case Leaving:
		s.leaseHeld = true
		return nil
	case Draining:
		s.leaseHeld = true
		return nil
	case Serving, Stopped:
		return []Decision{ReleaseLease{}}
	}
	return nil
}

// leaseLost waits for the lease again if this VM can still serve, as another VM has the turn.
func (s *Stop) leaseLost(now time.Time) []Decision {
	if s.phase == Leaving && s.leaseHeld {
		return s.startWaiting(now)
	}
	s.leaseHeld = false
	return nil
}

func (s *Stop) updatePeers(now time.Time, peers PeersSeen) {
	if s.peers.blocking() || peers.blocking() {
		s.uncontendedSince = now
	}
	s.peers = peers
}

// blocking reports whether this VM has to let peers stop first.
func (p PeersSeen) blocking() bool { return p.Leaving > 0 || p.Ahead > 0 }

func (s *Stop) waitEnd() time.Time {
	last := s.stopRequested.Add(WaitLimit)
	end := s.uncontendedSince.Add(UncontendedWaitLimit)
	if s.peers.blocking() || last.Before(end) {
		return last
	}
	return end
}

func (s *Stop) startLeaving(now time.Time) []Decision {
	s.phase = Leaving
	s.phaseEnd = daisyvm.AnswersExpireAt(now)
	return []Decision{Announce{Stopping: true, Leaving: true}}
}

func (s *Stop) advance(now time.Time) []Decision {
	switch s.phase {
	case Waiting:
		if !now.Before(s.waitEnd()) {
			return s.startLeaving(now)
		}
	case Leaving:
		if !now.Before(s.phaseEnd) {
			return s.startDraining(now)
		}
	case Draining:
		if !now.Before(s.phaseEnd) {
			return s.drainTimedOut()
		}
	case Serving, Stopped:
	}
	return nil
}

// drainTimedOut releases the lease, or ends the process if it stops within a grace period.
func (s *Stop) drainTimedOut() []Decision {
	if _, ok := s.mode.(Within); ok {
		return s.finish()
	}
	return s.releaseLease()
}

// startDraining closes the VM to callers. If it is called much too late, this VM was
// paused and may have lost the lease, so that it first waits to learn of that.
func (s *Stop) startDraining(now time.Time) []Decision {
	if w, ok := s.mode.(Within); ok {
		s.phase = Draining
		s.phaseEnd = s.stopRequested.Add(w.part(cutoffShare))
		return []Decision{CloseCallers{}}
	}
	if now.Sub(s.phaseEnd) > pauseThreshold {
		s.phaseEnd = now.Add(leaseCheckTime)
		return nil
	}
	s.phase = Draining
	s.phaseEnd = now.Add(DrainLeaseLimit)
	return []Decision{CloseCallers{}}
}

func (s *Stop) releaseLease() []Decision {
	if s.leaseReleased {
		return nil
	}
	s.leaseReleased = true
	return []Decision{ReleaseLease{}}
}

func (s *Stop) finish() []Decision {
	if s.phase != Draining {
		return nil
	}
	s.phase = Stopped
	if _, ok := s.mode.(Within); ok {
		return []Decision{Finish{}}
	}
	return append(s.releaseLease(), Finish{})
}
