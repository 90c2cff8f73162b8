// Package daisyrequest describes callers' requests, the outcomes of the attempts to
// send them to endpoints, and the failures that callers get instead of a response.
package daisyrequest

import (
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// ID identifies a request within the process that accepted it.
type ID uint64

// Name is the caller's own identifier for one try of a request. It is the same on
// every VM, and empty if the caller gives none.
type Name string

// AttemptID identifies one attempt to send a request to an endpoint, within the process.
type AttemptID uint64

// Request contains the properties of a caller's request that routing depends on.
type Request struct {
	ID ID
	// Name is used in logs only.
	Name    Name
	Service daisyservice.ID
	// Rank is a rank of the configuration that the request was matched with, which need
	// not be the one in force any more.
	Rank     daisyrank.Name
	Arrived  time.Time
	Deadline time.Time
	// Account is the client account whose key the request has; empty if it needs none.
	Account daisyaccount.Name
	// Idempotent means that running the request twice has the same effect as
	// running it once (RFC 9110, 9.2.2).
	Idempotent bool
	// Hedgeable means that the request is idempotent and has no body, so that two
	// attempts may run at the same time.
	Hedgeable bool
	// Attempts is the maximum number of attempts that an endpoint may have run. The
	// dispatcher's own limit on all attempts applies too; 0 means only that limit.
	Attempts int
	// Fingerprint identifies requests that are the same as this one. Its Body is 0 if the
	// body is not known yet.
	Fingerprint Fingerprint
	// Target is the time from which a response no longer has its full worth; the
	// zero time means the deadline.
	Target time.Time
}
