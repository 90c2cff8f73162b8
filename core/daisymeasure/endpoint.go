package daisymeasure

import (
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrequest"
)

const (
	// maxQueued is the number of requests that an endpoint queues while all its
	// slots are in use, before it sheds.
	maxQueued = 3
	// failFastDelay is how long a fail-fast endpoint takes to answer with an error.
	failFastDelay = 500 * time.Microsecond
)

// endpoint simulates a server.
type endpoint struct {
	daisyendpoint.Endpoint
	working  []*attempt
	queue    []*attempt
	slowdown float64
	failFast bool
	draining bool
	down     bool
	// rateLimit is the limit that the endpoint names, and arrivals the times at which
	// attempts and probes reached it.
	rateLimit daisyendpoint.RateLimit
	arrivals  []time.Duration
	coldUntil time.Time
	// history contains past loads, for delayed reports.
	history []loadSample
}

// loadSample is the number of requests at an endpoint from a time on.
type loadSample struct {
	at       time.Time
	inFlight int
}

// attemptState is the state of an attempt at its endpoint.
type attemptState int

const (
	inTransit attemptState = iota
	queued
	working
	done
)

func (sm *Simulation) receiveAttempt(a *attempt) {
	e := a.endpoint
	if a.misdirected() {
		if a.state != done {
			sm.respond(a, daisyrequest.Misdirected{})
		}
		return
	}
	e.arrivals = append(e.arrivals, sm.now.Sub(sm.start))
	switch {
	case a.state == done:
	case e.down:
		sm.respond(a, daisyrequest.NotSent{})
	case e.failFast:
		a.call.startCount++
		sm.schedule(failFastDelay, workFinished{attempt: a})
		a.state = working
	case len(e.working) < e.Slots:
		sm.startWork(a)
	case len(e.queue) < maxQueued:
		a.state = queued
		e.queue = append(e.queue, a)
	default:
		sm.respond(a, daisyrequest.Shed{})
	}
}

func (sm *Simulation) startWork(a *attempt) {
	e := a.endpoint
	a.state = working
	a.call.startCount++
	e.working = append(e.working, a)
	sm.recordLoad(e)
	sm.schedule(time.Duration(e.slowdown*float64(a.work)), workFinished{attempt: a})
}

func (sm *Simulation) finishWork(a *attempt) {
	if a.state != working {
		return
	}
	e := a.endpoint
	status := 200
	if !remove(&e.working, a) {
		status = 500
	}
	sm.recordLoad(e)
	sm.respond(a, daisyrequest.Answered{Status: status})
	sm.startQueued(e)
}

// respond ends an attempt at its endpoint and sends the outcome to its VM.
func (sm *Simulation) respond(a *attempt, outcome daisyrequest.Outcome) {
	a.state = done
	if c, ok := sm.policy.(CentralQueue); ok {
		sm.endCentral(c, a)
		return
	}
	r := sm.loadReport(a.endpoint)
	if _, ok := outcome.(daisyrequest.Answered); !ok || sm.scenario.NoReports {
		r = daisyendpoint.Report{}
	}
	sm.schedule(sm.scenario.Fleet.delay(a.vm.Zone, a.endpoint.Zone), outcomeReceived{attempt: a, outcome: outcome, report: r, rateLimit: a.endpoint.rateLimit})
}

// startQueued starts queued attempts in free slots.
func (sm *Simulation) startQueued(e *endpoint) {
	for len(e.working) < e.Slots && len(e.queue) > 0 && !e.down {
		a := e.queue[0]
		e.queue = e.queue[1:]
		sm.startWork(a)
	}
}

// cancelAtEndpoint ends a canceled attempt at its endpoint and frees its slot.
func (sm *Simulation) cancelAtEndpoint(a *attempt) {
	e := a.endpoint
	if a.state == done {
		return
	}
	a.state = done
	remove(&e.working, a)
	remove(&e.queue, a)
	sm.recordLoad(e)
	sm.startQueued(e)
}

// remove removes an attempt from a list and reports whether the list contained it.
func remove(list *[]*attempt, a *attempt) bool {
	for i, x := range *list {
		if x == a {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// crash breaks off all attempts at an endpoint.
func (sm *Simulation) crash(e *endpoint) {
	e.down = true
	lost := append(e.working, e.queue...)
	e.working, e.queue = nil, nil
	for _, a := range lost {
		sm.respond(a, daisyrequest.BrokenOff{})
	}
}

func (sm *Simulation) recordLoad(e *endpoint) {
	if sm.scenario.ReportAge > 0 {
		e.history = append(e.history, loadSample{at: sm.now, inFlight: len(e.working) + len(e.queue)})
	}
}

// loadReport returns the load report of an endpoint, with the delay and the
// probability of false values that the scenario defines.
func (sm *Simulation) loadReport(e *endpoint) daisyendpoint.Report {
	r := daisyendpoint.Report{At: sm.now, InFlight: len(e.working) + len(e.queue), Slots: e.Slots, Draining: e.draining, RateLimit: e.rateLimit}
	if sm.scenario.ReportAge > 0 {
		r.InFlight = e.loadAt(sm.now.Add(-sm.scenario.ReportAge))
	}
	if sm.scenario.FalseReportShare > 0 && sm.reportRandom.Float64() < sm.scenario.FalseReportShare {
		r.InFlight = sm.reportRandom.IntN(2 * e.Slots)
	}
	return r
}

// loadAt returns the load at a past time. It drops older samples, so the time must
// not decrease from call to call.
func (e *endpoint) loadAt(at time.Time) int {
	for len(e.history) > 1 && !e.history[1].at.After(at) {
		e.history = e.history[1:]
	}
	if len(e.history) == 0 || e.history[0].at.After(at) {
		return 0
	}
	return e.history[0].inFlight
}
