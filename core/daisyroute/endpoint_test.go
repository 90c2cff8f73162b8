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

func newReport(h *harness, endpoint int, draining bool) daisyroute.ReportReceived {
	return daisyroute.ReportReceived{
		Endpoint: address(endpoint),
		Report:   daisyendpoint.Report{At: h.now, Slots: 2, Draining: draining},
	}
}

// usedEndpoints sends many requests and returns the endpoints that get at least one.
func usedEndpoints(h *harness) map[int]bool {
	used := make(map[int]bool)
	for range 100 {
		s := h.send(h.request(1))
		for i := range 5 {
			if s.Endpoint == address(i) {
				used[i] = true
			}
		}
		h.now = h.now.Add(time.Millisecond)
		h.answer(s.Attempt, 200, time.Millisecond)
	}
	return used
}

func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	peerReport := func(h *harness) daisyroute.Event {
		r := newReport(h, 0, true)
		return daisyroute.PeerMessage{From: "vm-1", Message: daisymessage.EndpointNews{Service: newService(0, 0).ID, Address: r.Endpoint, Report: r.Report}}
	}
	operatorDrain := func(*harness) daisyroute.Event {
		s := newService(5, 2)
		s.Endpoints[0].Draining = true
		return daisyroute.ServiceChanged{Service: s}
	}
	cases := []struct {
		name  string
		event func(h *harness) daisyroute.Event
		// expires is set if the draining ends without a further event.
		expires bool
	}{
		{name: "reported by the endpoint", event: func(h *harness) daisyroute.Event { return newReport(h, 0, true) }, expires: true},
		{name: "reported by another VM", event: peerReport, expires: true},
		{name: "declared by an operator", event: operatorDrain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newService(5, 2), nil)
			assert.Assert(t, usedEndpoints(h)[0])
			all := h.handle(c.event(h))
			assert.Equal(t, single[daisyroute.EndpointChanged](t, all).Condition, daisyroute.Draining)
			assert.Assert(t, !usedEndpoints(h)[0])
			h.advance(time.Minute)
			assert.Equal(t, usedEndpoints(h)[0], c.expires)
		})
	}
}

func TestProbesRenewTheReportOfDraining(t *testing.T) {
	h := newHarness(t, newService(5, 2), nil)
	h.handle(newReport(h, 0, true))
	for range 30 {
		for _, p := range ofType[daisyroute.Probe](h.advance(time.Second)) {
			h.handle(daisyroute.ReportReceived{Endpoint: p.Endpoint, Report: daisyendpoint.Report{Slots: 2, Draining: p.Endpoint == address(0)}})
		}
		assert.Assert(t, !usedEndpoints(h)[0])
	}
	h.handle(newReport(h, 0, false))
	assert.Assert(t, usedEndpoints(h)[0])
}

func TestUnresponsiveDrainingEndpointIsUsedAgain(t *testing.T) {
	h := newHarness(t, newService(5, 2), nil)
	h.handle(newReport(h, 0, true))
	seconds := 0
	for !usedEndpoints(h)[0] {
		for _, p := range ofType[daisyroute.Probe](h.advance(time.Second)) {
			h.handle(daisyroute.ProbeFailed{Endpoint: p.Endpoint})
		}
		seconds++
	}
	assert.Assert(t, seconds >= 5 && seconds <= 70, "unused for %d s", seconds)
}

func TestPeersAreNotifiedOnceOfDraining(t *testing.T) {
	vms := []daisyvm.VM{self, {Name: "vm-1"}, {Name: "vm-2"}}
	h := newHarness(t, newService(5, 2), nil)
	h.handle(daisyroute.PeersChanged{VMs: vms})
	assert.Equal(t, len(ofType[daisyroute.SendMessage](h.handle(newReport(h, 0, true)))), 2)
	assert.Equal(t, len(ofType[daisyroute.SendMessage](h.handle(newReport(h, 0, true)))), 0)
	assert.Equal(t, len(ofType[daisyroute.SendMessage](h.handle(newReport(h, 0, false)))), 2)
	assert.Equal(t, len(ofType[daisyroute.SendMessage](h.handle(newReport(h, 1, false)))), 0)
}

func TestOnlyTheOwnerProbes(t *testing.T) {
	vms := []daisyvm.VM{{Name: "vm-0"}, {Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
	probing := 0
	for _, v := range vms {
		h := newHarness(t, newService(5, 2), nil)
		h.dispatcher = daisyroute.NewDispatcher(daisyroute.Options{Self: v, Service: newService(5, 2), Random: rand.New(rand.NewPCG(1, 2))})
		h.handle(daisyroute.PeersChanged{VMs: vms})
		if len(ofType[daisyroute.Probe](h.advance(20*time.Second))) > 0 {
			probing++
		}
	}
	assert.Equal(t, probing, 1)
}

func TestBusyEndpointsAreNotProbed(t *testing.T) {
	h := newHarness(t, newService(3, 2), nil)
	for range 200 {
		usedEndpoints(h)
		assert.Equal(t, len(ofType[daisyroute.Probe](h.advance(100*time.Millisecond))), 0)
	}
}

func TestShedRequestIsRetriedElsewhereAndTheEndpointBacksOff(t *testing.T) {
	h := newHarness(t, newService(2, 1), nil)
	h.warmUp(1, 40*time.Millisecond)
	s := h.send(h.request(1))
	again := single[daisyroute.Send](t, h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.Shed{}, Resendable: true}))
	assert.Assert(t, again.Endpoint != s.Endpoint)
	assert.Equal(t, len(h.arrive(h.request(1))), 0)
	assert.Equal(t, single[daisyroute.Send](t, h.advance(time.Second/2)).Endpoint, s.Endpoint)
}

func TestFailFastEndpointGetsFewRequests(t *testing.T) {
	faults := []struct {
		name    string
		outcome daisyrequest.Outcome
	}{
		{"server errors", daisyrequest.Answered{Status: 500, ResponseTime: 500 * time.Microsecond}},
		{"refused connections", daisyrequest.NotSent{}},
		{"broken connections", daisyrequest.BrokenOff{}},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newService(15, 3), nil)
			failed, total := 0, 0
			for h.now.Before(start.Add(20 * time.Second)) {
				r := h.request(0)
				r.Idempotent, r.Hedgeable = true, true
				s := h.send(r)
				counted := h.now.After(start.Add(time.Second))
				for open := []daisyroute.Send{s}; len(open) > 0; open = open[1:] {
					if counted {
						total++
					}
					if open[0].Endpoint != address(0) {
						h.now = h.now.Add(5 * time.Millisecond)
						h.answer(open[0].Attempt, 200, 5*time.Millisecond)
						continue
					}
					if counted {
						failed++
					}
					again := h.handle(daisyroute.AttemptResolved{Attempt: open[0].Attempt, Outcome: c.outcome, Resendable: true})
					open = append(open, ofType[daisyroute.Send](again)...)
					h.handle(daisyroute.AttemptReleased{Attempt: open[0].Attempt})
				}
				h.advance(0)
			}
			assert.Assert(t, failed > 0 && float64(failed) < 0.02*float64(total), "%d of %d attempts at the faulty endpoint", failed, total)
		})
	}
}

func TestHungEndpointIsEjectedBeforeItAnswers(t *testing.T) {
	h := newHarness(t, newService(10, 1), daisyroute.Random{})
	h.warmUp(0, usualTime)
	hung := make(map[int]bool)
	for h.now.Before(start.Add(60*time.Second)) && len(ofType[daisyroute.EndpointChanged](h.decisions)) == 0 {
		s := h.send(h.request(0))
		if s.Endpoint == address(3) {
			hung[3] = true
			break
		}
		h.now = h.now.Add(usualTime)
		h.answer(s.Attempt, 200, usualTime)
	}
	assert.Assert(t, hung[3])
	changed := single[daisyroute.EndpointChanged](t, h.advance(20*usualTime))
	assert.Equal(t, changed, daisyroute.EndpointChanged{Endpoint: address(3), Condition: daisyroute.EjectedSlow})
}

func TestNewEndpointStartsWithOneAttempt(t *testing.T) {
	h := newHarness(t, newService(1, 2), nil)
	h.handle(daisyroute.TimePassed{})
	h.handle(daisyroute.ServiceChanged{Service: newService(2, 4)})
	newEndpointSends := 0
	for range 8 {
		for _, s := range ofType[daisyroute.Send](h.arrive(h.request(2))) {
			if s.Endpoint == address(1) {
				newEndpointSends++
			}
		}
	}
	assert.Equal(t, newEndpointSends, 1)
	assert.Equal(t, h.dispatcher.Demand(2).Waiting, uint32(3))
	assert.Equal(t, h.dispatcher.Demand(2).InFlight, uint32(5))
	assert.Equal(t, h.dispatcher.Spare(), 0)
}

// failOne lets endpoint 1 fail a request, unless it is ejected, while endpoint 0
// answers others.
func failOne(h *harness) {
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
		h.answer(s.Attempt, status, time.Millisecond)
	}
}

func TestLastEndpointIsNotEjected(t *testing.T) {
	drained := newService(2, 2)
	drained.Endpoints[0].Draining = true
	removed := newService(2, 2)
	removed.Endpoints = removed.Endpoints[1:]
	cases := []struct {
		name string
		// event leaves endpoint 1 as the only usable endpoint.
		event func(h *harness) daisyroute.Event
	}{
		{"other endpoint drained by an operator", func(*harness) daisyroute.Event { return daisyroute.ServiceChanged{Service: drained} }},
		{"other endpoint reports draining", func(h *harness) daisyroute.Event { return newReport(h, 0, true) }},
		{"other endpoint removed", func(*harness) daisyroute.Event { return daisyroute.ServiceChanged{Service: removed} }},
	}
	for _, c := range cases {
		for _, failures := range []int{0, 10} {
			t.Run(fmt.Sprintf("%s after %d failures", c.name, failures), func(t *testing.T) {
				h := newHarness(t, newService(2, 2), nil)
				for range failures {
					failOne(h)
				}
				h.handle(c.event(h))
				for range 20 {
					s := h.send(h.request(1))
					assert.Equal(t, s.Endpoint, address(1))
					h.now = h.now.Add(time.Millisecond)
					h.answer(s.Attempt, 500, time.Millisecond)
				}
			})
		}
	}
}
