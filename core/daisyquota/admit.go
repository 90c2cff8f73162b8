package daisyquota

import (
	"slices"
	"time"

	"daisyyoke/core/daisyvm"
)

// arrive decides on a request of a caller.
func (s *Shard) arrive(now time.Time, e Arrived) {
	quota, known := s.quotas[e.Account]
	if !known {
		quota = e.Quota
	}
	if !quota.Limited() {
		s.emit(Admit{ID: e.ID})
		return
	}
	b := s.borrowers[e.Account]
	if b == nil {
		b = &borrower{account: e.Account}
		s.borrowers[e.Account] = b
	}
	s.updateRoles(b)
	b.countArrival(now)
	if t, ok := b.take(now); ok {
		s.emit(Admit{ID: e.ID, Token: t})
		s.requestAhead(now, b)
		return
	}
	if now.Before(b.blockedUntil) {
		s.refuse(now, b, e.ID)
		return
	}
	b.waiting = append(b.waiting, waiter{id: e.ID})
	s.askLenders(now, b)
	if b.isWaiting(e.ID) {
		s.emit(Wait{ID: e.ID, Until: now.Add(answerTime)})
	}
}

func (b *borrower) isWaiting(id RequestID) bool {
	return slices.ContainsFunc(b.waiting, func(w waiter) bool { return w.id == id })
}

// updateRoles takes over the lenders of the present view. Waiting requests ask the new
// coordinator once they have waited for answerTime.
func (s *Shard) updateRoles(b *borrower) {
	if b.version == s.view.version {
		return
	}
	b.version = s.view.version
	was := b.roles.coordinator
	b.roles = s.view.roles(b.account)
	if was != b.roles.coordinator {
		b.silentSince, b.unanswered, b.declined = time.Time{}, 0, false
	}
}

// askLenders asks the coordinator, and the standby too if the coordinator is silent. The
// coordinator is asked first: a standby on this VM may answer at once.
func (s *Shard) askLenders(now time.Time, b *borrower) {
	s.ask(now, b, b.roles.coordinator)
	if b.silent(now) || b.declined {
		s.ask(now, b, b.roles.standby)
	}
}

// ask requests tokens for the waiting requests, unless an earlier request may still bring
// them.
func (s *Shard) ask(now time.Time, b *borrower, lender daisyvm.Name) {
	if lender == "" || len(b.waiting) == 0 {
		return
	}
	l := b.line(lender)
	if l.open && l.waiting > 0 && now.Sub(l.askedAt) < answerTime {
		return
	}
	if lender == b.roles.coordinator {
		if b.silentSince.IsZero() {
			b.silentSince = now
		}
		b.unanswered++
	}
	l.nextAhead = now.Add(aheadInterval)
	s.send(now, l.lender, l.request(now, b.account, len(b.waiting), b.target(now)-b.free(now), lender != b.roles.coordinator), true)
}

// requestAhead requests tokens in advance if a third of them is left.
func (s *Shard) requestAhead(now time.Time, b *borrower) {
	target, free := b.target(now), b.free(now)
	l := b.line(b.roles.coordinator)
	if free > target/3 || target < 1 || l.open && now.Sub(l.askedAt) < aheadInterval || now.Before(l.nextAhead) {
		return
	}
	l.nextAhead = now.Add(aheadInterval)
	s.send(now, l.lender, l.request(now, b.account, 0, target-free, false), false)
}

// returnExcess gives back tokens that the demand no longer needs.
func (s *Shard) returnExcess(now time.Time, b *borrower) {
	l := b.find(b.roles.coordinator)
	if l == nil || l.open && now.Sub(l.askedAt) < aheadInterval {
		return
	}
	free, target := l.free(now), b.target(now)
	if free <= 2*target+maxExcess {
		return
	}
	l.giveBack(free - target)
	s.send(now, l.lender, l.request(now, b.account, 0, 0, false), false)
}

func (s *Shard) send(now time.Time, to daisyvm.Name, r Request, urgent bool) {
	if to == s.self {
		s.lend(now, s.self, r)
		return
	}
	r.VMs = uint32(s.view.known(now))
	s.emit(SendRequest{To: to, Request: r, Urgent: urgent})
}

// receive handles the answer of a lender.
func (s *Shard) receive(now time.Time, from daisyvm.Name, g Grant) {
	b := s.borrowers[g.Account]
	if b == nil {
		return
	}
	l := b.find(from)
	if l == nil || g.Sequence > l.sequence {
		return
	}
	isCoordinator := from == b.roles.coordinator
	if isCoordinator {
		b.silentSince, b.unanswered, b.declined = time.Time{}, 0, g.Declined
	}
	if g.Declined {
		l.open = l.open && g.Sequence != l.sequence
		if isCoordinator && b.roles.standby != "" {
			s.ask(now, b, b.roles.standby)
		} else {
			s.refuseWaiting(now, b)
		}
		return
	}
	asked := l.waiting
	added := l.receive(now, g)
	s.admitWaiting(now, b)
	switch {
	case len(b.waiting) == 0:
	case asked > 0 && added == 0 && g.Sequence == l.sequence:
		// A coordinator that was silent for less may only be slow, and answer yet.
		if isCoordinator || b.declined || now.Sub(b.silentSince) > slowTime {
			b.block(now, g.Next)
			s.refuseWaiting(now, b)
		}
	case isCoordinator:
		s.ask(now, b, from)
	}
}

// admitWaiting lets requests pass in the order of their arrival while there are tokens.
func (s *Shard) admitWaiting(now time.Time, b *borrower) {
	for len(b.waiting) > 0 {
		t, ok := b.take(now)
		if !ok {
			return
		}
		s.emit(Admit{ID: b.waiting[0].id, Token: t})
		b.waiting = b.waiting[1:]
	}
}

// refuseWaiting refuses all waiting requests for which this VM has no share of its own.
func (s *Shard) refuseWaiting(now time.Time, b *borrower) {
	waiting := b.waiting
	b.waiting = nil
	for _, w := range waiting {
		s.decideWithoutLender(now, b, w.id)
	}
}

// decideWithoutLender lets a request pass by this VM's own share if there is no lender, and
// refuses it otherwise.
func (s *Shard) decideWithoutLender(now time.Time, b *borrower, id RequestID) {
	quota := s.quotas[b.account]
	if !b.mayUseShare(now) || !quota.Limited() {
		s.refuse(now, b, id)
		return
	}
	vms := float64(len(s.view.present)) / s.view.share(now)
	phase := 0.0
	if !b.share.Limiting() {
		phase = s.random.Float64()
	}
	b.share.Limit(now, time.Duration(vms/quota.PerSecond*float64(time.Second)), phase)
	if !b.share.Allows(now) {
		b.availableAt = b.share.Next(now)
		s.refuse(now, b, id)
		return
	}
	b.share.Take(now)
	s.emit(Admit{ID: id, Token: Token{Account: b.account, valid: true}})
}

func (s *Shard) refuse(now time.Time, b *borrower, id RequestID) {
	if !b.limited {
		b.limited = true
		s.emit(LimitChanged{Account: b.account, Limited: true, Silent: b.silent(now)})
	}
	b.refused++
	b.refusedAt = now
	s.emit(Refuse{ID: id, RetryAfter: b.retryAfter(now)})
}

// passWait decides on a request that has waited for the answer of a lender. It waits once
// more, for the standby if the coordinator is silent.
func (s *Shard) passWait(now time.Time, e WaitPassed) {
	b := s.borrowers[e.Account]
	if b == nil || !b.isWaiting(e.ID) {
		return
	}
	s.updateRoles(b)
	i := slices.IndexFunc(b.waiting, func(w waiter) bool { return w.id == e.ID })
	if !b.waiting[i].late {
		b.waiting[i].late = true
		s.askLenders(now, b)
		if b.isWaiting(e.ID) {
			s.emit(Wait{ID: e.ID, Until: now.Add(answerTime)})
		}
		return
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	s.decideWithoutLender(now, b, e.ID)
}

func (s *Shard) removeWaiter(account Key, id RequestID) {
	if b := s.borrowers[account]; b != nil {
		b.waiting = slices.DeleteFunc(b.waiting, func(w waiter) bool { return w.id == id })
	}
}
