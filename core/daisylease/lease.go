// Package daisylease decides on leases that VMs take on rows of the platform's table.
//
// A lease is one row. Every write of it, be it to acquire, renew, annotate or
// release, is a compare-and-swap on the version that the writer last knew. That
// version is the fencing token: once somebody else has taken the lease, each
// write of an earlier holder is refused, however long that holder was paused.
//
// No VM compares its clock with another's. A contender takes a lease over when
// the row has kept one version for the whole life of the lease by the contender's
// own clock; the holder counts its life from before its last successful write
// began, and gives the lease up a little earlier.
package daisylease

import (
	"time"

	"daisyyoke/core/daisyvm"
)

// Name names a lease, in kebab case.
type Name string

// Token is the fencing token: the version of the lease's row.
type Token uint64

// Record is what the row of a lease holds.
type Record struct {
	// Holder is empty while the lease is free.
	Holder      daisyvm.Name
	Incarnation daisyvm.Incarnation
	// Serial numbers the writes of one incarnation of the holder, so that it
	// recognises a write whose reply was lost.
	Serial uint64
	// Life is how long the lease lasts after its last write.
	Life time.Duration
	// Note is what the holder has to say under the lease.
	Note string
}

const (
	// Life is how long a lease lasts without being renewed.
	Life = 15 * time.Second
	// renewals is how often a lease is renewed in its life.
	renewals = 3
	// driftShare is the share of a lease's life by which clocks may drift apart.
	driftShare = 0.1
	// pollInterval is the time between two reads of a contender.
	pollInterval = 2 * time.Second
	// retryInterval is the wait after an operation of the platform that failed.
	retryInterval = 500 * time.Millisecond
)

// safeLife is the part of a life for which its holder relies on it.
func safeLife(life time.Duration) time.Duration {
	return time.Duration(float64(life) * (1 - driftShare))
}
