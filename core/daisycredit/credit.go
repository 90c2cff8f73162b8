// Package daisycredit shares the slots of a service's endpoints between VMs.
//
// One VM owns the slots of a service: the one that rendezvous hashing picks
// among the live VMs. It lends slot credits to the VMs with demand, the most
// urgent demand first. All counts are cumulative, so that lost, doubled and
// reordered messages do no harm: the credits a VM holds at an endpoint are what
// it claimed when the term began, and what the owner has granted it since, less
// what it has returned.
package daisycredit

import (
	"net/netip"

	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Term is one spell of dealings between an owner and one borrower. The zero
// Term in a Report asks the owner to begin one.
type Term struct {
	Owner       daisyvm.Name
	Incarnation daisyvm.Incarnation
	// Takeover numbers the terms of an incarnation of the owner; it only goes up.
	Takeover uint64
}

// after reports whether t began after u, a term with the same owner.
func (t Term) after(u Term) bool {
	if t.Incarnation != u.Incarnation {
		return t.Incarnation > u.Incarnation
	}
	return t.Takeover > u.Takeover
}

// Held is what a borrower has at one endpoint.
type Held struct {
	Endpoint netip.AddrPort
	// Claimed counts the credits it had when the term began.
	Claimed uint32
	// Returned counts all credits returned in this term.
	Returned uint64
	// InFlight counts the attempts under way.
	InFlight uint32
	// Shed counts all attempts that the endpoint refused in this term.
	Shed uint64
	// Broken says that the borrower keeps work away from the endpoint.
	Broken bool
}

// Demand is what a borrower needs for one rank.
type Demand struct {
	// Waiting counts the requests that wait for a slot.
	Waiting uint32
	// InFlight counts the attempts under way.
	InFlight uint32
}

// Report goes from a borrower to the owner.
type Report struct {
	Service daisyservice.ID
	Term    Term
	// Sequence numbers the reports; it is 0 on one that only acknowledges.
	Sequence uint64
	// Acknowledged is the sequence of the latest Grant that arrived.
	Acknowledged uint64
	// Held has the endpoints that changed since the latest acknowledged report.
	Held []Held
	// Demand has one entry for each rank, the most urgent first.
	Demand []Demand
}

// Granted is what the owner has lent to one borrower at one endpoint.
type Granted struct {
	Endpoint netip.AddrPort
	// Granted counts all credits granted in this term.
	Granted uint64
	// Recalled counts all credits that the borrower has to return in this term,
	// as soon as its attempts allow, whatever its Target.
	Recalled uint64
}

// Grant goes from the owner to a borrower.
type Grant struct {
	Service daisyservice.ID
	Term    Term
	// Sequence numbers the grants; it is 0 on one that only acknowledges.
	Sequence uint64
	// Acknowledged is the sequence of the latest Report that arrived.
	Acknowledged uint64
	// Granted has the endpoints that changed since the latest acknowledged grant.
	Granted []Granted
	// Target is how many credits the borrower should come down to as its attempts finish.
	Target uint32
}
