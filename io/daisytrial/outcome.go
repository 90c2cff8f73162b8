// Package daisytrial sends load to entry VMs as callers do, records the outcome of every
// request, and audits the outcomes against what the endpoints ran.
package daisytrial

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// Stream is a load of requests of one kind at a constant mean rate.
type Stream struct {
	Service daisyservice.ID
	Rank    daisyrank.Name
	// Method is the HTTP method; POST marks requests that must run at most once.
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

// Outcome is the outcome of a call, as its caller saw it. It is one of Served, Refused,
// Failed, Truncated, Mismatched and NoResponse.
type Outcome interface{ outcome() }

// Served means that a complete response of an endpoint was received.
type Served struct {
	Status   int
	Duration time.Duration
}

// Refused means that the response guaranteed that the request was not run.
type Refused struct{ Status int }

// Failed means that the response left it open whether the request was run.
type Failed struct{ Status int }

// Truncated means that a response was broken off after its header.
type Truncated struct {
	Cause error
	Span  Span
}

// Mismatched means that the response does not carry the key of the request. Key is the
// key in the response, empty if it has none.
type Mismatched struct{ Key string }

// NoResponse means that no response header was received.
type NoResponse struct {
	Cause error
	Span  Span
}

// Span is the VM that handled a call and the time during which it did.
type Span struct {
	// VM is the last VM that the call was sent to.
	VM       netip.AddrPort
	From, To time.Time
}

// Outage is an injected fault that is expected to break off calls. It covers the calls
// in flight at a VM; if VM is the zero value, it covers those in flight at any VM.
type Outage struct {
	VM       netip.AddrPort
	From, To time.Time
}

func (o Outage) covers(s Span) bool {
	return (o.VM == s.VM || !o.VM.IsValid()) && !s.To.Before(o.From) && !s.From.After(o.To)
}

func (Served) outcome()     {}
func (Refused) outcome()    {}
func (Failed) outcome()     {}
func (Truncated) outcome()  {}
func (Mismatched) outcome() {}
func (NoResponse) outcome() {}
