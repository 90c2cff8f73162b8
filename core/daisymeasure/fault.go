package daisymeasure

import (
	"math/rand/v2"
	"time"

	"daisyyoke/core/daisyendpoint"
)

// Span is the time during which a fault is present. Begin counts from the start of
// the run.
type Span struct{ Begin, Length time.Duration }

func (s Span) span() (begin, length time.Duration) { return s.Begin, s.Length }

// Fault is a fault that is present for a time. It is one of Slow, FailFast, Drain,
// Crash, LimitRate, Cold, KillVM, PauseVM and Partition.
type Fault interface {
	span() (begin, length time.Duration)
	fault()
}

// EndpointRef identifies an endpoint by the index of its service and its index in
// the service.
type EndpointRef struct{ Service, Endpoint int }

// Slow makes an endpoint slower by a factor. It also models a cold start, after
// which the endpoint has its normal speed.
type Slow struct {
	Span
	EndpointRef
	Factor float64
}

// FailFast makes an endpoint answer all requests with an error immediately.
type FailFast struct {
	Span
	EndpointRef
}

// Drain makes an endpoint report that it is draining.
type Drain struct {
	Span
	EndpointRef
}

// Crash breaks off all attempts at an endpoint and refuses connections to it.
type Crash struct {
	Span
	EndpointRef
}

// LimitRate makes an endpoint name a limit of its rate of requests in its answers. It
// does not enforce the limit.
type LimitRate struct {
	Span
	EndpointRef
	PerSecond float64
}

// KillVM ends a VM permanently.
type KillVM struct {
	Span
	VM int
}

// PauseVM pauses everything on a VM for the length of the span.
type PauseVM struct {
	Span
	VM int
}

// Partition drops all messages between the VMs with even and those with odd numbers.
type Partition struct{ Span }

func (Slow) fault()      {}
func (FailFast) fault()  {}
func (Drain) fault()     {}
func (Crash) fault()     {}
func (LimitRate) fault() {}
func (KillVM) fault()    {}
func (PauseVM) fault()   {}
func (Partition) fault() {}

func (sm *Simulation) endpointAt(p EndpointRef) *endpoint {
	order := sm.services[p.Service%len(sm.services)].endpointOrder
	return order[p.Endpoint%len(order)]
}

func (sm *Simulation) applyFault(c faultChanged) {
	switch f := c.fault.(type) {
	case Slow:
		sm.endpointAt(f.EndpointRef).slowdown = 1
		if c.begins {
			sm.endpointAt(f.EndpointRef).slowdown = f.Factor
		}
	case FailFast:
		sm.endpointAt(f.EndpointRef).failFast = c.begins
	case Drain:
		sm.endpointAt(f.EndpointRef).draining = c.begins
	case Crash:
		if c.begins {
			sm.crash(sm.endpointAt(f.EndpointRef))
		}
		sm.endpointAt(f.EndpointRef).down = c.begins
	case Cold:
		if c.begins {
			sm.beginCold(f)
		}
	case LimitRate:
		sm.endpointAt(f.EndpointRef).rateLimit = daisyendpoint.Unlimited{}
		if c.begins {
			sm.endpointAt(f.EndpointRef).rateLimit, _ = daisyendpoint.NewRateLimit(f.PerSecond)
		}
	case KillVM:
		if c.begins {
			sm.killVM(sm.vms[f.VM%len(sm.vms)])
		}
	case PauseVM:
		if c.begins {
			sm.vms[f.VM%len(sm.vms)].pausedUntil = sm.now.Add(f.Length)
		}
		sm.scheduleLivenessChecks(f.Length >= failureDetectionDelay)
	case Partition:
		sm.partitioned = c.begins
		sm.scheduleLivenessChecks(f.Length >= failureDetectionDelay)
	}
}

// killVM ends a VM. Its connections close, which cancels its attempts at the endpoints.
func (sm *Simulation) killVM(v *vm) {
	v.dead = true
	for _, c := range sm.calls {
		if c.vm == v && !c.ended {
			sm.endCall(c)
			sm.tally.FailedWithVM++
		}
	}
	for _, attempts := range v.attempts {
		for _, a := range attempts {
			sm.schedule(sm.scenario.Fleet.delay(v.Zone, a.endpoint.Zone), attemptCanceled{attempt: a})
		}
	}
	sm.scheduleLivenessChecks(true)
}

// scheduleLivenessChecks makes all VMs update their view of which VMs are live after
// failureDetectionDelay, unless the fault is too short to be detected.
func (sm *Simulation) scheduleLivenessChecks(detectable bool) {
	if !detectable {
		return
	}
	for _, v := range sm.vms {
		sm.schedule(failureDetectionDelay, livenessChecked{vm: v})
	}
}

// Stragglers returns faults that make a share of the endpoints slower by a factor
// from 5 to 10 at all times. Each fault lasts 50 to 500 ms.
func Stragglers(fleet Fleet, share float64, length time.Duration, seed uint64) []Fault {
	random := rand.New(rand.NewPCG(seed, 4))
	var faults []Fault
	for service, endpoints := range fleet.Endpoints {
		count := max(1, int(share*float64(endpoints)+0.5))
		for k := range count {
			ref := EndpointRef{Service: service, Endpoint: k * endpoints / count}
			for at := time.Duration(0); at < length; {
				duration := 50*time.Millisecond + time.Duration(random.Int64N(int64(450*time.Millisecond)))
				faults = append(faults, Slow{Span: Span{Begin: at, Length: duration - 1}, EndpointRef: ref, Factor: 5 + 5*random.Float64()})
				at += duration
				ref.Endpoint = k*endpoints/count + random.IntN(max(1, endpoints/count))
			}
		}
	}
	return faults
}
