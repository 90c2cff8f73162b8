package daisyplan

import (
	"time"

	"daisyyoke/core/daisyconfig"
)

// State is the state of a plan. It is one of Open, Confirming, Confirmed,
// Discarded, Expired and Superseded.
type State interface{ state() }

// Open is the State of a plan that an operator can confirm or discard.
type Open struct{}

// Confirming is the State of a plan whose confirmation has begun and whose result
// has not been recorded. Confirming the plan again determines the result.
type Confirming struct {
	By string
	At time.Time
}

// Confirmed is the State of a plan that has become a revision.
type Confirmed struct {
	Revision daisyconfig.Revision
	By       string
	At       time.Time
}

// Discarded is the State of a plan that an operator has rejected.
type Discarded struct {
	By string
	At time.Time
}

// Expired is the State of a plan that was not confirmed within its Lifetime.
type Expired struct{}

// Superseded is the State of a plan whose base was followed by the revision of
// another plan.
type Superseded struct {
	Revision daisyconfig.Revision
	By       string
}

func (Open) state()       {}
func (Confirming) state() {}
func (Confirmed) state()  {}
func (Discarded) state()  {}
func (Expired) state()    {}
func (Superseded) state() {}

// StateName returns the name of a state in kebab case.
func StateName(state State) string {
	switch state.(type) {
	case Open:
		return "open"
	case Confirming:
		return "confirming"
	case Confirmed:
		return "confirmed"
	case Discarded:
		return "discarded"
	case Expired:
		return "expired"
	case Superseded:
		return "superseded"
	}
	return "unknown"
}

// Successor describes the configurations confirmed after a plan's base, if any.
type Successor struct {
	// Head is the head of the newest known configuration.
	Head daisyconfig.Head
	// Next is the head of the revision that directly follows the plan's base. It
	// is the zero Head while the base is the newest revision.
	Next daisyconfig.Head
}

// CurrentState returns the state of a plan at the given time, derived from its
// stored record and from the revision that followed its base.
//
// A plan that became the successor is Confirmed whatever its record says, because the
// record can lag. Otherwise a final state in the record stands, and an open or
// confirming plan is Superseded if its base has a successor, else Expired once Expires
// has come.
func CurrentState(record Record, successor Successor, now time.Time) State {
	if successor.Next.Revision != 0 && successor.Next.PlanID == string(record.ID) {
		return Confirmed{
			Revision: successor.Next.Revision,
			By:       successor.Next.ConfirmedBy,
			At:       successor.Next.ConfirmedAt,
		}
	}
	switch s := record.State.(type) {
	case Confirmed, Discarded:
		return s
	case Open, Confirming:
		if successor.Next.Revision != 0 {
			return Superseded{Revision: successor.Next.Revision, By: successor.Next.ConfirmedBy}
		}
		if !now.Before(record.Expires) {
			return Expired{}
		}
		return s
	case Expired, Superseded:
		return s
	}
	return record.State
}
