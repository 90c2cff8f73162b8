package daisyquota

import (
	"math"
	"slices"
	"time"

	"daisyyoke/core/daisyrate"
	"daisyyoke/core/daisyvm"
)

const (
	// answerTime is how long a request waits for the answer of a lender before it tries the
	// next one. It is a few round trips of up to 8 ms, and some time for a VM with a part of a
	// core, which may not run for tens of milliseconds.
	answerTime = 50 * time.Millisecond
	// slowTime is how long a coordinator is silent until requests that the standby has no
	// tokens for no longer wait for it.
	slowTime = 4 * answerTime
	// silenceTime is how long the coordinator has to be silent before this VM uses its own
	// share. By then the others have noticed that they do not hear this VM, and leave it.
	silenceTime = 2250 * time.Millisecond
	// minUnanswered is the number of requests without an answer that this takes, since a single
	// one may have been lost.
	minUnanswered = 3
	// demandTime is the time over which arrivals are averaged, and aheadTime that for which
	// tokens are requested in advance.
	demandTime = 2 * time.Second
	aheadTime  = 2 * time.Second
	// minAhead and maxAhead limit the tokens requested in advance.
	minAhead = 2
	// maxExcess is the number of tokens beyond twice the target that are kept until they expire.
	maxExcess = 3
	maxAhead  = 256
	// aheadInterval is the time between two requests for tokens in advance.
	aheadInterval = time.Second
	// minBlock and maxBlock limit the time for which requests are refused without asking, once
	// the lender had no tokens.
	minBlock = 50 * time.Millisecond
	maxBlock = 250 * time.Millisecond
	// limitedTime is how long no request has to be refused until an account counts as no
	// longer limited.
	limitedTime = 5 * time.Second
)

// borrower is what a VM keeps of an account for its own requests.
type borrower struct {
	account Key
	// lines are those with the present lenders and, until their tokens have expired, with
	// earlier ones.
	lines []*line
	// waiting are the requests that wait, in the order of their arrival.
	waiting []waiter
	// demand is the average number of arrivals per second at demandAt.
	demand   float64
	demandAt time.Time
	// silentSince is when the first request without an answer was sent to the coordinator, and
	// declined whether it has answered that it is none. unanswered is the number of requests
	// since then.
	silentSince time.Time
	unanswered  int
	declined    bool
	// blockedUntil is until when requests are refused without asking, and availableAt when
	// callers are told to come back.
	blockedUntil, availableAt time.Time
	// share is this VM's own share of the rate, for when there is no lender.
	share daisyrate.Bucket
	// limited reports whether requests were refused since refusedAt less limitedTime.
	limited   bool
	refusedAt time.Time
	refused   int
	// roles are those of the view with this version.
	roles   roles
	version int
}

// waiter is a request that waits for a token.
type waiter struct {
	id RequestID
	// late reports whether it has waited for answerTime.
	late bool
}

func (b *borrower) countArrival(now time.Time) {
	b.demand = b.demandNow(now) + 1/demandTime.Seconds()
	b.demandAt = now
}

func (b *borrower) demandNow(now time.Time) float64 {
	return b.demand * math.Exp(-now.Sub(b.demandAt).Seconds()/demandTime.Seconds())
}

// target returns how many tokens to hold in advance. Fewer than minAhead save no messages.
func (b *borrower) target(now time.Time) int64 {
	if n := min(maxAhead, b.demandNow(now)*aheadTime.Seconds()); n >= minAhead {
		return int64(n)
	}
	return 0
}

// line returns the line with a lender.
func (b *borrower) line(lender daisyvm.Name) *line {
	if l := b.find(lender); l != nil {
		return l
	}
	l := &line{lender: lender}
	b.lines = append(b.lines, l)
	return l
}

func (b *borrower) find(lender daisyvm.Name) *line {
	for _, l := range b.lines {
		if l.lender == lender {
			return l
		}
	}
	return nil
}

// take uses a token, from the line that expires first.
func (b *borrower) take(now time.Time) (Token, bool) {
	var best *line
	for _, l := range b.lines {
		if l.free(now) > 0 && (best == nil || l.expires.Before(best.expires)) {
			best = l
		}
	}
	if best == nil {
		return Token{}, false
	}
	best.reserved++
	return Token{Account: b.account, term: best.term, valid: true}, true
}

func (b *borrower) free(now time.Time) int64 {
	var free int64
	for _, l := range b.lines {
		free += max(0, l.free(now))
	}
	return free
}

// lineOf returns the line that a token is of; nil if its term has ended.
func (b *borrower) lineOf(t Token) *line {
	for _, l := range b.lines {
		if t.term != 0 && l.term == t.term {
			return l
		}
	}
	return nil
}

// silent reports whether the coordinator has not answered in time.
func (b *borrower) silent(now time.Time) bool {
	return !b.silentSince.IsZero() && now.Sub(b.silentSince) >= answerTime
}

// mayUseShare reports whether this VM may use its own share.
func (b *borrower) mayUseShare(now time.Time) bool {
	return b.declined || b.unanswered >= minUnanswered && now.Sub(b.silentSince) >= silenceTime
}

// forgetLines drops the lines with earlier lenders that have nothing left.
func (b *borrower) forgetLines(now time.Time) {
	b.lines = slices.DeleteFunc(b.lines, func(l *line) bool {
		return l.lender != b.roles.coordinator && l.idle(now)
	})
}

// block refuses requests without asking, until the lender may have tokens again.
func (b *borrower) block(now time.Time, next time.Duration) {
	b.blockedUntil = now.Add(min(max(next, minBlock), maxBlock))
	b.availableAt = now.Add(max(next, minBlock))
}

// retryAfter returns when callers should come back.
func (b *borrower) retryAfter(now time.Time) time.Duration {
	return max(b.availableAt.Sub(now), b.blockedUntil.Sub(now), minBlock)
}
