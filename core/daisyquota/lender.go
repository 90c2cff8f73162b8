package daisyquota

import (
	"math"
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyvm"
)

const (
	// reserveDivisor is the part of the capacity that is not lent in advance, so that requests
	// at VMs without tokens do not wait.
	reserveDivisor = 8
	// minReserve is the least number of tokens that are not lent in advance.
	minReserve = 4
	// aheadDivisor is the part of the rest that one borrower may get in advance at once.
	aheadDivisor = 2
)

// lender has the bucket of an account at its coordinator or standby.
//
// The level counts the free tokens and those that are lent and not reported as spent. Only
// spending lowers it, and it is filled at the rate up to a capacity, so the requests in any
// window are at most the capacity and the rate times the window, whenever they are sent.
type lender struct {
	filling filling
	level   float64
	at      time.Time
	loans   map[daisyvm.Name]*loan
}

// loan is what one VM has borrowed.
type loan struct {
	term                     Term
	sequence                 uint64
	granted, spent, returned int64
	grantedAt                time.Time
}

func (l *loan) outstanding() int64 { return max(0, l.granted-l.spent-l.returned) }

// filling is how fast a bucket fills, and how far.
type filling struct{ perSecond, capacity float64 }

// coordinatorFilling returns the filling at the coordinator of VMs with a share of the rate.
func coordinatorFilling(b Bounds, q daisyaccount.Quota, share float64) filling {
	return filling{perSecond: q.PerSecond * share, capacity: (q.Burst + aheadShare*b.allowance(q)) * share}
}

// standbyFilling returns the filling at the standby, which lends from the allowance only.
func standbyFilling(b Bounds, q daisyaccount.Quota, share float64) filling {
	capacity := standbyShare * b.allowance(q) * share
	return filling{perSecond: capacity / b.Window.Seconds(), capacity: capacity}
}

// newLender returns a bucket that holds what a standby may lend: a new coordinator does not
// know what the one before has lent. The phase, from 0 to 1, is that of the first token if
// the share amounts to less.
func newLender(now time.Time, standby filling, phase float64) *lender {
	level := standby.capacity
	if level < 1 {
		level = phase
	}
	return &lender{filling: standby, level: level, at: now, loans: make(map[daisyvm.Name]*loan)}
}

// setFilling fills the bucket as until now, and as given from now on.
func (l *lender) setFilling(now time.Time, f filling) {
	l.fill(now)
	l.filling = f
	if f.capacity >= 1 {
		l.level = min(l.level, f.capacity)
	}
}

func (l *lender) fill(now time.Time) {
	f := l.filling
	elapsed := max(0, now.Sub(l.at).Seconds())
	l.at = now
	l.level += f.perSecond * elapsed
	if f.capacity >= 1 {
		l.level = min(l.level, f.capacity)
		return
	}
	// The level rises to 1, and on for savedTime, and then starts again.
	if top := 1 + savedTime.Seconds()*f.perSecond; l.level > top {
		l.level = math.Mod(l.level, top)
	}
}

// reset empties the bucket, since another VM may have lent tokens meanwhile.
func (l *lender) reset(now time.Time) {
	l.level, l.at = 0, now
	clear(l.loans)
}

// expire writes off the loans whose borrowers have been silent.
func (l *lender) expire(now time.Time) {
	for name, x := range l.loans {
		if now.Sub(x.grantedAt) > loanTime {
			l.writeOff(name, x)
		}
	}
}

func (l *lender) writeOff(name daisyvm.Name, x *loan) {
	l.level -= float64(x.outstanding())
	delete(l.loans, name)
}

func (l *lender) free() int64 {
	free := l.level
	for _, x := range l.loans {
		free -= float64(x.outstanding())
	}
	return int64(max(0, math.Floor(free)))
}

// lend handles a request for tokens. It reports false if there is nothing to answer, because
// the request is late, or for tokens in advance and there are none.
func (l *lender) lend(now time.Time, from daisyvm.Name, r Request, newTerm func() Term) (Grant, bool) {
	l.fill(now)
	x := l.loans[from]
	switch {
	case x != nil && x.term == r.Term && r.Sequence <= x.sequence:
		return Grant{}, false
	case x != nil && x.term == r.Term:
		l.level -= float64(r.Spent - x.spent)
		x.spent, x.returned, x.sequence = r.Spent, r.Returned, r.Sequence
	default:
		if x != nil {
			l.writeOff(from, x)
		}
		x = &loan{term: newTerm(), sequence: r.Sequence}
		l.loans[from] = x
	}
	free := l.free()
	lent := min(int64(r.Waiting), free)
	// Tokens of waiting requests are used at once, and the borrower may not ask again for
	// seconds. If they were not, its next report says so.
	x.spent += lent
	l.level -= float64(lent)
	reserve := int64(max(minReserve, l.filling.capacity/reserveDivisor))
	lent += min(int64(r.Ahead), max(0, free-lent-reserve)/aheadDivisor)
	x.granted += lent
	x.grantedAt = now
	g := Grant{Account: r.Account, Term: x.term, Sequence: r.Sequence, Granted: x.granted}
	if lent == 0 {
		g.Next = l.next()
	}
	return g, lent > 0 || r.Waiting > 0
}

// next estimates when a borrower gets a token, if all borrowers need some.
func (l *lender) next() time.Duration {
	const longest = time.Hour
	if l.filling.perSecond <= 0 {
		return longest
	}
	seconds := max(float64(len(l.loans)), 1-l.level) / l.filling.perSecond
	return time.Duration(min(seconds, longest.Seconds()) * float64(time.Second))
}
