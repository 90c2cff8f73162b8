package daisyquota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyvm"
)

// Options configures a Shard.
type Options struct {
	Self daisyvm.VM
	// Bounds apply to all accounts; the zero value means DefaultBounds.
	Bounds Bounds
	// OthersExist reports whether there are other VMs, although this one may not know them yet.
	OthersExist bool
	Random      *rand.Rand
	// Now is the time of the start.
	Now time.Time
}

// Shard decides which requests of some accounts may be sent, and lends the tokens of those
// that this VM coordinates.
//
// It is a state machine without I/O: Handle takes an event and the time and returns
// decisions. The time has to include suspensions of the machine. It is not safe for
// concurrent use.
type Shard struct {
	self      daisyvm.Name
	bounds    Bounds
	random    *rand.Rand
	view      view
	quotas    map[Key]daisyaccount.Quota
	lenders   map[Key]*lender
	borrowers map[Key]*borrower
	lastTerm  Term
	// since is when the view or the quotas last changed, or this VM last paused. Buckets that
	// are not in use yet fill from then on.
	since     time.Time
	handledAt time.Time
	decisions []Decision
}

// NewShard returns a Shard without accounts.
func NewShard(o Options) *Shard {
	if o.Bounds.Window <= 0 {
		o.Bounds = DefaultBounds
	}
	return &Shard{
		self:      o.Self.Name,
		bounds:    o.Bounds,
		random:    o.Random,
		view:      newView(o.Self.Name, o.OthersExist, o.Now),
		quotas:    make(map[Key]daisyaccount.Quota),
		lenders:   make(map[Key]*lender),
		borrowers: make(map[Key]*borrower),
		// Terms of an earlier start of this VM are lower.
		lastTerm:  Term(o.Self.Incarnation),
		handledAt: o.Now,
		since:     o.Now,
	}
}

// Handle handles an event and returns the decisions. The slice is valid until the next call.
func (s *Shard) Handle(now time.Time, event Event) []Decision {
	s.decisions = s.decisions[:0]
	if now.Sub(s.handledAt) > pauseThreshold {
		s.resume(now)
	}
	s.handledAt = now
	switch e := event.(type) {
	case Arrived:
		s.arrive(now, e)
	case WaitPassed:
		s.passWait(now, e)
	case Canceled:
		s.removeWaiter(e.Account, e.ID)
	case TokenSent:
		s.markSent(e)
	case TokenReturned:
		s.returnToken(e)
	case RequestReceived:
		s.lend(now, e.From, e.Request)
	case GrantReceived:
		s.receive(now, e.From, e.Grant)
	case PeersChanged:
		s.view.change(now, e)
		s.since = now
		s.refill(now)
	case VMsListed:
		s.view.listed = e.Count
		s.refill(now)
	case QuotasChanged:
		s.changeQuotas(now, e.Quotas)
	case TimePassed:
		s.passTime(now)
	}
	return s.decisions
}

func (s *Shard) emit(d Decision) { s.decisions = append(s.decisions, d) }

// resume empties the buckets after a pause of this VM.
func (s *Shard) resume(now time.Time) {
	s.since = now
	for _, l := range s.lenders {
		l.reset(now)
	}
}

// refill puts the current shares and quotas in force for the accounts that this VM lends
// tokens of.
func (s *Shard) refill(now time.Time) {
	share := s.view.share(now)
	for account, l := range s.lenders {
		l.setFilling(now, s.filling(account, share))
	}
}

// filling returns how the bucket of an account fills on this VM.
func (s *Shard) filling(account Key, share float64) filling {
	quota := s.quotas[account]
	if s.view.roles(account).coordinator == s.self {
		return coordinatorFilling(s.bounds, quota, share)
	}
	return standbyFilling(s.bounds, quota, share)
}

func (s *Shard) changeQuotas(now time.Time, quotas map[Key]daisyaccount.Quota) {
	previous := s.quotas
	s.quotas, s.since = quotas, now
	for account := range s.lenders {
		if !quotas[account].Limited() {
			delete(s.lenders, account)
		}
	}
	s.refill(now)
	for account, b := range s.borrowers {
		if quotas[account].PerSecond < previous[account].PerSecond {
			for _, l := range b.lines {
				l.giveBack(l.free(now))
			}
		}
	}
}

func (s *Shard) newTerm() Term {
	s.lastTerm++
	return s.lastTerm
}

// lend handles a request for tokens, which may be this VM's own.
func (s *Shard) lend(now time.Time, from daisyvm.Name, r Request) {
	quota := s.quotas[r.Account]
	roles := s.view.roles(r.Account)
	if !quota.Limited() || roles.coordinator != s.self && (roles.standby != s.self || !r.Standby) {
		s.answer(now, from, Grant{Account: r.Account, Sequence: r.Sequence, Declined: true})
		return
	}
	s.view.report(now, int(r.VMs))
	share := s.view.share(now)
	l := s.lenders[r.Account]
	if l == nil {
		l = newLender(s.since, standbyFilling(s.bounds, quota, share), s.random.Float64())
		l.setFilling(s.since, s.filling(r.Account, share))
		s.lenders[r.Account] = l
	}
	l.setFilling(now, s.filling(r.Account, share))
	if g, ok := l.lend(now, from, r, s.newTerm); ok {
		s.answer(now, from, g)
	}
}

func (s *Shard) answer(now time.Time, to daisyvm.Name, g Grant) {
	if to == s.self {
		s.receive(now, to, g)
		return
	}
	s.emit(SendGrant{To: to, Grant: g})
}

func (s *Shard) markSent(e TokenSent) {
	b := s.borrowers[e.Token.Account]
	if b == nil {
		return
	}
	l := b.lineOf(e.Token)
	if l == nil {
		return
	}
	l.spent++
	if !e.Again {
		l.reserved--
	}
}

func (s *Shard) returnToken(e TokenReturned) {
	b := s.borrowers[e.Token.Account]
	if b == nil {
		return
	}
	l := b.lineOf(e.Token)
	switch {
	case l == nil:
	case e.Sent:
		l.spent--
	default:
		l.reserved--
	}
}

func (s *Shard) passTime(now time.Time) {
	for _, l := range s.lenders {
		l.expire(now)
	}
	// The order makes simulations reproducible.
	for _, account := range slices.SortedFunc(maps.Keys(s.borrowers), compareKeys) {
		b := s.borrowers[account]
		s.updateRoles(b)
		s.returnExcess(now, b)
		b.forgetLines(now)
		if b.limited && now.Sub(b.refusedAt) >= limitedTime {
			s.emit(LimitChanged{Account: account, Refused: b.refused})
			b.limited, b.refused = false, 0
		}
		if len(b.lines)+len(b.waiting) == 0 && !b.limited && now.Sub(b.demandAt) > silentShareTime {
			delete(s.borrowers, account)
		}
	}
}
