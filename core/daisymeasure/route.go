package daisymeasure

import (
	"math/rand/v2"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

const (
	// probeWork is the time that an endpoint works on a probe.
	probeWork = 6 * time.Millisecond
	// failureDetectionDelay is how long VMs take to detect that another VM has
	// failed or recovered.
	failureDetectionDelay = time.Second
)

// Policy is the routing policy that a run measures. It is one of Routed and CentralQueue.
type Policy interface{ policy() }

// Routed is a Policy of dispatchers that use a policy of daisyroute.
type Routed struct{ Policy daisyroute.Policy }

// CentralQueue is a Policy of one queue per service that always knows the free slots
// and the health of all endpoints. Network delay overlaps with waiting, so no slot is
// idle while a request waits that could have reached it, and the latency of this policy is
// the lower bound for the others.
type CentralQueue struct{}

func (Routed) policy()       {}
func (CentralQueue) policy() {}

func (sm *Simulation) newDispatcher(v *vm, s *service, i int) *daisyroute.Dispatcher {
	p, ok := sm.policy.(Routed)
	if !ok {
		return nil
	}
	return daisyroute.NewDispatcher(daisyroute.Options{
		Self:    v.VM,
		Service: s.Service,
		Random:  rand.New(rand.NewPCG(sm.scenario.Seed, uint64(100+100*s.index+i))),
		Policy:  p.Policy,
	})
}

// handle passes an event to a dispatcher and executes its decisions.
func (sm *Simulation) handle(v *vm, s *service, e daisyroute.Event) {
	d := v.dispatchers[s.index]
	if d == nil || v.dead {
		return
	}
	for _, x := range d.Handle(sm.now, e) {
		sm.execute(v, s, x)
	}
	wake := d.NextWake()
	if !wake.IsZero() && !wake.Equal(v.wakeTimes[s.index]) {
		v.wakeTimes[s.index] = wake
		sm.schedule(max(0, wake.Sub(sm.now)), dispatcherWoken{vm: v, service: s, at: wake})
	}
}

func (sm *Simulation) execute(v *vm, s *service, decision daisyroute.Decision) {
	switch d := decision.(type) {
	case daisyroute.Send:
		sm.sendAttempt(v, s, d)
	case daisyroute.Deliver:
		sm.deliverAnswer(v.attempts[s.index][d.Attempt], d)
	case daisyroute.Fail:
		sm.failCall(d)
	case daisyroute.Cancel:
		sm.cancelAttempt(v, v.attempts[s.index][d.Attempt])
	case daisyroute.SendMessage:
		sm.sendMessage(v, s, d)
	case daisyroute.Probe:
		sm.startProbe(v, s, d)
	}
}

func (sm *Simulation) callByID(id daisyrequest.ID) *call { return sm.calls[id-1] }

func (sm *Simulation) sendAttempt(v *vm, s *service, d daisyroute.Send) {
	c := sm.callByID(d.Request)
	a := &attempt{id: d.Attempt, call: c, vm: v, endpoint: s.endpoints[d.Endpoint], instance: d.Instance, work: c.work[min(c.sendCount, 1)]}
	c.sendCount++
	v.attempts[s.index][d.Attempt] = a
	sm.tally.recordSend(sm, a, d.Reason)
	sm.schedule(sm.scenario.Fleet.delay(v.Zone, a.endpoint.Zone), attemptReached{attempt: a})
	sm.schedule(d.Deadline.Sub(sm.now), deadlinePassed{attempt: a})
}

// cancelAttempt cancels an attempt, as closing its connection does. The VM learns of
// the cancellation immediately, the endpoint after the network delay.
func (sm *Simulation) cancelAttempt(v *vm, a *attempt) {
	if a == nil || a.resolved {
		return
	}
	sm.schedule(0, outcomeReceived{attempt: a, outcome: daisyrequest.Canceled{}})
	sm.schedule(sm.scenario.Fleet.delay(v.Zone, a.endpoint.Zone), attemptCanceled{attempt: a})
}

func (sm *Simulation) timeOutAttempt(a *attempt) {
	if a.resolved {
		return
	}
	sm.schedule(sm.scenario.Fleet.delay(a.vm.Zone, a.endpoint.Zone), attemptCanceled{attempt: a})
	sm.resolveAttempt(outcomeReceived{attempt: a, outcome: daisyrequest.TimedOut{}})
}

// resolveAttempt passes the outcome of an attempt to the dispatcher. Answers are
// short, so an answered attempt is released at the same time.
func (sm *Simulation) resolveAttempt(e outcomeReceived) {
	a := e.attempt
	if a.resolved {
		return
	}
	a.resolved = true
	a.outcome = e.outcome
	s := a.call.service
	sm.tally.recordOutcome(e.outcome)
	if e.report.Slots > 0 {
		sm.handle(a.vm, s, daisyroute.ReportReceived{Endpoint: a.endpoint.Address, Report: e.report})
	}
	sm.handle(a.vm, s, daisyroute.AttemptResolved{Attempt: a.id, Outcome: e.outcome, Resendable: true, RateLimit: e.rateLimit})
	if _, ok := e.outcome.(daisyrequest.Answered); ok {
		sm.handle(a.vm, s, daisyroute.AttemptReleased{Attempt: a.id})
	}
	delete(a.vm.attempts[s.index], a.id)
}

func (sm *Simulation) deliverAnswer(a *attempt, d daisyroute.Deliver) {
	c := sm.callByID(d.Request)
	if c.ended || a == nil || a.call != c {
		sm.tally.Mismatched++
		return
	}
	sm.endCall(c)
	answer, ok := a.outcome.(daisyrequest.Answered)
	if !ok {
		sm.tally.Mismatched++
		return
	}
	sm.tally.recordAnswer(sm, c, answer)
}

func (sm *Simulation) failCall(d daisyroute.Fail) {
	c := sm.callByID(d.Request)
	if c.ended {
		sm.tally.Mismatched++
		return
	}
	sm.endCall(c)
	c.reportedNotRun = reportsNotRun(d.Failure)
	sm.tally.recordFailure(c, d)
}

func reportsNotRun(f daisyrequest.Failure) bool {
	switch f := f.(type) {
	case daisyrequest.Overloaded, daisyrequest.NoEndpoint, daisyrequest.Quarantined:
		return true
	case daisyrequest.DeadlinePassed:
		return f.Run == daisyrequest.NotRun
	case daisyrequest.EndpointFailed:
		return false
	}
	return false
}

func (sm *Simulation) startProbe(v *vm, s *service, d daisyroute.Probe) {
	e := s.endpoints[d.Endpoint]
	sm.tally.Probes++
	e.arrivals = append(e.arrivals, sm.now.Add(sm.scenario.Fleet.delay(v.Zone, e.Zone)).Sub(sm.start))
	after := 2*sm.scenario.Fleet.delay(v.Zone, e.Zone) + probeWork
	report := sm.loadReport(e)
	report.ColdFor = e.coldFor(sm.now)
	sm.schedule(after, probeFinished{vm: v, service: s, endpoint: e, address: d.Endpoint, report: report, failed: e.down})
}

func (sm *Simulation) finishProbe(e probeFinished) {
	if e.failed {
		sm.handle(e.vm, e.service, daisyroute.ProbeFailed{Endpoint: e.address})
		return
	}
	sm.handle(e.vm, e.service, daisyroute.ReportReceived{Endpoint: e.address, Report: e.report})
}

func (sm *Simulation) endCall(c *call) {
	c.ended = true
	sm.openCalls--
}
