// Package daisytrial drives bounded load at entry VMs as callers do, and keeps a
// ledger of what became of each request.
package daisytrial

import (
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
type Cut struct{ Cause error }

// MixedUp says that the answer was to another request.
type MixedUp struct{ Got string }

// NoAnswer says that no answer began.
type NoAnswer struct{ Cause error }

func (Served) fate()   {}
func (Refused) fate()  {}
func (Failed) fate()   {}
func (Cut) fate()      {}
func (MixedUp) fate()  {}
func (NoAnswer) fate() {}
