package daisyvm

import (
	"math"
	"slices"
	"time"
)

// beat sends the heartbeats of a round: to FanOut of the VMs, and to one silent
// VM, whose link may stand although nothing came over it.
func (s *Members) beat(now time.Time) []MemberDecision {
	s.sequence++
	var heard, silent []*member
	for _, m := range s.order {
		if m.silent() {
			silent = append(silent, m)
		} else {
			heard = append(heard, m)
		}
	}
	var decisions []MemberDecision
	for _, m := range s.takeTurns(s.favored(), heard) {
		decisions = append(decisions, s.heartbeat(now, m))
	}
	if len(silent) > 0 {
		decisions = append(decisions, s.heartbeat(now, silent[int(s.round)%len(silent)]))
	}
	return decisions
}

// favored gives the VMs that get a heartbeat of this round out of turn: those longest
// suspected, whose answer ends the doubt, and of those that sent one since the last
// round those that have not had one for longest: they may doubt this VM.
func (s *Members) favored() []*member {
	var suspects, askers []*member
	for _, m := range s.order {
		switch {
		case m.State == Suspect:
			suspects = append(suspects, m)
		case m.asked && !m.silent() && s.roundAt.Sub(m.beatAt) >= SuspectAfter:
			askers = append(askers, m)
		}
		m.asked = false
	}
	slices.SortStableFunc(suspects, func(a, b *member) int { return a.HeardAt.Compare(b.HeardAt) })
	slices.SortStableFunc(askers, func(a, b *member) int { return a.beatAt.Compare(b.beatAt) })
	return slices.Concat(suspects[:min(len(suspects), outOfTurn)], askers[:min(len(askers), outOfTurn)])
}

// takeTurns gives FanOut VMs, those taken already among them. Each other one has its
// turn once before any has its next one, in an order drawn anew each time: with a
// fixed order, the same VMs would miss the same words again and again.
func (s *Members) takeTurns(taken, heard []*member) []*member {
	if len(heard) <= FanOut {
		return heard
	}
	for len(taken) < FanOut {
		if len(s.turns) == 0 {
			s.turns = slices.Clone(heard)
			s.random.Shuffle(len(s.turns), func(i, j int) { s.turns[i], s.turns[j] = s.turns[j], s.turns[i] })
		}
		m := s.turns[0]
		s.turns = s.turns[1:]
		if !m.silent() && s.members[m.VM.Name] == m && !slices.Contains(taken, m) {
			taken = append(taken, m)
		}
	}
	return taken
}

// heartbeat makes the heartbeat for one VM with the present sequence.
func (s *Members) heartbeat(now time.Time, to *member) SendHeartbeat {
	to.beatAt = now
	d := SendHeartbeat{
		To:         to.VM.Name,
		Sequence:   s.sequence,
		Status:     s.status,
		Heard:      s.heardLately(now, to),
		Introduced: s.introduce(to),
	}
	if !to.sent.IsZero() {
		d.Echo = to.sent
		d.EchoHeld = now.Sub(to.DirectAt)
	}
	return d
}

func (s *Members) heardLately(now time.Time, to *member) []Heard {
	var heard []Heard
	for _, m := range s.order {
		if m != to && m.directSequence > 0 && now.Sub(m.DirectAt) <= heardWindow {
			heard = append(heard, Heard{VM: m.VM.Digest(), Sequence: m.directSequence, Leaving: m.directLeaving})
		}
	}
	return heard
}

// introduce describes the VMs heard first-hand since the receiver was last told, the
// earliest first, and now and then one more, in case a message was lost.
func (s *Members) introduce(to *member) []VM {
	var news []*member
	for _, m := range s.order {
		if m != to && m.changed > to.told && !m.silent() {
			news = append(news, m)
		}
	}
	slices.SortFunc(news, func(a, b *member) int { return int(a.changed) - int(b.changed) })
	heard := s.countHeard()
	var vms []VM
	for _, m := range news {
		if len(vms) == introduceLimit {
			break
		}
		if s.introduces(m, to, heard) {
			vms = append(vms, m.VM)
		}
		to.told = m.changed
	}
	if len(vms) == 0 && s.round%introduceEvery == 0 {
		m := s.order[int(s.round/introduceEvery)%len(s.order)]
		if m != to && m.changed > 0 && !m.silent() {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// introduces reports whether this VM is one of those that describe a VM to another:
// all of a few VMs, and about introducers of many, or each would hear of each from all.
func (s *Members) introduces(m, to *member, heard int) bool {
	if heard <= FanOut {
		return true
	}
	share := math.MaxUint64 / uint64(heard) * introducers
	return ownerHash(s.self.Name, string(m.VM.Name)+"\x00"+string(to.VM.Name)) < share
}

// countHeard gives the number of other VMs that are not silent.
func (s *Members) countHeard() int {
	heard := 0
	for _, m := range s.order {
		if !m.silent() {
			heard++
		}
	}
	return heard
}

// share gives the VMs that share the services when they have changed. Who is
// heard only by the word of others shares nothing with this VM. The last VM
// shares with itself, also when it leaves.
func (s *Members) share(now time.Time) []MemberDecision {
	vms := make([]VM, 0, len(s.order)+1)
	var leaving []VM
	if s.status.Leaving {
		leaving = append(leaving, s.self)
	} else {
		vms = append(vms, s.self)
	}
	turns := (len(s.order) + FanOut - 1) / FanOut
	reach := max(DeadAfter, time.Duration(turns)*DeadAfter/2)
	for _, m := range s.order {
		direct := m.directSequence > 0 && now.Sub(m.DirectAt) < reach
		configured := m.Status.Revision > 0 || s.status.Revision == 0
		switch {
		case !direct || m.silent() || !configured:
		case m.Status.Leaving:
			leaving = append(leaving, m.VM)
		default:
			vms = append(vms, m.VM)
		}
	}
	slices.SortFunc(vms, CompareNames)
	slices.SortFunc(leaving, CompareNames)
	if len(vms) == 0 {
		vms = []VM{s.self}
	}
	if slices.Equal(vms, s.sharing) && slices.Equal(leaving, s.leaving) {
		return nil
	}
	s.sharing, s.leaving = vms, leaving
	return []MemberDecision{PeersChanged{VMs: vms, Leaving: leaving}}
}
