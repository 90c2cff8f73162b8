package daisyplan

import (
	"time"

	"daisyyoke/core/daisyconfig"
)

// State is where a plan stands. It is one of Open, Confirming, Confirmed,
// Discarded, Expired and Superseded.
type State interface{ state() }

// Open says that the plan waits for an operator.
type Open struct{}

// Confirming says that a confirmation has begun and its result has not been
// recorded. Confirming it again finds out the result.
type Confirming struct {
	By string
	At time.Time
}

// Confirmed says that the plan became a revision.
type Confirmed struct {
	Revision daisyconfig.Revision
	By       string
	At       time.Time
}

// Discarded says that an operator does not want the plan.
type Discarded struct {
	By string
	At time.Time
}

// Expired says that nobody confirmed the plan in time.
type Expired struct{}

// Superseded says that another plan was confirmed first.
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

// StateName gives the name of a state in kebab case.
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

// Successor is the configuration that followed a plan's base, if one did.
type Successor struct {
	// Head names the newest known configuration.
	Head daisyconfig.Head
	// Next names the configuration of the revision after the plan's base; it is
	// the zero Head while the base is still the newest.
	Next daisyconfig.Head
}

// Judge gives the state of a plan at a time, from its record and from what followed its base.
func Judge(record Record, successor Successor, now time.Time) State {
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
