// Package daisylint checks a configuration before it is put in force. It finds entries that
// can never match and limits that contradict each other; the decoder of a format finds what
// its format does not allow, for instance accounts without keys, and adjusts it.
package daisylint

import (
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyservice"
)

// Finding is something in a configuration that its author should look at. It is one of
// Invalid, Adjusted, RouteHidden, RouteUnmatchable, RouteWithoutService, PartUnused, KeysHeld,
// QuotaAboveCapacity, TimeoutBelowTarget, AttemptsUnused, ServiceEvacuated and PlanWarning.
type Finding interface{ finding() }

// Invalid is text that cannot be decoded.
type Invalid struct {
	// Line is the line of the text, from 1; 0 if it is not known.
	Line int
	Text string
}

// Adjusted is an entry that is not taken as it is written.
type Adjusted struct{ Adjustment daisyconfig.Adjustment }

// RouteHidden is a route that gets no requests, because By comes first with the same host
// and prefix.
type RouteHidden struct{ Route, By daisypath.Route }

// RouteUnmatchable is a route whose host or prefix no request can have.
type RouteUnmatchable struct{ Route daisypath.Route }

// RouteWithoutService is a route whose requests are all refused, because no part of it has a
// weight above 0.
type RouteWithoutService struct{ Route daisypath.Route }

// PartUnused is a part of a route that gets no requests, since its weight is not above 0.
type PartUnused struct {
	Route daisypath.Route
	Part  daisypath.Part
}

// KeysHeld is a client account some of whose keys belong to an account that comes first.
type KeysHeld struct {
	Fleet           daisyfleet.Name
	Account, Holder daisyaccount.Name
	// Held is the number of these keys, Total that of all keys of Account.
	Held, Total int
}

// QuotaAboveCapacity is a client account whose quota no load can reach.
type QuotaAboveCapacity struct {
	Fleet   daisyfleet.Name
	Account daisyaccount.Name
	Quota   daisyaccount.Quota
	// Capacity is the number of requests a second that the slots of all services which the
	// account's requests may reach can serve.
	Capacity float64
}

// TimeoutBelowTarget is a route whose requests time out before their latency target.
type TimeoutBelowTarget struct{ Route daisypath.Route }

// AttemptsUnused is a route with several attempts that is not idempotent: a request of it is
// sent again only if no endpoint has run it, and such attempts do not count.
type AttemptsUnused struct{ Route daisypath.Route }

// ServiceEvacuated is a service all of whose endpoints are in evacuated availability zones.
type ServiceEvacuated struct {
	Service daisyservice.ID
	Zones   []daisyfleet.ZoneID
}

// PlanWarning is a warning that a plan of the configuration would have.
type PlanWarning struct{ Warning daisyplan.Warning }

func (Invalid) finding()             {}
func (Adjusted) finding()            {}
func (RouteHidden) finding()         {}
func (RouteUnmatchable) finding()    {}
func (RouteWithoutService) finding() {}
func (PartUnused) finding()          {}
func (KeysHeld) finding()            {}
func (QuotaAboveCapacity) finding()  {}
func (TimeoutBelowTarget) finding()  {}
func (AttemptsUnused) finding()      {}
func (ServiceEvacuated) finding()    {}
func (PlanWarning) finding()         {}

// IsError reports whether a finding is an error; the others are warnings. An error is what
// cannot take effect as it is written, or what makes all requests of a route fail.
func IsError(finding Finding) bool {
	switch f := finding.(type) {
	case Invalid, Adjusted, RouteUnmatchable, RouteWithoutService, KeysHeld:
		return true
	case PartUnused:
		return f.Part.Weight < 0
	case TimeoutBelowTarget:
		return f.Route.Timeout <= 0
	case RouteHidden, QuotaAboveCapacity, AttemptsUnused, ServiceEvacuated, PlanWarning:
	}
	return false
}

// Options are what a check assumes.
type Options struct {
	// ServiceTime is how long a request occupies a slot; 0 means the target of its route.
	ServiceTime time.Duration
}

// Result is the result of a check.
type Result struct {
	Findings []Finding
	// Changes and Impacts are what the configuration changes; empty without a base.
	Changes []daisyplan.Change
	Impacts []daisyplan.Impact
}

// InForce is what the store of a platform has in force.
type InForce struct {
	Snapshot      *daisyconfig.Snapshot
	Evacuated     []daisyfleet.ZoneID
	Registrations []daisyconfig.Registration
}

// Complete returns a configuration with the evacuations and registrations in force.
func (f InForce) Complete(s *daisyconfig.Snapshot) *daisyconfig.Snapshot {
	declared := *s
	declared.Evacuated = f.Evacuated
	return daisyconfig.MergeRegistrations(&declared, f.Registrations)
}
