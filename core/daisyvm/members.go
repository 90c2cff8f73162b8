package daisyvm

import (
	"math/rand/v2"
	"slices"
	"time"

	"daisyyoke/core/daisywake"
)

const (
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval = 250 * time.Millisecond
	// FanOut is the number of VMs that receive a heartbeat in one round. Up to this
	// many VMs hear from each other in every round. Beyond it they take turns, and
	// reports from peers cover the rounds in between.
	FanOut = 8
	// SuspectAfter is the time without evidence of life after which a VM is suspected.
	SuspectAfter = time.Second
	// DeadAfter is the time without evidence of life after which a VM is considered dead.
	DeadAfter = 2 * time.Second
	// ForgetAfter is how long a dead VM is remembered and dialed.
	ForgetAfter = 2 * time.Hour
	// ForgetLeftAfter replaces ForgetAfter for a VM that left in a planned stop.
	ForgetLeftAfter = 10 * time.Minute
	// maxOutOfTurn limits the out-of-turn heartbeats of a round, separately for
	// suspected VMs and for VMs that may suspect this one.
	maxOutOfTurn = 2
	// heardWindow is how recently a VM has to be heard directly for a heartbeat to report it.
	heardWindow = 2 * HeartbeatInterval
	// pauseThreshold is the time between two rounds beyond which this VM itself was paused.
	pauseThreshold = 3 * HeartbeatInterval
	// maxDescriptions limits the VM descriptions in one heartbeat.
	maxDescriptions = 16
	// describersPerPair is how many VMs, on average, describe one given VM to another when
	// they first hear the former. One pair in e^describersPerPair has no describer and
	// depends on the repeated descriptions and the platform's list.
	describersPerPair = 6
	// redescribeRounds is the number of rounds between two repeated descriptions.
	redescribeRounds = 8
	// roundTripWeight is the weight of the latest sample in the smoothed round-trip time.
	roundTripWeight = 0.125
)

// Membership tracks what one VM knows of the others. Evidence that a VM is alive is
// its own heartbeat or the report of a peer that received one. The platform's list
// only makes VMs known and confirms that a suspected VM is dead.
//
// Membership is a state machine without I/O: Handle takes an event and the time and
// returns decisions. It is not safe for concurrent use.
type Membership struct {
	self    VM
	random  *rand.Rand
	status  Status
	members map[Name]*member
	digests map[Digest]*member
	order   []*member
	// turnQueue holds the VMs that receive a heartbeat before the order is shuffled again.
	turnQueue       []*member
	round           uint64
	sequence        uint64
	firstHeardCount uint64
	roundAt         time.Time
	// owners are the VMs among which the services are divided, leavingOwners those in a
	// planned stop; see PeersChanged.
	owners        []VM
	leavingOwners []VM
	// ownersOutdated reports whether a heartbeat may have changed owners or leavingOwners.
	ownersOutdated bool
	// ownersAt is when owners last changed, ownersChanges the number of changes without a
	// pause of additionsInterval, and ownersDueAt when additions that wait for more are
	// reported; zero if there are none.
	ownersAt, ownersDueAt time.Time
	ownersChanges         int
}

type member struct {
	Member
	// sequence is the latest heartbeat of the VM that anybody received, directSequence
	// the latest that this VM received from it.
	sequence       uint64
	directSequence uint64
	directLeaving  bool
	learnedAt      time.Time
	// senderClock is the VM's clock in its last heartbeat.
	senderClock time.Time
	// heartbeatSentAt is when this VM last sent the other one a heartbeat; heardThisRound
	// reports whether one arrived from it since the last round.
	heartbeatSentAt time.Time
	heardThisRound  bool
	// firstHeardOrder numbers the VMs in the order in which they were first heard
	// directly; 0 means not yet. describedUpTo is the highest such number considered
	// for descriptions sent to this VM.
	firstHeardOrder uint64
	describedUpTo   uint64
	// earlierLinked is the earlier incarnation that has opened a link since this one was last
	// heard directly; 0 means none.
	earlierLinked Incarnation
}

// NewMembership returns the membership of a VM that knows only itself. All random
// choices come from random.
func NewMembership(self VM, now time.Time, random *rand.Rand) *Membership {
	return &Membership{
		self:    self,
		random:  random,
		members: make(map[Name]*member),
		digests: make(map[Digest]*member),
		roundAt: now,
	}
}

// Handle processes an event that happened at now and returns what has to be done.
func (s *Membership) Handle(now time.Time, event MemberEvent) []MemberDecision {
	var decisions []MemberDecision
	switch e := event.(type) {
	case HeartbeatArrived:
		decisions = s.handleHeartbeat(now, e)
	case LinkOpened:
		decisions = s.handleLinkOpened(now, e.VM)
	case PlatformListed:
		decisions = s.handleList(now, e.VMs)
	case SelfChanged:
		decisions = s.handleSelfChanged(now, e.Status)
	case TimePassed:
		decisions = s.runRound(now)
	}
	if _, ok := event.(HeartbeatArrived); ok && len(decisions) == 0 && !s.ownersOutdated {
		return nil
	}
	s.ownersOutdated = false
	return append(decisions, s.updateOwners(now)...)
}

// NextWake returns when TimePassed has to be handled next.
func (s *Membership) NextWake() time.Time { return daisywake.Sooner(s.nextRoundAt(), s.ownersDueAt) }

func (s *Membership) nextRoundAt() time.Time { return s.roundAt.Add(HeartbeatInterval) }

// Self returns this VM as a member.
func (s *Membership) Self() Member { return Member{VM: s.self, State: Live, Status: s.status} }

// All returns the other VMs, sorted by name.
func (s *Membership) All() []Member {
	all := make([]Member, 0, len(s.order))
	for _, m := range s.order {
		all = append(all, m.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return CompareNames(a.VM, b.VM) })
	return all
}

func (s *Membership) handleHeartbeat(now time.Time, event HeartbeatArrived) []MemberDecision {
	s.forgetDeadSuccessor(event.VM)
	m, decisions := s.upsert(now, event.VM)
	if m == nil || event.VM.Incarnation < m.VM.Incarnation || event.Sequence <= m.directSequence {
		return decisions
	}
	if m.directSequence == 0 {
		s.firstHeardCount++
		m.firstHeardOrder = s.firstHeardCount
		decisions = append(decisions, s.markReplacedDead(now, m)...)
	}
	m.directSequence = event.Sequence
	m.DirectAt = now
	m.earlierLinked = 0
	m.heardThisRound = true
	m.directLeaving = event.Status.Leaving
	if event.Sequence < m.sequence {
		event.Status.Leaving = m.Status.Leaving
	}
	s.ownersOutdated = s.ownersOutdated || m.Status != event.Status
	m.Status = event.Status
	m.senderClock = event.Sent
	m.updateRoundTrip(now, event)
	decisions = append(decisions, s.recordHeartbeat(now, m, event.Sequence)...)
	for _, h := range event.Heard {
		if x := s.digests[h.VM]; x != nil {
			decisions = append(decisions, s.handlePeerReport(now, x, h)...)
		}
	}
	for _, v := range event.Introduced {
		_, added := s.upsert(now, v)
		decisions = append(decisions, added...)
	}
	return decisions
}

// updateRoundTrip adds a sample to the smoothed round-trip time.
func (m *member) updateRoundTrip(now time.Time, event HeartbeatArrived) {
	sample := now.Sub(event.Echo) - event.EchoHeld
	if event.Echo.IsZero() || sample < 0 {
		return
	}
	if m.RoundTrip == 0 {
		m.RoundTrip = sample
		return
	}
	m.RoundTrip += time.Duration(roundTripWeight * float64(sample-m.RoundTrip))
}

// forgetDeadSuccessor forgets the later incarnation of a VM if that one is dead and the
// earlier one has opened a link since it was last heard: the clock of the VM was set back
// before its restart, or the VM was paused and outlived its replacement. Otherwise its
// heartbeats would be ignored for ForgetAfter. Without a link, a heartbeat may be a late one.
func (s *Membership) forgetDeadSuccessor(vm VM) {
	if m := s.members[vm.Name]; m != nil && m.down() && m.earlierLinked > 0 && m.earlierLinked == vm.Incarnation {
		s.forget(vm.Name)
	}
}

// upsert adds a VM, or replaces the record of an earlier incarnation. The member is
// nil if vm has this VM's own name; a later incarnation then supersedes this VM.
func (s *Membership) upsert(now time.Time, vm VM) (*member, []MemberDecision) {
	if vm.Name == s.self.Name {
		if vm.Incarnation > s.self.Incarnation {
			return nil, []MemberDecision{Superseded{By: vm}}
		}
		return nil, nil
	}
	m := s.members[vm.Name]
	if m != nil && vm.Incarnation <= m.VM.Incarnation {
		s.learnCapacity(m, vm)
		return m, nil
	}
	if m == nil {
		m = &member{learnedAt: now}
		s.members[vm.Name] = m
		s.order = append(s.order, m)
	}
	previous := m.State
	delete(s.digests, m.VM.Digest())
	*m = member{Member: Member{VM: vm, Listed: m.Listed}, learnedAt: now}
	s.digests[vm.Digest()] = m
	decisions := []MemberDecision{Connect{VM: vm}}
	if previous != Unheard {
		decisions = append(decisions, StateChanged{Member: m.Member, Previous: previous})
	}
	return m, decisions
}

// learnCapacity takes over the capacity of a VM that was first described by one of an
// earlier build, which leaves the capacity out. An incarnation never changes its capacity.
func (s *Membership) learnCapacity(m *member, vm VM) {
	if vm.Incarnation == m.VM.Incarnation && m.VM.Capacity == (Capacity{}) && vm.Capacity != (Capacity{}) {
		m.VM.Capacity = vm.Capacity
		s.ownersOutdated = true
	}
}

// handlePeerReport applies a peer's report that a VM is alive and whether it is leaving.
func (s *Membership) handlePeerReport(now time.Time, m *member, report HeartbeatReport) []MemberDecision {
	if report.Sequence > m.sequence && report.Leaving != m.Status.Leaving {
		m.Status.Leaving = report.Leaving
		s.ownersOutdated = true
	}
	return s.recordHeartbeat(now, m, report.Sequence)
}

// recordHeartbeat makes a VM live, unless a heartbeat with this or a later sequence
// number is already known.
func (s *Membership) recordHeartbeat(now time.Time, m *member, sequence uint64) []MemberDecision {
	if sequence <= m.sequence {
		return nil
	}
	m.sequence = sequence
	m.HeardAt = now
	return m.setState(Live)
}

func (m *member) setState(state State) []MemberDecision {
	previous := m.State
	if previous == state {
		return nil
	}
	m.State = state
	return []MemberDecision{StateChanged{Member: m.Member, Previous: previous}}
}

// markReplacedDead marks as dead the VMs that have the address of a newly heard VM
// and were not heard within heardWindow.
func (s *Membership) markReplacedDead(now time.Time, heard *member) []MemberDecision {
	var decisions []MemberDecision
	for _, m := range s.order {
		if m == heard || m.VM.Peers != heard.VM.Peers || now.Sub(m.HeardAt) < heardWindow {
			continue
		}
		if m.State == Live || m.State == Suspect {
			decisions = append(decisions, m.setState(Dead)...)
		}
	}
	return decisions
}

func (s *Membership) handleLinkOpened(now time.Time, vm VM) []MemberDecision {
	if m := s.members[vm.Name]; m != nil && vm.Incarnation < m.VM.Incarnation {
		m.earlierLinked = vm.Incarnation
	}
	s.forgetDeadSuccessor(vm)
	m, decisions := s.upsert(now, vm)
	if m == nil {
		return decisions
	}
	m.describedUpTo = 0
	s.sequence++
	return append(decisions, s.newHeartbeat(now, m))
}

// handleList applies the platform's list: it adds unknown VMs and updates the
// addresses of VMs that are down.
func (s *Membership) handleList(now time.Time, vms []ListedVM) []MemberDecision {
	var decisions []MemberDecision
	for _, m := range s.order {
		if m.Listed != NotListed {
			m.Listed = Delisted
		}
	}
	for _, v := range vms {
		if v.Name == s.self.Name {
			continue
		}
		m := s.members[v.Name]
		if m == nil {
			m = &member{Member: Member{VM: VM{Name: v.Name, Zone: v.Zone, Peers: v.Peers}}, learnedAt: now}
			s.members[v.Name] = m
			s.order = append(s.order, m)
			decisions = append(decisions, Connect{VM: m.VM})
		}
		if m.down() && m.VM.Peers != v.Peers {
			m.VM.Peers = v.Peers
			decisions = append(decisions, Connect{VM: m.VM})
		}
		m.Listed = ListedLive
		if v.Leaving {
			m.Listed = ListedLeaving
		}
	}
	return decisions
}

// down reports whether the VM is dead or was never heard.
func (m *member) down() bool { return m.State == Dead || m.State == Unheard }

// handleSelfChanged sends heartbeats without waiting for the next round: to all VMs if
// the new status is urgent, and otherwise to those with an older configuration.
func (s *Membership) handleSelfChanged(now time.Time, status Status) []MemberDecision {
	previous := s.status
	s.status = status
	urgent := previous.Leaving != status.Leaving || previous.Ready != status.Ready || previous.Stopping != status.Stopping
	if !urgent && previous.Revision == status.Revision {
		return nil
	}
	s.sequence++
	var decisions []MemberDecision
	for _, m := range s.order {
		if !m.down() && (urgent || m.Status.Revision < status.Revision) {
			decisions = append(decisions, s.newHeartbeat(now, m))
		}
	}
	return decisions
}

func (s *Membership) runRound(now time.Time) []MemberDecision {
	if now.Before(s.nextRoundAt()) {
		return nil
	}
	if pause := now.Sub(s.roundAt); pause > pauseThreshold {
		s.discountPause(now, pause-HeartbeatInterval)
	}
	s.roundAt = now
	s.round++
	decisions := s.updateStates(now)
	return append(decisions, s.sendHeartbeats(now)...)
}

// discountPause leaves out the time in which this VM was paused and could hear nobody.
// Times are capped at now, for VMs that were heard since the pause ended.
func (s *Membership) discountPause(now time.Time, pause time.Duration) {
	for _, m := range s.order {
		if !m.down() {
			m.HeardAt = earlier(now, m.HeardAt.Add(pause))
			m.DirectAt = earlier(now, m.DirectAt.Add(pause))
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// updateStates marks silent VMs as suspect and then dead, and forgets those that have
// been down for longer than their retention.
func (s *Membership) updateStates(now time.Time) []MemberDecision {
	var decisions []MemberDecision
	var expired []Name
	for _, m := range s.order {
		if !m.down() {
			decisions = append(decisions, m.setState(m.nextState(now))...)
			continue
		}
		since := m.HeardAt
		if since.IsZero() {
			since = m.learnedAt
		}
		if now.Sub(since) > m.retention() && m.Listed != ListedLive {
			expired = append(expired, m.VM.Name)
		}
	}
	for _, n := range expired {
		s.forget(n)
		decisions = append(decisions, Forget{Name: n})
	}
	return decisions
}

// retention returns how long a VM that is down is remembered.
func (m *member) retention() time.Duration {
	if m.Status.Leaving {
		return ForgetLeftAfter
	}
	return ForgetAfter
}

func (m *member) nextState(now time.Time) State {
	silence := now.Sub(m.HeardAt)
	if silence < SuspectAfter {
		return Live
	}
	listedGone := m.Listed == ListedLeaving || m.Listed == Delisted
	if silence >= DeadAfter || listedGone {
		return Dead
	}
	return Suspect
}

func (s *Membership) forget(name Name) {
	m := s.members[name]
	delete(s.members, name)
	if s.digests[m.VM.Digest()] == m {
		delete(s.digests, m.VM.Digest())
	}
	s.order = slices.DeleteFunc(s.order, func(x *member) bool { return x == m })
}
