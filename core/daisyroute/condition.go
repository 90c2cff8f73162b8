package daisyroute

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyhealth"
	"daisyyoke/core/daisyrank"
)

// Condition says how an endpoint is used.
type Condition int

const (
	// InUse puts no limit on the endpoint but its slots.
	InUse Condition = iota
	// Ramping gives it one attempt at a time, then more.
	Ramping
	// EjectedSlow gives it single trials, because it was slow.
	EjectedSlow
	// EjectedFaulty gives it single trials, because it failed.
	EjectedFaulty
	// Draining gives it no new work.
	Draining
	// Removed says that it is no longer declared.
	Removed
)

// String gives the condition in kebab case.
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
	}
	return "unknown"
}

func (e *endpoint) condition(now time.Time) Condition {
	if e.removed {
		return Removed
	}
	if e.declared.Draining || now.Before(e.drainingUntil) {
		return Draining
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

// show tells when the condition of an endpoint has changed.
func (d *Dispatcher) show(now time.Time, e *endpoint) {
	c := e.condition(now)
	if c != e.shown {
		e.shown = c
		d.rest(now, e, c)
		d.credits.setBroken(now, e, c != InUse && c != Ramping)
		d.emit(EndpointChanged{Endpoint: e.address, Condition: c})
	}
}

// rest keeps an endpoint that drains out of the comparison with its siblings.
func (d *Dispatcher) rest(now time.Time, e *endpoint, c Condition) {
	if c == Removed {
		return
	}
	d.health.Rest(now, e.health, c == Draining)
	d.followHealth(now)
}

// EndpointStatus is what a VM makes of an endpoint.
type EndpointStatus struct {
	Address   netip.AddrPort
	Condition Condition
	// InFlight counts this VM's attempts, Spare the further ones it may have.
	InFlight int
	Spare    int
	// Connections is how many connections this VM may hold to it; 0 means any number.
	Connections int
}

// Endpoints gives the status of every declared endpoint.
func (d *Dispatcher) Endpoints(now time.Time) []EndpointStatus {
	status := make([]EndpointStatus, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		status = append(status, EndpointStatus{
			Address:     e.address,
			Condition:   e.condition(now),
			InFlight:    e.inFlight,
			Spare:       e.spare,
			Connections: e.declared.ConnectionShare(len(d.peers) + 1),
		})
	}
	return status
}

// Ranks gives the ranks in force, the most urgent first.
func (d *Dispatcher) Ranks() []daisyrank.Rank { return d.service.Ranks }
