package daisyvm

import (
	"math"
	"slices"
	"time"
)

// sendHeartbeats sends the heartbeats of a round: to FanOut VMs, and to one VM that is
// down, since its link may be open although nothing has arrived over it.
func (s *Membership) sendHeartbeats(now time.Time) []MemberDecision {
	s.sequence++
	var up, down []*member
	for _, m := range s.order {
		if m.down() {
			down = append(down, m)
		} else {
			up = append(up, m)
		}
	}
	var decisions []MemberDecision
	for _, m := range s.selectTargets(s.outOfTurnTargets(), up) {
		decisions = append(decisions, s.newHeartbeat(now, m))
	}
	if len(down) > 0 {
		decisions = append(decisions, s.newHeartbeat(now, down[int(s.round)%len(down)]))
	}
	return decisions
}

// outOfTurnTargets returns the VMs that receive a heartbeat of this round out of turn.
// These are the longest suspected VMs, whose reply clears the suspicion, and the VMs
// that sent a heartbeat since the last round but have waited longest for one from this
// VM, which they may suspect.
func (s *Membership) outOfTurnTargets() []*member {
	var suspects, unanswered []*member
	for _, m := range s.order {
		switch {
		case m.State == Suspect:
			suspects = append(suspects, m)
		case m.heardThisRound && !m.down() && s.roundAt.Sub(m.heartbeatSentAt) >= SuspectAfter:
			unanswered = append(unanswered, m)
		}
		m.heardThisRound = false
	}
	slices.SortStableFunc(suspects, func(a, b *member) int { return a.HeardAt.Compare(b.HeardAt) })
	slices.SortStableFunc(unanswered, func(a, b *member) int { return a.heartbeatSentAt.Compare(b.heartbeatSentAt) })
	return slices.Concat(suspects[:min(len(suspects), maxOutOfTurn)], unanswered[:min(len(unanswered), maxOutOfTurn)])
}

// selectTargets adds VMs to targets until there are FanOut. Each VM has a turn before any
// has its next one, in an order that is shuffled each time: with a fixed order, the same
// VMs would miss the same reports again and again.
func (s *Membership) selectTargets(targets, up []*member) []*member {
	if len(up) <= FanOut {
		return up
	}
	for len(targets) < FanOut {
		if len(s.turnQueue) == 0 {
			s.turnQueue = slices.Clone(up)
			s.random.Shuffle(len(s.turnQueue), func(i, j int) { s.turnQueue[i], s.turnQueue[j] = s.turnQueue[j], s.turnQueue[i] })
		}
		m := s.turnQueue[0]
		s.turnQueue = s.turnQueue[1:]
		if !m.down() && s.members[m.VM.Name] == m && !slices.Contains(targets, m) {
			targets = append(targets, m)
		}
	}
	return targets
}

// newHeartbeat returns a heartbeat for a VM with the current sequence number, and
// records that it was sent.
func (s *Membership) newHeartbeat(now time.Time, to *member) SendHeartbeat {
	to.heartbeatSentAt = now
	d := SendHeartbeat{
		To:         to.VM.Name,
		Sequence:   s.sequence,
		Status:     s.status,
		Heard:      s.recentlyHeard(now, to),
		Introduced: s.descriptionsFor(to),
	}
	if !to.senderClock.IsZero() {
		d.Echo = to.senderClock
		d.EchoHeld = now.Sub(to.DirectAt)
	}
	return d
}

func (s *Membership) recentlyHeard(now time.Time, to *member) []HeartbeatReport {
	var heard []HeartbeatReport
	for _, m := range s.order {
		if m != to && m.directSequence > 0 && now.Sub(m.DirectAt) <= heardWindow {
			heard = append(heard, HeartbeatReport{VM: m.VM.Digest(), Sequence: m.directSequence, Leaving: m.directLeaving})
		}
	}
	return heard
}

// descriptionsFor returns, in the order in which they were first heard directly, the VMs
// that were not yet considered for the receiver and for which describes returns true, at
// most maxDescriptions. If there are none, every redescribeRounds rounds it repeats one VM
// in case a message was lost.
func (s *Membership) descriptionsFor(to *member) []VM {
	var undescribed []*member
	for _, m := range s.order {
		if m != to && m.firstHeardOrder > to.describedUpTo && !m.down() {
			undescribed = append(undescribed, m)
		}
	}
	slices.SortFunc(undescribed, func(a, b *member) int { return int(a.firstHeardOrder) - int(b.firstHeardOrder) })
	upCount := s.countUp()
	var vms []VM
	for _, m := range undescribed {
		if len(vms) == maxDescriptions {
			break
		}
		if s.describes(m, to, upCount) {
			vms = append(vms, m.VM)
		}
		to.describedUpTo = m.firstHeardOrder
	}
	if len(vms) == 0 && s.round%redescribeRounds == 0 {
		m := s.order[int(s.round/redescribeRounds)%len(s.order)]
		if m != to && m.firstHeardOrder > 0 && !m.down() {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// describes reports whether this VM describes m to another VM. Among few VMs, each
// describes all of them. Among many, about describersPerPair do, since otherwise each VM
// would receive each description from all others.
func (s *Membership) describes(m, to *member, upCount int) bool {
	if upCount <= FanOut {
		return true
	}
	share := math.MaxUint64 / uint64(upCount) * describersPerPair
	return ownerHash(s.self.Name, string(m.VM.Name)+"\x00"+string(to.VM.Name)) < share
}

// countUp returns the number of other VMs that are not down.
func (s *Membership) countUp() int {
	count := 0
	for _, m := range s.order {
		if !m.down() {
			count++
		}
	}
	return count
}

// updateOwners reports the VMs among which the services are divided if they have changed.
// VMs known to be alive only through reports of others are left out, and so are VMs
// without a configuration if this VM has one. If no VM remains, this VM is the only one,
// even while it is leaving.
func (s *Membership) updateOwners(now time.Time) []MemberDecision {
	owners := make([]VM, 0, len(s.order)+1)
	var leaving []VM
	if s.status.Leaving {
		leaving = append(leaving, s.self)
	} else {
		owners = append(owners, s.self)
	}
	// With more than FanOut VMs, each is heard directly only every few rounds.
	rounds := (len(s.order) + FanOut - 1) / FanOut
	maxSilence := max(DeadAfter, time.Duration(rounds)*DeadAfter/2)
	for _, m := range s.order {
		heardDirectly := m.directSequence > 0 && now.Sub(m.DirectAt) < maxSilence
		configured := m.Status.Revision > 0 || s.status.Revision == 0
		switch {
		case !heardDirectly || m.down() || !configured:
		case m.Status.Leaving:
			leaving = append(leaving, m.VM)
		default:
			owners = append(owners, m.VM)
		}
	}
	slices.SortFunc(owners, CompareNames)
	slices.SortFunc(leaving, CompareNames)
	if len(owners) == 0 {
		owners = []VM{s.self}
	}
	s.ownersDueAt = time.Time{}
	if slices.Equal(owners, s.owners) && slices.Equal(leaving, s.leavingOwners) {
		return nil
	}
	due := s.ownersAt.Add(additionsInterval)
	if !now.Before(due) {
		s.ownersChanges = 0
	}
	if s.ownersChanges >= maxQuickChanges && s.onlyAdds(owners, leaving) {
		s.ownersDueAt = due
		return nil
	}
	s.ownersChanges++
	s.owners, s.leavingOwners, s.ownersAt = owners, leaving, now
	return []MemberDecision{PeersChanged{VMs: owners, Leaving: leaving}}
}

const (
	// additionsInterval is how long changes that only add VMs among which the services are
	// divided are gathered, once there were maxQuickChanges without such a pause. When
	// hundreds of VMs start at once they hear of each other one by one within some ten
	// milliseconds, and each change moves the ownership of services.
	additionsInterval = 50 * time.Millisecond
	maxQuickChanges   = 8
)

// onlyAdds reports whether all VMs among which the services are divided stay among them.
func (s *Membership) onlyAdds(owners, leaving []VM) bool {
	if !slices.Equal(leaving, s.leavingOwners) {
		return false
	}
	for _, v := range s.owners {
		if i, found := slices.BinarySearchFunc(owners, v, CompareNames); !found || owners[i] != v {
			return false
		}
	}
	return true
}
