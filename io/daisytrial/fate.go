// Package daisytrial drives bounded load at entry VMs as callers do, and keeps a
// ledger of what became of each request.
package daisytrial

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// Stream is one kind of work at a steady rate.
type Stream struct {
	Service daisyservice.ID
	Rank    daisyrank.Name
	// Method is the HTTP method; POST stands for work that must run at most once.
	Method string
	// Rate is the mean number of requests a second; arrivals are Poisson.
	Rate float64
	// BodySize is the size of a request's body in bytes.
	BodySize int
}

// Call is one request of a stream.
type Call struct {
	Stream Stream
	Key    string
}

// Fate is what became of a call, as its caller saw it. It is one of Served,
// Refused, Failed, Cut, MixedUp and NoAnswer.
type Fate interface{ fate() }

// Served says that the whole answer of an endpoint came back.
type Served struct {
	Status int
	Took   time.Duration
}

// Refused says that the system promised that the request was not run.
type Refused struct{ Status int }

// Failed says that the system could not tell whether the request was run.
type Failed struct{ Status int }

// Cut says that an answer broke off after its header.
type Cut struct {
	Cause error
	Span  Span
}

// MixedUp says that the answer was to another request.
type MixedUp struct{ Got string }

// NoAnswer says that no answer began.
type NoAnswer struct {
	Cause error
	Span  Span
}

// Span is where and when a call was under way.
type Span struct {
	// VM is the last one that it was sent to.
	VM       netip.AddrPort
	From, To time.Time
}

// Outage is a fault that a trial brought about and that breaks calls off by its
// nature. It covers what was under way at a VM, or answers cut by any VM when VM is
// the zero value.
type Outage struct {
	VM       netip.AddrPort
	From, To time.Time
}

func (o Outage) covers(s Span) bool {
	return (o.VM == s.VM || !o.VM.IsValid()) && !s.To.Before(o.From) && !s.From.After(o.To)
}

func (Served) fate()   {}
func (Refused) fate()  {}
func (Failed) fate()   {}
func (Cut) fate()      {}
func (MixedUp) fate()  {}
func (NoAnswer) fate() {}
