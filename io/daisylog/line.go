package daisylog

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Line is one decision. It is one of Sent, Refused, Canceled, Changed and Placed.
type Line interface{ line() }

// Sent says which endpoint got an attempt and why.
type Sent struct {
	Service daisyservice.ID
	Rank    daisyrank.Name
	Request daisyrequest.ID
	Attempt daisyrequest.AttemptID
	// Endpoint is the chosen one.
	Endpoint netip.AddrPort
	// Why is the reason of the attempt, Choice that of the endpoint.
	Why    string
	Choice string
	// Considered are the endpoints weighed besides the chosen one, out of Free ones with a free slot.
	Considered []netip.AddrPort
	Free       int
	// Waited is how long the request waited for a slot.
	Waited time.Duration
}

// Refused says why a request was answered without an endpoint's answer.
type Refused struct {
	Service daisyservice.ID
	Rank    daisyrank.Name
	Request daisyrequest.ID
	Why     string
	// Status is the HTTP status of the answer.
	Status int
	Waited time.Duration
}

// Canceled says that an attempt was given up.
type Canceled struct {
	Service  daisyservice.ID
	Rank     daisyrank.Name
	Request  daisyrequest.ID
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

// Placed says which VM got a service or its credits, and why.
type Placed struct {
	Service    daisyservice.ID
	VM         daisyvm.Name
	Why        string
	Considered []daisyvm.Name
}

func (Sent) line()     {}
func (Refused) line()  {}
func (Canceled) line() {}
func (Changed) line()  {}
func (Placed) line()   {}
