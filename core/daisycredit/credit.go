// Package daisycredit shares the slots of a service's endpoints among VMs.
//
// One VM, which rendezvous hashing selects among the live VMs, owns the slots of
// a service. It lends slot credits to the VMs with demand, the most urgent demand
// first. When credits are lent in advance and no requests wait, it also lends spare
// credits to VMs without demand. All counts in messages are cumulative, so that lost,
// duplicated and reordered messages do no harm: the credits that a VM holds at an
// endpoint are those that it claimed when the term began, plus those that the owner
// has granted since, minus those that it has returned.
package daisycredit

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Term identifies a lending session between an owner and one borrower. The zero
// Term in a Report asks the owner to begin a session.
type Term struct {
	Owner       daisyvm.Name
	Incarnation daisyvm.Incarnation
	// Number only increases within an incarnation of the owner.
	Number uint64
}

// after reports whether t began after u, which has to be a term with the same owner.
func (t Term) after(u Term) bool {
	if t.Incarnation != u.Incarnation {
		return t.Incarnation > u.Incarnation
	}
	return t.Number > u.Number
}

// Held is the state of a borrower at one endpoint.
type Held struct {
	Endpoint netip.AddrPort
	// Claimed is the number of credits that the borrower held when the term began.
	Claimed uint32
	// Returned is the number of credits returned in this term.
	Returned uint64
	// InFlight is the number of attempts in flight.
	InFlight uint32
	// Shed is the number of attempts that the endpoint refused in this term because of its load.
	Shed uint64
	// Restricted reports whether the borrower sends only trials or nothing to the
	// endpoint, because it is ejected, draining, evacuated or removed.
	Restricted bool
	// RateLimit is the rate limit that the endpoint named in its latest answer to the
	// borrower, and Answers the number of these answers, from which the owner tells
	// whether it is news.
	RateLimit daisyendpoint.RateLimit
	Answers   uint64
	// ColdFor is how long the endpoint stays cold as known to the borrower; 0 if it is not cold.
	ColdFor time.Duration
}

// Demand is the demand of a borrower for slots for one rank.
type Demand struct {
	// Waiting is the number of requests that wait for a slot.
	Waiting uint32
	// InFlight is the number of attempts in flight.
	InFlight uint32
}

// Report is a message from a borrower to the owner.
type Report struct {
	Service daisyservice.ID
	// Zone is the availability zone whose endpoints the message is about; the zero value
	// means all endpoints of the service.
	Zone daisyfleet.ZoneID
	Term Term
	// Sequence is the number of the report, or 0 if it only acknowledges.
	Sequence uint64
	// Acknowledged is the sequence number of the latest Grant that arrived.
	Acknowledged uint64
	// Held has the endpoints whose state changed since the latest acknowledged report.
	Held []Held
	// Demand has one entry for each rank, the most urgent first.
	Demand []Demand
	// Rate is the rate of requests per second of the borrower for the whole service, and
	// Division the division that it follows. Only reports to the owner of the whole
	// service have them.
	Rate     float64
	Division Division
}

// Granted is the state of the credits lent to one borrower at one endpoint.
type Granted struct {
	Endpoint netip.AddrPort
	// Granted is the number of credits granted in this term.
	Granted uint64
	// Recalled is the number of credits that the borrower has to return in this term
	// as soon as its attempts finish, regardless of its Target.
	Recalled uint64
	// RateLimit is the rate limit of the endpoint as known to the owner; nil if unknown.
	RateLimit daisyendpoint.RateLimit
	// ColdFor is how long the endpoint stays cold as known to the owner; 0 if it is not cold.
	ColdFor time.Duration
}

// Grant is a message from the owner to a borrower.
type Grant struct {
	Service daisyservice.ID
	// Zone is as in Report.
	Zone daisyfleet.ZoneID
	Term Term
	// Sequence is the number of the grant, or 0 if it only acknowledges.
	Sequence uint64
	// Acknowledged is the sequence number of the latest Report that arrived.
	Acknowledged uint64
	// Granted has the endpoints whose credits changed since the latest acknowledged grant.
	Granted []Granted
	// Target is the number of credits to which the borrower should reduce its holdings
	// as its attempts finish.
	Target uint32
	// Division is what the owner of the whole service states in numbered grants.
	Division Division
}
