package daisyroute

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyhealth"
)

// Condition is the state in which a Dispatcher uses an endpoint.
type Condition int

const (
	// InUse means that the endpoint is limited by its slots only.
	InUse Condition = iota
	// Ramping means that the endpoint starts with one attempt at a time and is
	// given more step by step.
	Ramping
	// EjectedSlow means that the endpoint was slow and gets single trial requests only.
	EjectedSlow
	// EjectedFaulty means that the endpoint failed and gets single trial requests only.
	EjectedFaulty
	// Draining means that the endpoint gets no new requests.
	Draining
	// Removed means that the endpoint is no longer declared.
	Removed
	// Leaving means that the endpoint said that it is going to stop, and gets no new
	// requests until a later incarnation is declared.
	Leaving
	// Pausing means that the endpoint asked for nothing to be sent to it for a time.
	Pausing
	// Evacuated means that the endpoint gets no new requests while its availability zone is
	// evacuated.
	Evacuated
)

// String returns the condition in kebab case.
func (c Condition) String() string {
	switch c {
	case InUse:
		return "in-use"
	case Ramping:
		return "ramping"
	case EjectedSlow:
		return "ejected-slow"
	case EjectedFaulty:
		return "ejected-faulty"
	case Draining:
		return "draining"
	case Removed:
		return "removed"
	case Leaving:
		return "leaving"
	case Pausing:
		return "pausing"
	case Evacuated:
		return "evacuated"
	}
	return "unknown"
}

func (e *endpoint) condition(now time.Time) Condition {
	if e.removed {
		return Removed
	}
	if e.leaving {
		return Leaving
	}
	if e.declared.Evacuated {
		return Evacuated
	}
	if e.declared.Draining || now.Before(e.drainingUntil) {
		return Draining
	}
	if e.pausing(now) {
		return Pausing
	}
	switch s := e.health.State().(type) {
	case daisyhealth.Ramping:
		return Ramping
	case daisyhealth.Ejected:
		if s.Cause == daisyhealth.Slow {
			return EjectedSlow
		}
		return EjectedFaulty
	case daisyhealth.Steady:
	}
	return InUse
}

// reportCondition emits EndpointChanged if the condition of an endpoint has
// changed, and passes the change on to health and credits.
func (d *Dispatcher) reportCondition(now time.Time, e *endpoint) {
	c := e.condition(now)
	if c != e.lastCondition {
		e.lastCondition = c
		d.updateExclusion(now, e, c)
		e.sharing.setRestricted(now, e, c != InUse && c != Ramping)
		d.emit(EndpointChanged{Endpoint: e.address, Condition: c})
	}
}

// updateExclusion excludes an endpoint from the health comparison while it gets no new work, and
// includes it again afterwards.
func (d *Dispatcher) updateExclusion(now time.Time, e *endpoint, c Condition) {
	if c == Removed {
		return
	}
	d.health.SetExcluded(now, e.health, c == Draining || c == Leaving || c == Evacuated)
	d.refreshOnHealthChange(now)
}

// EndpointStatus is the state of an endpoint as seen by one VM.
type EndpointStatus struct {
	Address   netip.AddrPort
	Condition Condition
	// InFlight is the number of attempts of this VM under way at the endpoint.
	InFlight int
	// Spare is the number of further attempts that this VM may start there now.
	Spare int
	// Connections is the number of connections that this VM may hold to the
	// endpoint; 0 means any number.
	Connections int
	// ResumesIn is the time until the end of the pause that the endpoint asked for.
	ResumesIn time.Duration
	// RateLimit is the rate limit that the endpoint named last, and RateUsed the share of
	// it that this VM used of late.
	RateLimit daisyendpoint.RateLimit
	RateUsed  float64
}

// Endpoints returns the status of every declared endpoint.
func (d *Dispatcher) Endpoints(now time.Time) []EndpointStatus {
	status := make([]EndpointStatus, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		status = append(status, d.status(now, e))
	}
	return status
}

// Endpoint returns the status of a declared endpoint. It reports false for any other.
func (d *Dispatcher) Endpoint(now time.Time, address netip.AddrPort) (EndpointStatus, bool) {
	e := d.byAddress[address]
	if e == nil || e.removed {
		return EndpointStatus{Address: address, Condition: Removed}, false
	}
	return d.status(now, e), true
}

func (d *Dispatcher) status(now time.Time, e *endpoint) EndpointStatus {
	return EndpointStatus{
		Address:     e.address,
		Condition:   e.condition(now),
		InFlight:    e.inFlight,
		Spare:       e.spare,
		Connections: e.declared.ConnectionShare(len(d.peers) + 1),
		ResumesIn:   max(e.pausedUntil.Sub(now), 0),
		RateLimit:   e.rate.limit,
		RateUsed:    e.rate.usedShare(now),
	}
}
