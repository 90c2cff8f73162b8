package daisymeasure

import (
	"slices"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyroute"
)

const (
	// minDeclarationDelay and maxDeclarationDelay bound the time until a VM knows of a new
	// declaration of an endpoint, as the rows of the platform's store reach the VMs.
	minDeclarationDelay = 100 * time.Millisecond
	maxDeclarationDelay = 1500 * time.Millisecond
)

// Cold makes endpoints cold for the length of the span, with or without a restart. They
// declare it once, when it begins, and say it in the answers to probes.
type Cold struct {
	Span
	Endpoints []EndpointRef
	Restart   bool
	// Silent means that they do not say so in their declaration.
	Silent bool
}

func (Cold) fault() {}

// serviceDeclared is the arrival of a declaration at a VM.
type serviceDeclared struct {
	vm      *vm
	service *service
	change  daisyroute.ServiceChanged
}

func (serviceDeclared) event() {}

func (sm *Simulation) beginCold(f Cold) {
	for _, ref := range f.Endpoints {
		e := sm.endpointAt(ref)
		e.coldUntil = sm.now.Add(f.Length)
		if f.Restart {
			sm.crash(e)
			e.down = false
			e.Instance += "+"
		}
		s := sm.services[ref.Service%len(sm.services)]
		i := slices.IndexFunc(s.Endpoints, func(d daisyendpoint.Endpoint) bool { return d.Address == e.Address })
		s.Endpoints = slices.Clone(s.Endpoints)
		s.Endpoints[i].Instance = e.Instance
		if !f.Silent {
			s.Endpoints[i].ColdFor = f.Length
		}
	}
	for _, s := range sm.services {
		for _, v := range sm.vms {
			delay := minDeclarationDelay + time.Duration(sm.linkRandom.Int64N(int64(maxDeclarationDelay-minDeclarationDelay)))
			sm.schedule(delay, serviceDeclared{vm: v, service: s, change: daisyroute.ServiceChanged{Service: s.Service}})
		}
	}
}

// coldFor returns how long an endpoint stays cold, as it says in answers to probes.
func (e *endpoint) coldFor(now time.Time) time.Duration { return max(e.coldUntil.Sub(now), 0) }

// misdirected reports whether an attempt is for an earlier incarnation of its endpoint.
func (a *attempt) misdirected() bool { return a.instance != a.endpoint.Instance }
