// Package daisybudget bounds the sends that retries and hedges add.
//
// In the ten seconds before any extra send, that send included, the extra sends
// are at most a tenth of the first sends; and in the second before it at most a
// fifth, so that ten seconds of allowance are never spent at once. Hedges may use
// 90% of either allowance less what retries have used, so that hedges make way
// while retries are needed. Where the allowance is smaller than the reserve, retries
// may use the reserve.
package daisybudget

import "time"

const (
	longWindow  = 10 * time.Second
	shortWindow = time.Second
	longShare   = 0.1
	shortShare  = 0.2
	hedgePart   = 0.9
	reserve     = 3
)

// Extra is a further send of a request. It is one of Retry and Hedge.
type Extra interface{ extra() }

// Retry is a send after a send that failed.
type Retry struct{}

// Hedge is a send beside one that is slow to answer.
type Hedge struct{}

func (Retry) extra() {}
func (Hedge) extra() {}

// Budget counts sends and decides on extra ones. The time given to its methods must not go back.
type Budget struct {
	long, short window
}

// New gives a budget without sends.
func New() *Budget {
	return &Budget{
		long:  window{length: longWindow, share: longShare},
		short: window{length: shortWindow, share: shortShare},
	}
}

// First counts the first send of a request.
func (b *Budget) First(now time.Time) {
	b.long.advance(now)
	b.short.advance(now)
	b.long.addFirst()
	b.short.addFirst()
}

// Take counts an extra send and reports true, or reports false when the budget allows none now.
func (b *Budget) Take(now time.Time, extra Extra) bool {
	if !b.Allows(now, extra) {
		return false
	}
	b.long.add(extra)
	b.short.add(extra)
	return true
}

// Allows reports whether Take would allow an extra send now, and counts nothing.
func (b *Budget) Allows(now time.Time, extra Extra) bool {
	b.long.advance(now)
	b.short.advance(now)
	return b.long.allows(extra) && b.short.allows(extra)
}
