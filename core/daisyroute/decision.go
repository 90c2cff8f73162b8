package daisyroute

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyvm"
)

// Decision is something for the holder of a Dispatcher to do. It is one of Send,
// Deliver, Fail, Cancel, Tell, Probe, EndpointChanged and LendingChanged. Each request ends with exactly one Deliver
// or Fail unless it is abandoned.
type Decision interface{ decision() }

// Send starts an attempt at an endpoint.
type Send struct {
	Request  daisyrequest.ID
	Attempt  daisyrequest.AttemptID
	Endpoint netip.AddrPort
	// Instance is the incarnation that is meant; empty for any.
	Instance daisyendpoint.Instance
	// Deadline is when the attempt has to be given up.
	Deadline time.Time
	Reason   Reason
	// Choice says why this endpoint was taken, out of Free ones with a free slot.
	Choice Choice
	Free   int
	// Considered lists the endpoints that were weighed besides the chosen one.
	Considered []netip.AddrPort
	// Waited is how long the request waited for a slot.
	Waited time.Duration
	// Report is the last word of the endpoint's load; zero without one.
	Report daisyendpoint.Report
}

// Deliver passes the answer of an attempt on to the caller.
type Deliver struct {
	Request daisyrequest.ID
	Attempt daisyrequest.AttemptID
}

// Fail answers the caller with a failure of daisyyoke's own.
type Fail struct {
	Request daisyrequest.ID
	Failure daisyrequest.Failure
	Cause   Cause
	// Waited is how long the request was in the hands of routing, Left how much of its
	// time it had left; negative once its deadline has passed.
	Waited, Left time.Duration
	// Needs is how long it was expected to take until its answer, where that decided.
	Needs time.Duration
}

// Cancel gives an attempt up. It holds its slot until the holder reports its
// outcome and, when that is Answered, its AttemptReleased too.
type Cancel struct{ Attempt daisyrequest.AttemptID }

// Tell sends a message to another VM.
type Tell struct {
	To      daisyvm.Name
	Message daisymessage.Message
}

// Probe asks an endpoint for its load.
type Probe struct{ Endpoint netip.AddrPort }

// EndpointChanged says that an endpoint is used differently from now on. Nothing has to be done.
type EndpointChanged struct {
	Endpoint  netip.AddrPort
	Condition Condition
}

// LendingChanged says whether this VM gets its credits from an owner or, for want
// of one that answers, guesses what it may use. Nothing has to be done.
type LendingChanged struct {
	Owner    daisyvm.Name
	Guessing bool
}

func (LendingChanged) decision()  {}
func (EndpointChanged) decision() {}
func (Send) decision()            {}
func (Deliver) decision()         {}
func (Fail) decision()            {}
func (Cancel) decision()          {}
func (Tell) decision()            {}
func (Probe) decision()           {}

// Reason says why an attempt was made.
type Reason int

const (
	// First is the first attempt of a request.
	First Reason = iota
	// Retry follows an attempt that failed.
	Retry
	// Hedge runs beside an attempt that is slow to answer.
	Hedge
)

// String gives the reason in kebab case.
func (r Reason) String() string {
	switch r {
	case First:
		return "first"
	case Retry:
		return "retry"
	case Hedge:
		return "hedge"
	}
	return "unknown"
}

// Cause says why routing failed a request.
type Cause int

const (
	// QueueFull says that too many requests waited.
	QueueFull Cause = iota
	// CannotFinish says that the request could not have been answered by its deadline.
	CannotFinish
	// Expired says that the deadline passed.
	Expired
	// NoneUsable says that every endpoint is draining or gone.
	NoneUsable
	// AttemptsSpent says that the request was sent as often as one may be.
	AttemptsSpent
	// BudgetSpent says that the retry budget allowed no further send.
	BudgetSpent
	// NotRepeatable says that the request may not be sent again.
	NotRepeatable
)

// String gives the cause in kebab case.
func (c Cause) String() string {
	switch c {
	case QueueFull:
		return "queue-full"
	case CannotFinish:
		return "cannot-finish"
	case Expired:
		return "expired"
	case NoneUsable:
		return "none-usable"
	case AttemptsSpent:
		return "attempts-spent"
	case BudgetSpent:
		return "budget-spent"
	case NotRepeatable:
		return "not-repeatable"
	}
	return "unknown"
}
