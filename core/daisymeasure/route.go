package daisymeasure

import (
	"math/rand/v2"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

const (
	// probeWork is what a probe costs an endpoint.
	probeWork = 6 * time.Millisecond
	// noticeAfter is how long VMs take to see that another one is gone or back.
	noticeAfter = time.Second
)

// Policy is what is measured. It is one of Routed and Central.
type Policy interface{ policy() }

// Routed measures dispatchers with a policy of daisyroute.
type Routed struct{ Policy daisyroute.Policy }

// Central measures one queue that knows all slots and the health of all
// endpoints at every moment: no slot is idle while a request waits that could
// have been sent ahead. It is the limit for the other policies.
type Central struct{}

func (Routed) policy()  {}
func (Central) policy() {}

func (w *World) newDispatcher(v *vm, s *service, i int) *daisyroute.Dispatcher {
	p, ok := w.policy.(Routed)
	if !ok {
		return nil
	}
	return daisyroute.NewDispatcher(daisyroute.Options{
		Self:    v.VM,
		Service: s.Service,
		Random:  rand.New(rand.NewPCG(w.scenario.Seed, uint64(100+100*s.index+i))),
		Policy:  p.Policy,
	})
}

// handle gives an event to a dispatcher and carries out what it decides.
func (w *World) handle(v *vm, s *service, e daisyroute.Event) {
	d := v.dispatchers[s.index]
	if d == nil || v.dead {
		return
	}
	for _, x := range d.Handle(w.now, e) {
		w.carryOut(v, s, x)
	}
	wake := d.NextWake()
	if !wake.IsZero() && !wake.Equal(v.wakes[s.index]) {
		v.wakes[s.index] = wake
		w.schedule(max(0, wake.Sub(w.now)), woken{vm: v, service: s, at: wake})
	}
}

func (w *World) carryOut(v *vm, s *service, decision daisyroute.Decision) {
	switch d := decision.(type) {
	case daisyroute.Send:
		w.send(v, s, d)
	case daisyroute.Deliver:
		w.deliver(v.attempts[s.index][d.Attempt], d)
	case daisyroute.Fail:
		w.fail(d)
	case daisyroute.Cancel:
		w.cancel(v, v.attempts[s.index][d.Attempt])
	case daisyroute.Tell:
		w.tell(v, s, d)
	case daisyroute.Probe:
		w.probe(v, s, d)
	}
}

func (w *World) call(id daisyrequest.ID) *call { return w.calls[id-1] }

func (w *World) send(v *vm, s *service, d daisyroute.Send) {
	c := w.call(d.Request)
	a := &attempt{id: d.Attempt, call: c, vm: v, endpoint: s.endpoints[d.Endpoint], work: c.work[min(c.sends, 1)]}
	c.sends++
	v.attempts[s.index][d.Attempt] = a
	w.tally.noteSend(w, a, d.Reason)
	w.schedule(w.scenario.Fleet.delay(v.Zone, a.endpoint.Zone), reached{attempt: a})
	w.schedule(d.Deadline.Sub(w.now), expired{attempt: a})
}

// cancel gives an attempt up, as a closed connection does: the VM knows at once, the endpoint later.
func (w *World) cancel(v *vm, a *attempt) {
	if a == nil || a.resolved {
		return
	}
	w.schedule(0, answered{attempt: a, outcome: daisyrequest.Canceled{}})
	w.schedule(w.scenario.Fleet.delay(v.Zone, a.endpoint.Zone), stopped{attempt: a})
}

func (w *World) expire(a *attempt) {
	if a.resolved {
		return
	}
	w.schedule(w.scenario.Fleet.delay(a.vm.Zone, a.endpoint.Zone), stopped{attempt: a})
	w.resolve(answered{attempt: a, outcome: daisyrequest.TimedOut{}})
}

// resolve tells the dispatcher the outcome of an attempt; answers are short, so they end at once.
func (w *World) resolve(e answered) {
	a := e.attempt
	if a.resolved {
		return
	}
	a.resolved = true
	a.outcome = e.outcome
	s := a.call.service
	w.tally.noteOutcome(e.outcome)
	if e.report.Slots > 0 {
		w.handle(a.vm, s, daisyroute.ReportReceived{Endpoint: a.endpoint.Address, Report: e.report})
	}
	w.handle(a.vm, s, daisyroute.AttemptResolved{Attempt: a.id, Outcome: e.outcome, Resendable: true})
	if _, ok := e.outcome.(daisyrequest.Answered); ok {
		w.handle(a.vm, s, daisyroute.AttemptReleased{Attempt: a.id})
	}
	delete(a.vm.attempts[s.index], a.id)
}

func (w *World) deliver(a *attempt, d daisyroute.Deliver) {
	c := w.call(d.Request)
	if c.ended || a == nil || a.call != c {
		w.tally.MixedUp++
		return
	}
	w.end(c)
	answer, ok := a.outcome.(daisyrequest.Answered)
	if !ok {
		w.tally.MixedUp++
		return
	}
	w.tally.noteAnswer(w, c, answer)
}

func (w *World) fail(d daisyroute.Fail) {
	c := w.call(d.Request)
	if c.ended {
		w.tally.MixedUp++
		return
	}
	w.end(c)
	c.notRun = promisesNotRun(d.Failure)
	w.tally.noteFailure(c, d)
}

func promisesNotRun(f daisyrequest.Failure) bool {
	switch f := f.(type) {
	case daisyrequest.Overloaded, daisyrequest.NoEndpoint:
		return true
	case daisyrequest.DeadlinePassed:
		return f.Run == daisyrequest.NotRun
	case daisyrequest.EndpointBroke:
		return false
	}
	return false
}

func (w *World) probe(v *vm, s *service, d daisyroute.Probe) {
	e := s.endpoints[d.Endpoint]
	w.tally.Probes++
	after := 2*w.scenario.Fleet.delay(v.Zone, e.Zone) + probeWork
	w.schedule(after, probed{vm: v, service: s, endpoint: e, address: d.Endpoint, report: w.report(e), failed: e.dead})
}

func (w *World) endProbe(e probed) {
	if e.failed {
		w.handle(e.vm, e.service, daisyroute.ProbeFailed{Endpoint: e.address})
		return
	}
	w.handle(e.vm, e.service, daisyroute.ReportReceived{Endpoint: e.address, Report: e.report})
}

func (w *World) end(c *call) {
	c.ended = true
	w.open--
}
