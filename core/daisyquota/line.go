package daisyquota

import (
	"time"

	"daisyyoke/core/daisyvm"
)

// line is what a borrower has from one lender.
type line struct {
	lender                             daisyvm.Name
	term                               Term
	granted, spent, returned, reserved int64
	// expires is when the tokens may no longer be used.
	expires time.Time
	// sequence is that of the last request, sent at askedAt and the one before at askedBefore.
	sequence             uint64
	askedAt, askedBefore time.Time
	// open reports whether the last request has no answer yet.
	open bool
	// waiting is the number of tokens that the last request asked for at once.
	waiting int
	// nextAhead is when tokens may next be requested in advance.
	nextAhead time.Time
}

// free returns the number of tokens that may be used.
func (l *line) free(now time.Time) int64 {
	l.expire(now)
	return l.granted - l.spent - l.returned - l.reserved
}

// expire gives back the tokens that may no longer be used.
func (l *line) expire(now time.Time) {
	if now.Before(l.expires) {
		return
	}
	l.giveBack(l.granted - l.spent - l.returned - l.reserved)
}

// giveBack gives back n of the free tokens. The lender learns of it with the next request.
func (l *line) giveBack(n int64) {
	if n > 0 {
		l.returned += n
	}
}

// idle reports whether the line has nothing that could be used or reported.
func (l *line) idle(now time.Time) bool {
	return l.reserved == 0 && l.free(now) <= 0 && now.Sub(l.askedAt) > loanTime
}

// request returns the next request and notes that it is sent.
func (l *line) request(now time.Time, account Key, waiting int, ahead int64, standby bool) Request {
	l.expire(now)
	l.sequence++
	l.askedBefore, l.askedAt = l.askedAt, now
	l.open, l.waiting = true, waiting
	return Request{
		Account:  account,
		Term:     l.term,
		Sequence: l.sequence,
		Spent:    l.spent,
		Returned: l.returned,
		Waiting:  uint32(waiting),
		Ahead:    uint32(max(0, ahead)),
		Standby:  standby,
	}
}

// receive adds the tokens of a grant, and returns their number. An answer to a request before
// the last two is ignored: the next answer has its tokens too, because counts are cumulative.
func (l *line) receive(now time.Time, g Grant) int64 {
	asked := l.askedAt
	switch {
	case g.Sequence == l.sequence:
		l.open = false
	case g.Sequence+1 == l.sequence:
		asked = l.askedBefore
	default:
		return 0
	}
	l.expire(now)
	if g.Term != l.term {
		// The lender has written off the tokens of the term before.
		l.term, l.granted, l.spent, l.returned, l.reserved = g.Term, 0, 0, 0, 0
	}
	added := max(0, g.Granted-l.granted)
	l.granted += added
	if e := asked.Add(tokenLifetime); e.After(l.expires) {
		l.expires = e
	}
	l.expire(now)
	return added
}
