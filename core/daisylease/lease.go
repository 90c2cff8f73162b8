// Package daisylease implements leases that VMs hold on rows of the platform's table.
//
// A lease is one row. Each write of the row, whether to acquire, renew, annotate or
// release the lease, is a compare-and-swap on the version that the writer last knew.
// That version is the fencing token: after another VM has taken the lease, every write
// of an earlier holder is refused, however long that holder was paused.
//
// No VM compares its clock with that of another. A contender takes a lease over once
// the row has kept the same version for the whole duration of the lease on the
// contender's own clock, or a whole lease after it noticed that the platform was restored
// from a backup, since the row may lack the claim of a live holder. The holder counts the duration from before its last successful
// write began, and gives the lease up a little earlier.
package daisylease

import (
	"time"

	"daisyyoke/core/daisyvm"
)

// Name identifies a lease, in kebab case.
type Name string

// Token is the fencing token: the version of the lease's row.
type Token uint64

// Era is the number of times that the platform was restored from a backup. In a later era
// the row may be an older one, with a lower token.
type Era uint64

// Record is the content of a lease's row.
type Record struct {
	// Holder is empty while the lease is free.
	Holder      daisyvm.Name
	Incarnation daisyvm.Incarnation
	// Serial identifies a write among those of one incarnation of the holder, so that the
	// holder can recognize a write whose reply was lost. Each claim starts at a random
	// number.
	Serial uint64
	// TTL is how long the lease lasts after its last write.
	TTL time.Duration
	// Note is text that the holder stores with the lease.
	Note string
}

const (
	// TTL is how long a lease lasts without being renewed.
	TTL = 15 * time.Second
	// renewalsPerTTL is how often a lease is renewed within its TTL.
	renewalsPerTTL = 3
	// maxClockDrift is the fraction of a lease's TTL by which clocks may drift apart.
	maxClockDrift = 0.1
	// pollInterval is the mean time between two reads by a contender.
	pollInterval = 2 * time.Second
	// retryInterval is the delay before an operation that failed is tried again.
	retryInterval = 500 * time.Millisecond
)

// holderTTL returns the part of a TTL during which the holder relies on the lease.
func holderTTL(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl) * (1 - maxClockDrift))
}
