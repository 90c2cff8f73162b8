// Package daisyendpoint describes endpoints and the load that they report.
package daisyendpoint

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyfleet"
)

// Endpoint is one server of a service, as declared in the intent.
type Endpoint struct {
	Address netip.AddrPort
	Zone    daisyfleet.ZoneID
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots int
	// Connections is the number of connections that the endpoint accepts from all
	// VMs together; 0 means that no limit is declared.
	Connections int
	// Draining means that the endpoint gets no new requests, because an operator or
	// the endpoint itself asked for that.
	Draining bool
	// Instance identifies the incarnation at the address; empty if the endpoints
	// declare none.
	Instance Instance
	// Started is the time at which the endpoint started by its own clock, in
	// milliseconds since 1970; 0 if unknown.
	Started int64
	// Evacuated means that the endpoint gets nothing new while operators keep its
	// availability zone evacuated.
	Evacuated bool
	// ColdFor is how long the endpoint stayed cold after it said so in its declaration; 0
	// if it was not cold.
	ColdFor time.Duration
}

// Instance identifies one incarnation of an endpoint, from its start to its stop.
type Instance string

// SameIncarnation reports whether two declarations refer to the same incarnation
// of the endpoint: it has not restarted between them.
func (e Endpoint) SameIncarnation(o Endpoint) bool {
	return e.Instance == o.Instance && e.Started == o.Started
}

// SameDeclaration reports whether two declarations agree in all but ColdFor, which counts
// down while nothing else changes.
func (e Endpoint) SameDeclaration(o Endpoint) bool {
	e.ColdFor = o.ColdFor
	return e == o
}

// Identity names one incarnation of the endpoint at an address.
type Identity struct {
	Address  netip.AddrPort
	Instance Instance
	// Started is as in Endpoint.
	Started int64
}

// Identity returns the identity of the declared incarnation.
func (e Endpoint) Identity() Identity {
	return Identity{Address: e.Address, Instance: e.Instance, Started: e.Started}
}

// Declared reports whether the incarnation can be told from others at its address.
func (i Identity) Declared() bool { return i.Instance != "" || i.Started != 0 }

// ConnectionShare returns how many connections each of vms VMs may hold to the
// endpoint: an even share of its limit, but at least its number of slots. It
// returns 0 if no limit is declared.
func (e Endpoint) ConnectionShare(vms int) int {
	if e.Connections == 0 {
		return 0
	}
	return max(e.Connections/max(vms, 1), e.Slots)
}

// Report is an endpoint's report of its own load. It may be outdated or wrong.
type Report struct {
	// At is the time at which the report arrived, not at which the endpoint made it.
	At       time.Time
	InFlight int
	// Waiting is the number of requests in the endpoint's own queue.
	Waiting  int
	Slots    int
	Draining bool
	// Slowdown is the current service time as a multiple of the usual one; 0 means
	// unknown, 1 means as usual.
	Slowdown float64
	// RateLimit is the rate limit that the endpoint named; nil means unknown.
	RateLimit RateLimit
	// ColdFor is how long the endpoint stays cold; 0 if it is not cold, or does not say.
	ColdFor time.Duration
}
