package daisyvm

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// BeatInterval is the time between two rounds of heartbeats.
	BeatInterval = 250 * time.Millisecond
	// FanOut is the number of VMs that get a heartbeat in one round. Up to this
	// many, each VM hears each other in every round; beyond it they take turns, and
	// the peers' word fills the gaps.
	FanOut = 8
	// SuspectAfter is the silence after which a VM is doubted.
	SuspectAfter = time.Second
	// DeadAfter is the silence after which a VM is given up.
	DeadAfter = 2 * time.Second
	// ForgetAfter is how long a dead VM is remembered and dialed.
	ForgetAfter = 2 * time.Hour
	// ForgetLeftAfter is the same for one that left by plan.
	ForgetLeftAfter = 10 * time.Minute
	// outOfTurn bounds the heartbeats of a round to VMs in doubt, and those to VMs that may doubt this one.
	outOfTurn = 2
	// heardWindow is how far back a heartbeat tells whom its sender heard.
	heardWindow = 2 * BeatInterval
	// pauseAfter is how late a round shows that this VM itself was paused.
	pauseAfter = 3 * BeatInterval
	// introduceLimit bounds the descriptions in one heartbeat.
	introduceLimit = 16
	// introducers is how many VMs describe a VM to another on their own, on average; one
	// in e^introducers is left to the repeated descriptions and to the platform's list.
	introducers = 6
	// introduceEvery is the number of rounds between two repeated descriptions.
	introduceEvery = 8
	// roundTripWeight is the share of the latest sample in a smoothed round trip.
	roundTripWeight = 0.125
)

// Members keeps what one VM knows of the others. Proofs of life are the VM's own
// heartbeats and the word of peers that heard them; the platform's list only
// makes VMs known and ends the doubt about a silent one.
//
// Members is a state machine: events and the time go in, decisions come out. It
// is not safe for concurrent use.
type Members struct {
	self    VM
	random  *rand.Rand
	status  Status
	members map[Name]*member
	digests map[Digest]*member
	order   []*member
	// turns are the VMs that still get a heartbeat before the next draw.
	turns    []*member
	round    uint64
	sequence uint64
	changes  uint64
	roundAt  time.Time
	sharing  []VM
	leaving  []VM
	// unsettled says that a heartbeat may have changed who shares the services.
	unsettled bool
}

type member struct {
	Member
	// sequence is the latest one known by any word, directSequence by its own.
	sequence       uint64
	directSequence uint64
	directLeaving  bool
	learnedAt      time.Time
	// sent is the VM's clock in its last heartbeat.
	sent time.Time
	// beatAt is when it was last sent a heartbeat, asked that one of it arrived since the last round.
	beatAt time.Time
	asked  bool
	// changed numbers the change that made the VM's description known first-hand;
	// told is the latest change that the VM was told of.
	changed uint64
	told    uint64
}

// NewMembers gives the membership of a VM that knows only itself. All its random
// choices come from random.
func NewMembers(self VM, now time.Time, random *rand.Rand) *Members {
	return &Members{
		self:    self,
		random:  random,
		members: make(map[Name]*member),
		digests: make(map[Digest]*member),
		roundAt: now,
	}
}

// Handle takes an event that happened at now and gives what has to be done.
func (s *Members) Handle(now time.Time, event MemberEvent) []MemberDecision {
	var decisions []MemberDecision
	switch e := event.(type) {
	case HeartbeatArrived:
		decisions = s.hear(now, e)
	case LinkOpened:
		decisions = s.openLink(now, e.VM)
	case PlatformListed:
		decisions = s.list(now, e.VMs)
	case SelfChanged:
		decisions = s.changeSelf(now, e.Status)
	case TimePassed:
		decisions = s.passRound(now)
	}
	if _, ok := event.(HeartbeatArrived); ok && len(decisions) == 0 && !s.unsettled {
		return nil
	}
	s.unsettled = false
	return append(decisions, s.share(now)...)
}

// NextWake gives when TimePassed has to be handled next.
func (s *Members) NextWake() time.Time { return s.roundAt.Add(BeatInterval) }

// Self gives this VM as a member.
func (s *Members) Self() Member { return Member{VM: s.self, State: Live, Status: s.status} }

// All gives the other VMs in the order of their names.
func (s *Members) All() []Member {
	all := make([]Member, 0, len(s.order))
	for _, m := range s.order {
		all = append(all, m.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return CompareNames(a.VM, b.VM) })
	return all
}

func (s *Members) hear(now time.Time, event HeartbeatArrived) []MemberDecision {
	m, decisions := s.learn(now, event.VM)
	if m == nil || event.VM.Incarnation < m.VM.Incarnation || event.Sequence <= m.directSequence {
		return decisions
	}
	if m.directSequence == 0 {
		s.changes++
		m.changed = s.changes
		decisions = append(decisions, s.replaceAt(now, m)...)
	}
	m.directSequence = event.Sequence
	m.DirectAt = now
	m.asked = true
	m.directLeaving = event.Status.Leaving
	if event.Sequence < m.sequence {
		event.Status.Leaving = m.Status.Leaving
	}
	s.unsettled = s.unsettled || m.Status != event.Status
	m.Status = event.Status
	m.sent = event.Sent
	m.measure(now, event)
	decisions = append(decisions, s.prove(now, m, event.Sequence)...)
	for _, h := range event.Heard {
		if x := s.digests[h.VM]; x != nil {
			decisions = append(decisions, s.believe(now, x, h)...)
		}
	}
	for _, v := range event.Introduced {
		_, learned := s.learn(now, v)
		decisions = append(decisions, learned...)
	}
	return decisions
}

// measure takes a sample of the round trip.
func (m *member) measure(now time.Time, event HeartbeatArrived) {
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

// learn makes a VM known, or its later incarnation. It gives nil for this VM's own name.
func (s *Members) learn(now time.Time, vm VM) (*member, []MemberDecision) {
	if vm.Name == s.self.Name {
		if vm.Incarnation > s.self.Incarnation {
			return nil, []MemberDecision{Superseded{By: vm}}
		}
		return nil, nil
	}
	m := s.members[vm.Name]
	if m != nil && vm.Incarnation <= m.VM.Incarnation {
		return m, nil
	}
	if m == nil {
		m = &member{learnedAt: now}
		s.members[vm.Name] = m
		s.order = append(s.order, m)
	}
	was := m.State
	delete(s.digests, m.VM.Digest())
	*m = member{Member: Member{VM: vm, Listed: m.Listed}, learnedAt: now}
	s.digests[vm.Digest()] = m
	decisions := []MemberDecision{Connect{VM: vm}}
	if was != Unheard {
		decisions = append(decisions, StateChanged{Member: m.Member, Was: was})
	}
	return m, decisions
}

// believe takes a peer's word of a VM: that it lives, and whether it leaves.
func (s *Members) believe(now time.Time, m *member, word Heard) []MemberDecision {
	if word.Sequence > m.sequence && word.Leaving != m.Status.Leaving {
		m.Status.Leaving = word.Leaving
		s.unsettled = true
	}
	return s.prove(now, m, word.Sequence)
}

// prove takes a word of life; one that is no news proves nothing.
func (s *Members) prove(now time.Time, m *member, sequence uint64) []MemberDecision {
	if sequence <= m.sequence {
		return nil
	}
	m.sequence = sequence
	m.HeardAt = now
	return m.enter(Live)
}

func (m *member) enter(state State) []MemberDecision {
	was := m.State
	if was == state {
		return nil
	}
	m.State = state
	return []MemberDecision{StateChanged{Member: m.Member, Was: was}}
}

// replaceAt gives up the silent VMs whose address a newly heard one has.
func (s *Members) replaceAt(now time.Time, heard *member) []MemberDecision {
	var decisions []MemberDecision
	for _, m := range s.order {
		if m == heard || m.VM.Peers != heard.VM.Peers || now.Sub(m.HeardAt) < heardWindow {
			continue
		}
		if m.State == Live || m.State == Suspect {
			decisions = append(decisions, m.enter(Dead)...)
		}
	}
	return decisions
}

func (s *Members) openLink(now time.Time, vm VM) []MemberDecision {
	m, decisions := s.learn(now, vm)
	if m == nil {
		return decisions
	}
	m.told = 0
	s.sequence++
	return append(decisions, s.heartbeat(now, m))
}

// list takes the platform's word: it makes VMs known and gives the addresses of silent ones.
func (s *Members) list(now time.Time, vms []Listed) []MemberDecision {
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
		if m.silent() && m.VM.Peers != v.Peers {
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

func (m *member) silent() bool { return m.State == Dead || m.State == Unheard }

// changeSelf tells everybody of a change that cannot wait for the next round,
// and of a new configuration those that lack it.
func (s *Members) changeSelf(now time.Time, status Status) []MemberDecision {
	was := s.status
	s.status = status
	urgent := was.Leaving != status.Leaving || was.Ready != status.Ready || was.Stopping != status.Stopping
	if !urgent && was.Revision == status.Revision {
		return nil
	}
	s.sequence++
	var decisions []MemberDecision
	for _, m := range s.order {
		if !m.silent() && (urgent || m.Status.Revision < status.Revision) {
			decisions = append(decisions, s.heartbeat(now, m))
		}
	}
	return decisions
}

func (s *Members) passRound(now time.Time) []MemberDecision {
	if now.Before(s.NextWake()) {
		return nil
	}
	if gap := now.Sub(s.roundAt); gap > pauseAfter {
		s.forgive(now, gap-BeatInterval)
	}
	s.roundAt = now
	s.round++
	decisions := s.judge(now)
	return append(decisions, s.beat(now)...)
}

// forgive leaves out the time in which this VM was paused and heard nobody. What
// it has heard since it woke up counts as it is.
func (s *Members) forgive(now time.Time, gap time.Duration) {
	for _, m := range s.order {
		if !m.silent() {
			m.HeardAt = earlier(now, m.HeardAt.Add(gap))
			m.DirectAt = earlier(now, m.DirectAt.Add(gap))
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// judge doubts the silent VMs, gives up those silent for long, and forgets the dead.
func (s *Members) judge(now time.Time) []MemberDecision {
	var decisions []MemberDecision
	var forgotten []Name
	for _, m := range s.order {
		if !m.silent() {
			decisions = append(decisions, m.enter(m.verdict(now))...)
			continue
		}
		since := m.HeardAt
		if since.IsZero() {
			since = m.learnedAt
		}
		if now.Sub(since) > m.remembered() && m.Listed != ListedLive {
			forgotten = append(forgotten, m.VM.Name)
		}
	}
	for _, n := range forgotten {
		s.forget(n)
		decisions = append(decisions, Forget{Name: n})
	}
	return decisions
}

// remembered gives how long a silent VM is remembered.
func (m *member) remembered() time.Duration {
	if m.Status.Leaving {
		return ForgetLeftAfter
	}
	return ForgetAfter
}

func (m *member) verdict(now time.Time) State {
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

func (s *Members) forget(name Name) {
	m := s.members[name]
	delete(s.members, name)
	if s.digests[m.VM.Digest()] == m {
		delete(s.digests, m.VM.Digest())
	}
	s.order = slices.DeleteFunc(s.order, func(x *member) bool { return x == m })
}
