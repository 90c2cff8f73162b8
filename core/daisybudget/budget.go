// Package daisybudget limits the extra sends that retries and hedges cause.
//
// In the ten seconds before any extra send, including that send, the extra sends are at
// most a tenth of the first sends. In the second before it they are at most a fifth, so
// that the allowance of ten seconds is never spent at once. A hedge is sent only if the
// hedges and twice the retries then are at most 90% of each allowance, so that hedges
// stop while retries need the allowance. Where the allowance is smaller than the
// reserve, retries may use the reserve.
package daisybudget

import "time"

const (
	longWindow = 10 * time.Second
	// shortWindowDivisor is the length of the long window divided by that of the short one.
	shortWindowDivisor = 10
	// shortReserveFactor multiplies the reserves in the short window, and shortShareFactor
	// the share.
	shortReserveFactor = 0.5
	shortShareFactor   = 2
)

// Limits bound the extra sends.
type Limits struct {
	// Window is the period that Share and Reserve apply to. New uses it; SetLimits
	// ignores it.
	Window time.Duration
	// Share is the allowed ratio of extra sends to first sends in the window.
	Share float64
	// Reserve is the number of retries allowed whatever the number of first sends.
	Reserve float64
	// HedgeFraction bounds hedges: one is sent only if the hedges, including it, plus twice
	// the retries are then at most HedgeFraction times the allowance, or times HedgeReserve
	// if that is more.
	HedgeFraction float64
	// HedgeReserve takes the place of the allowance for hedges where the allowance is smaller.
	HedgeReserve float64
}

// DefaultLimits returns the limits in the package comment.
func DefaultLimits() Limits {
	return Limits{Window: longWindow, Share: 0.1, Reserve: 3, HedgeFraction: 0.9}
}

// short returns the limits for the short window.
func (l Limits) short() Limits {
	l.Share *= shortShareFactor
	l.Reserve = max(shortReserveFactor*l.Reserve, min(l.Reserve, minShortReserve))
	l.HedgeReserve *= shortReserveFactor
	return l
}

// minShortReserve is the size up to which a reserve is not reduced for the short window.
const minShortReserve = 3

// Extra is a kind of extra send of a request. It is one of Retry and Hedge.
type Extra interface{ extra() }

// Retry is a send after a failed one.
type Retry struct{}

// Hedge is a send in parallel with one that is slow to answer.
type Hedge struct{}

func (Retry) extra() {}
func (Hedge) extra() {}

// Budget counts sends and decides on extra ones. The times passed to its methods must not decrease.
type Budget struct {
	long, short window
}

// New returns a budget without sends. The default window is ten seconds.
func New(limits Limits) *Budget {
	if limits.Window <= 0 {
		limits.Window = longWindow
	}
	return &Budget{
		long:  window{length: limits.Window, limits: limits},
		short: window{length: limits.Window / shortWindowDivisor, limits: limits.short()},
	}
}

// SetLimits changes the limits and keeps the counts of earlier sends.
func (b *Budget) SetLimits(limits Limits) {
	b.long.limits = limits
	b.short.limits = limits.short()
}

// First counts the first send of a request.
func (b *Budget) First(now time.Time) {
	b.long.advance(now)
	b.short.advance(now)
	b.long.addFirst()
	b.short.addFirst()
}

// Take counts an extra send and reports whether the budget allows it. It counts nothing if not.
func (b *Budget) Take(now time.Time, extra Extra) bool {
	if !b.Allows(now, extra) {
		return false
	}
	b.long.add(extra)
	b.short.add(extra)
	return true
}

// Allows reports whether Take would allow an extra send now. It counts nothing.
func (b *Budget) Allows(now time.Time, extra Extra) bool {
	b.long.advance(now)
	b.short.advance(now)
	return b.long.allows(extra) && b.short.allows(extra)
}
