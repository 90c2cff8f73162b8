package daisylog

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Line is one decision. It is one of Sent, AttemptFailed, Answered, Refused,
// Rejected, Abandoned, Canceled, Changed and Lending.
type Line interface{ line() }

// Subject is the request that a decision touches.
type Subject struct {
	Service daisyservice.ID
	Rank    daisyrank.Name
	Request daisyrequest.ID
	// Name is what the caller calls the request; empty when it has no name.
	Name daisyrequest.Name
	// Route is the name of the route that the request took, of the configuration
	// of this Revision; empty without routes.
	Route    string
	Revision uint64
}

// Sent says which endpoint got an attempt and why.
type Sent struct {
	Subject
	Attempt daisyrequest.AttemptID
	// Endpoint is the chosen one.
	Endpoint netip.AddrPort
	Instance daisyendpoint.Instance
	// Why is the reason of the attempt, Choice that of the endpoint.
	Why    string
	Choice string
	// Considered are the endpoints weighed besides the chosen one, out of Free ones with a free slot.
	Considered []netip.AddrPort
	Free       int
	// Report is the last word of the endpoint's load, zero without one, and ReportAge its age.
	Report    daisyendpoint.Report
	ReportAge time.Duration
	// Waited is how long the request waited for a slot, Left the time until its deadline.
	Waited, Left time.Duration
}

// AttemptFailed says why an attempt brought no answer to pass on.
type AttemptFailed struct {
	Subject
	Attempt  daisyrequest.AttemptID
	Endpoint netip.AddrPort
	// Outcome is its kind, for instance "broken-off", and Cause the error behind it.
	Outcome string
	Cause   string
	Took    time.Duration
}

// Answered says that an endpoint's answer was passed on.
type Answered struct {
	Subject
	Attempt  daisyrequest.AttemptID
	Endpoint netip.AddrPort
	Status   int
	// Whole says that all of the answer was passed on.
	Whole bool
	// Attempts counts the sends, Took is the time since the arrival.
	Attempts int
	Took     time.Duration
}

// Refused says why a request was answered without an endpoint's answer.
type Refused struct {
	Subject
	Why string
	// Status is the HTTP status of the answer.
	Status int
	// Attempts counts the sends before.
	Attempts int
	// Waited is how long the request was in hand, Left how much of its time was left.
	Waited, Left time.Duration
	// Needs is how long it was expected to take until its answer, where that decided; 0 elsewhere.
	Needs time.Duration
	// RetryAfter is when the caller was asked to come back; 0 for no word of it.
	RetryAfter time.Duration
}

// Rejected says why a request did not come to routing.
type Rejected struct {
	Name   daisyrequest.Name
	Host   string
	Path   string
	Status int
	Why    string
}

// Abandoned says that the caller went before the answer.
type Abandoned struct {
	Subject
	Attempts int
	Took     time.Duration
}

// Canceled says that an attempt was given up.
type Canceled struct {
	Subject
	Attempt  daisyrequest.AttemptID
	Endpoint netip.AddrPort
}

// Changed says that a VM uses an endpoint differently from now on.
type Changed struct {
	Service  daisyservice.ID
	Endpoint netip.AddrPort
	// Condition is how it is used, for instance "ejected-slow".
	Condition string
}

// Lending says whether the slots of a service are lent to this VM by their owner,
// or this VM is in fallback mode because the owner is silent.
type Lending struct {
	Service  daisyservice.ID
	Owner    daisyvm.Name
	Guessing bool
}

// message is a line that is not a decision, encoded already.
type message struct{ text []byte }

func (Sent) line()          {}
func (AttemptFailed) line() {}
func (Answered) line()      {}
func (Refused) line()       {}
func (Rejected) line()      {}
func (Abandoned) line()     {}
func (Canceled) line()      {}
func (Changed) line()       {}
func (Lending) line()       {}
func (message) line()       {}
