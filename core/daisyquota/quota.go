// Package daisyquota keeps the requests of a client account at all VMs together within the
// quota of the account, without agreement between the VMs and without a call to the store.
//
// One VM coordinates an account and lends tokens to the others, one for each request.
// Tokens that are lent stay in the coordinator's count until the borrower reports that they
// are spent, so that the bound does not depend on when they are used.
package daisyquota

import (
	"cmp"
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyfleet"
)

// Key identifies an account among those of all fleets.
type Key struct {
	Fleet   daisyfleet.Name
	Account daisyaccount.Name
}

// ownerKey returns the key by which the coordinator of the account is chosen.
func (k Key) ownerKey() string { return "account " + string(k.Fleet) + "/" + string(k.Account) }

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Fleet, b.Fleet), cmp.Compare(a.Account, b.Account))
}

// Bounds limits by how much the VMs together may exceed quotas: in any Window, an account
// may have the requests of its quota times 1 + Overage, and Slack more.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// DefaultBounds apply where the settings name none.
var DefaultBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

const (
	// aheadShare is the part of the allowance that adds to the burst of a coordinator's
	// bucket, for tokens that are lent in advance.
	aheadShare = 0.4
	// standbyShare is the part that a standby may lend at once, and again in each window. The
	// rest covers the time for which VMs disagree on the coordinator.
	standbyShare = 0.2
	// tokenLifetime is how long a token may be used, from when it was requested. It is less
	// than the usual window, in which a lowered quota has to take effect.
	tokenLifetime = 4 * time.Second
	// loanTime is how long the coordinator counts tokens whose borrower is silent. It starts
	// later than tokenLifetime, and clocks drift by up to 1 in 1,000.
	loanTime = tokenLifetime + tokenLifetime/100
	// pauseThreshold is the time between two events after which a VM was itself paused, and
	// may have been replaced as a coordinator. Others do so after 2 s.
	pauseThreshold = time.Second
	// savedTime is how long a single token is saved where a VM's share does not amount to
	// more: otherwise all VMs could use what they saved in the same window.
	savedTime = time.Second
)

// allowance returns the number of requests in a window beyond the rate and the burst.
func (b Bounds) allowance(q daisyaccount.Quota) float64 {
	return b.Overage*(q.PerSecond*b.Window.Seconds()+q.Burst) + b.Slack
}

// Limit returns the number of requests that an account may have in one window.
func (b Bounds) Limit(q daisyaccount.Quota) float64 {
	return q.PerSecond*b.Window.Seconds() + q.Burst + b.allowance(q)
}

// Term numbers the loans of a coordinator to one borrower. It differs between starts of
// the same VM; 0 means none.
type Term uint64

// Request asks for tokens of an account and reports what became of the earlier ones.
type Request struct {
	Account  Key
	Term     Term
	Sequence uint64
	// Spent and Returned count the tokens of the term that were used for a request, and
	// that will not be.
	Spent, Returned int64
	// Waiting is the number of requests that wait for a token, and Ahead the number of
	// further tokens that would soon be used.
	Waiting, Ahead uint32
	// Standby reports whether the coordinator does not answer the borrower.
	Standby bool
	// VMs is the number of VMs that the borrower knows, with those that fell silent lately. A
	// coordinator that has started since may not know these.
	VMs uint32
}

// Grant is the answer to a Request.
type Grant struct {
	Account  Key
	Term     Term
	Sequence uint64
	// Granted counts the tokens lent in the term.
	Granted int64
	// Next is when the borrower may expect a token if it got none.
	Next time.Duration
	// Declined reports whether the sender does not coordinate the account, or does not know
	// it.
	Declined bool
}

// Token is the right to send one request of an account.
type Token struct {
	Account Key
	// term is that of the loan; 0 for a token that nobody lent.
	term Term
	// valid tells a token from the zero value, which stands for a request without a limit.
	valid bool
}
