package daisymeasure

import (
	"math/rand/v2"
	"time"
)

// Span is when a fault begins, from the start of the run, and how long it lasts.
type Span struct{ Begin, Length time.Duration }

func (s Span) span() (begin, length time.Duration) { return s.Begin, s.Length }

// Fault is something that goes wrong for a while. It is one of Slow, FailFast,
// Drain, Die, KillVM, PauseVM and Cut.
type Fault interface {
	span() (begin, length time.Duration)
	fault()
}

// Place names an endpoint by its service and its number in it.
type Place struct{ Service, Endpoint int }

// Slow makes an endpoint work slower by a factor; a cold start is one that ends.
type Slow struct {
	Span
	Place
	Factor float64
}

// FailFast makes an endpoint answer everything with an error at once.
type FailFast struct {
	Span
	Place
}

// Drain makes an endpoint report that it is leaving.
type Drain struct {
	Span
	Place
}

// Die breaks off what an endpoint works on and refuses connections to it.
type Die struct {
	Span
	Place
}

// KillVM ends a VM for good.
type KillVM struct {
	Span
	VM int
}

// PauseVM stops a VM, with everything in it, for a while.
type PauseVM struct {
	Span
	VM int
}

// Cut loses all messages between the VMs with even and those with odd numbers.
type Cut struct{ Span }

func (Slow) fault()     {}
func (FailFast) fault() {}
func (Drain) fault()    {}
func (Die) fault()      {}
func (KillVM) fault()   {}
func (PauseVM) fault()  {}
func (Cut) fault()      {}

func (w *World) at(p Place) *endpoint {
	order := w.services[p.Service%len(w.services)].order
	return order[p.Endpoint%len(order)]
}

func (w *World) change(c changed) {
	switch f := c.fault.(type) {
	case Slow:
		w.at(f.Place).factor = 1
		if c.begins {
			w.at(f.Place).factor = f.Factor
		}
	case FailFast:
		w.at(f.Place).failFast = c.begins
	case Drain:
		w.at(f.Place).draining = c.begins
	case Die:
		if c.begins {
			w.die(w.at(f.Place))
		}
		w.at(f.Place).dead = c.begins
	case KillVM:
		if c.begins {
			w.kill(w.vms[f.VM%len(w.vms)])
		}
	case PauseVM:
		if c.begins {
			w.vms[f.VM%len(w.vms)].paused = w.now.Add(f.Length)
		}
		w.notice(f.Length >= noticeAfter)
	case Cut:
		w.cut = c.begins
		w.notice(f.Length >= noticeAfter)
	}
}

// kill ends a VM; its connections close, so that endpoints stop its work.
func (w *World) kill(v *vm) {
	v.dead = true
	for _, c := range w.calls {
		if c.vm == v && !c.ended {
			w.end(c)
			w.tally.Broken++
		}
	}
	for _, attempts := range v.attempts {
		for _, a := range attempts {
			w.schedule(w.scenario.Fleet.delay(v.Zone, a.endpoint.Zone), stopped{attempt: a})
		}
	}
	w.notice(true)
}

// notice lets the VMs see after a while who is live.
func (w *World) notice(seen bool) {
	if !seen {
		return
	}
	for _, v := range w.vms {
		w.schedule(noticeAfter, noticed{vm: v})
	}
}

// Stragglers gives faults by which a share of the endpoints is slower by a factor
// from 5 to 10 at every moment, each for 50 to 500 ms.
func Stragglers(fleet Fleet, share float64, length time.Duration, seed uint64) []Fault {
	random := rand.New(rand.NewPCG(seed, 4))
	var faults []Fault
	for service, endpoints := range fleet.Endpoints {
		count := max(1, int(share*float64(endpoints)+0.5))
		for k := range count {
			place := Place{Service: service, Endpoint: k * endpoints / count}
			for at := time.Duration(0); at < length; {
				last := 50*time.Millisecond + time.Duration(random.Int64N(int64(450*time.Millisecond)))
				faults = append(faults, Slow{Span: Span{Begin: at, Length: last - 1}, Place: place, Factor: 5 + 5*random.Float64()})
				at += last
				place.Endpoint = k*endpoints/count + random.IntN(max(1, endpoints/count))
			}
		}
	}
	return faults
}
