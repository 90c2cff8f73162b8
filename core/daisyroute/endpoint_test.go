package daisyroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyvm"
)

func report(h *holder, endpoint int, draining bool) daisyroute.ReportReceived {
	return daisyroute.ReportReceived{
		Endpoint: address(endpoint),
		Report:   daisyendpoint.Report{At: h.now, Slots: 2, Draining: draining},
	}
}

// takers gives the endpoints that get one of many requests.
func takers(h *holder) map[int]bool {
	taken := make(map[int]bool)
	for range 100 {
		s := h.send(h.request(1))
		for i := range 5 {
			if s.Endpoint == address(i) {
				taken[i] = true
			}
		}
		h.now = h.now.Add(time.Millisecond)
		h.serve(s.Attempt, 200, time.Millisecond)
	}
	return taken
}

func TestDrainingEndpointGetsNoNewWork(t *testing.T) {
	news := func(h *holder) daisyroute.Event {
		r := report(h, 0, true)
		return daisyroute.PeerMessage{From: "vm-1", Message: daisymessage.EndpointNews{Service: newService(0, 0).ID, Address: r.Endpoint, Report: r.Report}}
	}
	operator := func(*holder) daisyroute.Event {
		s := newService(5, 2)
		s.Endpoints[0].Draining = true
		return daisyroute.ServiceChanged{Service: s}
	}
	cases := []struct {
		name  string
		event func(h *holder) daisyroute.Event
		// lapses says that the drain ends by itself.
		lapses bool
	}{
		{name: "by its own report", event: func(h *holder) daisyroute.Event { return report(h, 0, true) }, lapses: true},
		{name: "by another VM", event: news, lapses: true},
		{name: "by an operator", event: operator},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHolder(t, newService(5, 2), nil)
			assert.Assert(t, takers(h)[0])
			all := h.handle(c.event(h))
			assert.Equal(t, one[daisyroute.EndpointChanged](t, all).Condition, daisyroute.Draining)
			assert.Assert(t, !takers(h)[0])
			h.pass(time.Minute)
			assert.Equal(t, takers(h)[0], c.lapses)
		})
	}
}

func TestReportOfDrainingIsRenewedByProbes(t *testing.T) {
	h := newHolder(t, newService(5, 2), nil)
	h.handle(report(h, 0, true))
	for range 30 {
		for _, p := range of[daisyroute.Probe](h.pass(time.Second)) {
			h.handle(daisyroute.ReportReceived{Endpoint: p.Endpoint, Report: daisyendpoint.Report{Slots: 2, Draining: p.Endpoint == address(0)}})
		}
		assert.Assert(t, !takers(h)[0])
	}
	h.handle(report(h, 0, false))
	assert.Assert(t, takers(h)[0])
}

func TestDrainingEndpointThatWentAwayStaysOutForAMinute(t *testing.T) {
	h := newHolder(t, newService(5, 2), nil)
	h.handle(report(h, 0, true))
	out := 0
	for !takers(h)[0] {
		for _, p := range of[daisyroute.Probe](h.pass(time.Second)) {
			h.handle(daisyroute.ProbeFailed(p))
		}
		out++
	}
	assert.Assert(t, out >= 5 && out <= 70, "%d s", out)
}

func TestNewsOfDrainingGoesToPeersOnce(t *testing.T) {
	vms := []daisyvm.VM{self, {Name: "vm-1"}, {Name: "vm-2"}}
	h := newHolder(t, newService(5, 2), nil)
	h.handle(daisyroute.PeersChanged{VMs: vms})
	assert.Equal(t, len(of[daisyroute.Tell](h.handle(report(h, 0, true)))), 2)
	assert.Equal(t, len(of[daisyroute.Tell](h.handle(report(h, 0, true)))), 0)
	assert.Equal(t, len(of[daisyroute.Tell](h.handle(report(h, 0, false)))), 2)
	assert.Equal(t, len(of[daisyroute.Tell](h.handle(report(h, 1, false)))), 0)
}

func TestOnlyTheOwnerProbes(t *testing.T) {
	vms := []daisyvm.VM{{Name: "vm-0"}, {Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
	probing := 0
	for _, v := range vms {
		h := newHolder(t, newService(5, 2), nil)
		h.dispatcher = daisyroute.NewDispatcher(daisyroute.Options{Self: v, Service: newService(5, 2), Random: rand.New(rand.NewPCG(1, 2))})
		h.handle(daisyroute.PeersChanged{VMs: vms})
		if len(of[daisyroute.Probe](h.pass(20*time.Second))) > 0 {
			probing++
		}
	}
	assert.Equal(t, probing, 1)
}

func TestBusyEndpointsAreNotProbed(t *testing.T) {
	h := newHolder(t, newService(3, 2), nil)
	for range 200 {
		takers(h)
		assert.Equal(t, len(of[daisyroute.Probe](h.pass(100*time.Millisecond))), 0)
	}
}

func TestShedRequestGoesElsewhereAndTheEndpointRests(t *testing.T) {
	h := newHolder(t, newService(2, 1), nil)
	h.teach(1, 40*time.Millisecond)
	s := h.send(h.request(1))
	again := one[daisyroute.Send](t, h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.Shed{}, Resendable: true}))
	assert.Assert(t, again.Endpoint != s.Endpoint)
	assert.Equal(t, len(h.arrive(h.request(1))), 0)
	assert.Equal(t, one[daisyroute.Send](t, h.pass(time.Second/2)).Endpoint, s.Endpoint)
}

func TestFailFastEndpointAttractsNoWork(t *testing.T) {
	faults := []struct {
		name    string
		outcome daisyrequest.Outcome
	}{
		{"server errors", daisyrequest.Answered{Status: 500, Took: 500 * time.Microsecond}},
		{"refused connections", daisyrequest.NotSent{}},
		{"broken connections", daisyrequest.BrokenOff{}},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			h := newHolder(t, newService(15, 3), nil)
			bad, all := 0, 0
			for h.now.Before(start.Add(20 * time.Second)) {
				r := h.request(0)
				r.Idempotent, r.Hedgeable = true, true
				s := h.send(r)
				counted := h.now.After(start.Add(time.Second))
				for open := []daisyroute.Send{s}; len(open) > 0; open = open[1:] {
					if counted {
						all++
					}
					if open[0].Endpoint != address(0) {
						h.now = h.now.Add(5 * time.Millisecond)
						h.serve(open[0].Attempt, 200, 5*time.Millisecond)
						continue
					}
					if counted {
						bad++
					}
					again := h.handle(daisyroute.AttemptResolved{Attempt: open[0].Attempt, Outcome: c.outcome, Resendable: true})
					open = append(open, of[daisyroute.Send](again)...)
					h.handle(daisyroute.AttemptReleased{Attempt: open[0].Attempt})
				}
				h.pass(0)
			}
			assert.Assert(t, bad > 0 && float64(bad) < 0.02*float64(all), "%d of %d", bad, all)
		})
	}
}

func TestHungEndpointIsFoundBeforeItAnswers(t *testing.T) {
	h := newHolder(t, newService(10, 1), daisyroute.Random{})
	h.teach(0, usual)
	hung := make(map[int]bool)
	for h.now.Before(start.Add(60*time.Second)) && len(of[daisyroute.EndpointChanged](h.decisions)) == 0 {
		s := h.send(h.request(0))
		if s.Endpoint == address(3) {
			hung[3] = true
			break
		}
		h.now = h.now.Add(usual)
		h.serve(s.Attempt, 200, usual)
	}
	assert.Assert(t, hung[3])
	changed := one[daisyroute.EndpointChanged](t, h.pass(20*usual))
	assert.Equal(t, changed, daisyroute.EndpointChanged{Endpoint: address(3), Condition: daisyroute.EjectedSlow})
}

func TestNewEndpointStartsWithOneAttempt(t *testing.T) {
	h := newHolder(t, newService(1, 2), nil)
	h.handle(daisyroute.TimePassed{})
	h.handle(daisyroute.ServiceChanged{Service: newService(2, 4)})
	got := 0
	for range 8 {
		for _, s := range of[daisyroute.Send](h.arrive(h.request(2))) {
			if s.Endpoint == address(1) {
				got++
			}
		}
	}
	assert.Equal(t, got, 1)
	assert.Equal(t, h.dispatcher.Demand(2).Waiting, uint32(3))
	assert.Equal(t, h.dispatcher.Demand(2).InFlight, uint32(5))
	assert.Equal(t, h.dispatcher.Spare(), 0)
}

// failOne keeps endpoint 0 at work while endpoint 1, unless ejected, fails a request.
func failOne(h *holder) {
	if h.dispatcher.Endpoints(h.now)[1].Condition == daisyroute.EjectedFaulty {
		return
	}
	sends := []daisyroute.Send{h.send(h.request(1)), h.send(h.request(1)), h.send(h.request(1))}
	h.now = h.now.Add(time.Millisecond)
	for _, s := range sends {
		status := 200
		if s.Endpoint == address(1) {
			status = 500
		}
		h.serve(s.Attempt, status, time.Millisecond)
	}
}

func TestLastEndpointIsNotEjected(t *testing.T) {
	operator := newService(2, 2)
	operator.Endpoints[0].Draining = true
	alone := newService(2, 2)
	alone.Endpoints = alone.Endpoints[1:]
	cases := []struct {
		name string
		// event leaves endpoint 1 alone.
		event func(h *holder) daisyroute.Event
	}{
		{"its sibling drains by an operator", func(*holder) daisyroute.Event { return daisyroute.ServiceChanged{Service: operator} }},
		{"its sibling reports that it drains", func(h *holder) daisyroute.Event { return report(h, 0, true) }},
		{"its sibling is removed", func(*holder) daisyroute.Event { return daisyroute.ServiceChanged{Service: alone} }},
	}
	for _, c := range cases {
		for _, failures := range []int{0, 10} {
			t.Run(fmt.Sprintf("%s after %d failures", c.name, failures), func(t *testing.T) {
				h := newHolder(t, newService(2, 2), nil)
				for range failures {
					failOne(h)
				}
				h.handle(c.event(h))
				for range 20 {
					s := h.send(h.request(1))
					assert.Equal(t, s.Endpoint, address(1))
					h.now = h.now.Add(time.Millisecond)
					h.serve(s.Attempt, 500, time.Millisecond)
				}
			})
		}
	}
}
