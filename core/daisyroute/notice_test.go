package daisyroute_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// answerWithNotice answers an attempt with a notice of the endpoint.
func (h *harness) answerWithNotice(attempt daisyrequest.AttemptID, notice daisyendpoint.Notice) []daisyroute.Decision {
	all := h.handle(daisyroute.AttemptResolved{Attempt: attempt, Outcome: daisyrequest.Answered{Status: 200, ResponseTime: 20 * time.Millisecond}, Notice: notice})
	return append(all, h.handle(daisyroute.AttemptReleased{Attempt: attempt})...)
}

// incarnations returns the service with endpoints that declare their incarnations.
func incarnations(endpoints, slots int) daisyservice.Service {
	s := newService(endpoints, slots)
	for i := range s.Endpoints {
		s.Endpoints[i].Instance, s.Endpoints[i].Started = daisyendpoint.Instance(address(i).String()), 1
	}
	return s
}

func newNoticeHarness(t *testing.T, endpoints int, policy daisyroute.Policy) *harness {
	h := newHarness(t, incarnations(endpoints, 2), policy)
	h.handle(daisyroute.PeersChanged{VMs: []daisyvm.VM{self}})
	return h
}

// sendUntil sends requests until one goes to the endpoint, and returns its attempt.
func (h *harness) sendUntil(t *testing.T, endpoint int) daisyrequest.AttemptID {
	t.Helper()
	for range 200 {
		s := h.sendOne(t)
		if s.Endpoint == address(endpoint) {
			return s.Attempt
		}
		h.answerWithNotice(s.Attempt, nil)
	}
	t.Fatalf("no request was sent to %v", address(endpoint))
	return 0
}

// sendsTo sends requests over a time and returns how many went to the endpoint.
func (h *harness) sendsTo(t *testing.T, endpoint int, length time.Duration) int {
	t.Helper()
	n := 0
	for end := h.now.Add(length); h.now.Before(end); {
		s := h.sendOne(t)
		if s.Endpoint == address(endpoint) {
			n++
		}
		h.answerWithNotice(s.Attempt, nil)
		h.advance(20 * time.Millisecond)
	}
	return n
}

// Guards against work for an endpoint that said in an answer that it leaves: later
// requests, and all credits, trials and probes for it.
func TestLeavingEndpointGetsNothingFromItsAnswerOn(t *testing.T) {
	for name, p := range ratePolicies {
		h := newNoticeHarness(t, 3, p)
		h.answerWithNotice(h.sendUntil(t, 0), daisyendpoint.Leaving{})
		assert.Equal(t, h.sendsTo(t, 0, 20*time.Second), 0, name)
		status, _ := h.dispatcher.Endpoint(h.now, address(0))
		assert.Equal(t, status.Condition, daisyroute.Leaving, name)
	}
}

// Guards against a registration that declares the incarnation that leaves as if it were in
// use: read late, restored, passed on by another VM, or made anew after a removal.
func TestDeclaringALeavingIncarnationAgainDoesNotBringItBack(t *testing.T) {
	for name, p := range ratePolicies {
		h := newNoticeHarness(t, 3, p)
		h.answerWithNotice(h.sendUntil(t, 0), daisyendpoint.Leaving{})
		without := incarnations(3, 2)
		without.Endpoints = without.Endpoints[1:]
		h.handle(daisyroute.ServiceChanged{Service: without})
		h.advance(time.Minute)
		h.handle(daisyroute.ServiceChanged{Service: incarnations(3, 2)})
		assert.Equal(t, h.sendsTo(t, 0, 10*time.Second), 0, name)
	}
}

// Guards against an address that stays out of use after a later incarnation has started
// there, and against a late answer of the earlier one that takes the later one away.
func TestLaterIncarnationIsUsed(t *testing.T) {
	for name, p := range ratePolicies {
		h := newNoticeHarness(t, 3, p)
		h.answerWithNotice(h.sendUntil(t, 0), daisyendpoint.Leaving{})
		late := h.sendUntil(t, 1)
		later := incarnations(3, 2)
		later.Endpoints[0].Started, later.Endpoints[1].Started = 2, 2
		h.handle(daisyroute.ServiceChanged{Service: later})
		h.answerWithNotice(late, daisyendpoint.Leaving{})
		assert.Check(t, h.sendsTo(t, 0, 10*time.Second) > 0, name)
		assert.Check(t, h.sendsTo(t, 1, 10*time.Second) > 0, name)
	}
}

// Guards against requests that wait in vain, and against a promise to serve them, when all
// endpoints leave.
func TestRequestsAreRefusedAtOnceIfAllEndpointsLeave(t *testing.T) {
	h := newNoticeHarness(t, 2, daisyroute.Credits{Lending: daisycredit.OnDemand{}})
	for i := range 2 {
		h.answerWithNotice(h.sendUntil(t, i), daisyendpoint.Leaving{})
	}
	failed := single[daisyroute.Fail](t, h.arrive(h.request(0)))
	assert.Equal(t, failed.Cause, daisyroute.NoneUsable)
	assert.Equal(t, failed.Failure, daisyrequest.Failure(daisyrequest.NoEndpoint{RetryAfter: time.Second}))
}

// Guards against VMs that have to be told by an answer of their own what another one knows,
// and against a VM that uses an endpoint again after its restart.
func TestOtherVMsAreToldOfALeavingEndpoint(t *testing.T) {
	h := newNoticeHarness(t, 3, daisyroute.Credits{Lending: daisycredit.OnDemand{}})
	other := daisyvm.VM{Name: "vm-1", Incarnation: 1}
	h.handle(daisyroute.PeersChanged{VMs: []daisyvm.VM{self, other}})
	h.advance(time.Second)
	told := func(decisions []daisyroute.Decision) (news []daisymessage.EndpointLeaving) {
		for _, m := range ofType[daisyroute.SendMessage](decisions) {
			if n, ok := m.Message.(daisymessage.EndpointLeaving); ok && m.To == other.Name {
				news = append(news, n)
			}
		}
		return news
	}
	news := told(h.answerWithNotice(h.sendUntil(t, 0), daisyendpoint.Leaving{}))
	assert.Equal(t, len(news), 1)
	assert.Equal(t, news[0].Endpoint, incarnations(1, 2).Endpoints[0].Identity())

	informed := newNoticeHarness(t, 3, daisyroute.Credits{Lending: daisycredit.OnDemand{}})
	decisions := informed.handle(daisyroute.PeerMessage{From: self.Name, Message: news[0]})
	assert.Equal(t, len(told(decisions)), 0, "news is passed on once")
	assert.Equal(t, informed.sendsTo(t, 0, 10*time.Second), 0)

	h.handle(daisyroute.PeersChanged{VMs: []daisyvm.VM{self}})
	restarted := daisyvm.VM{Name: other.Name, Incarnation: 2}
	again := told(h.handle(daisyroute.PeersChanged{VMs: []daisyvm.VM{self, restarted}}))
	assert.Equal(t, len(again), 1, "a VM that has started is told, whoever owns the service")
}

// Guards against more than the odd request, trial or probe for an endpoint while the pause
// that it asked for lasts, and against an endpoint that is not used after it.
func TestPausingEndpointGetsNothingUntilItsEnd(t *testing.T) {
	for name, p := range ratePolicies {
		h := newNoticeHarness(t, 3, p)
		attempt := h.sendUntil(t, 0)
		pause := daisyendpoint.NewPause(6 * time.Second)
		h.handle(daisyroute.AttemptResolved{Attempt: attempt, Outcome: daisyrequest.Shed{}, Resendable: true, Notice: pause})
		end := h.now.Add(6 * time.Second)
		probes := 0
		for h.now.Before(end.Add(-50 * time.Millisecond)) {
			s := h.sendOne(t)
			assert.Check(t, s.Endpoint != address(0) || !h.now.Before(end), "%s: sent %v before the end", name, end.Sub(h.now))
			h.answerWithNotice(s.Attempt, nil)
			for _, d := range ofType[daisyroute.Probe](h.advance(20 * time.Millisecond)) {
				if d.Endpoint == address(0) && h.now.Before(end) {
					probes++
				}
			}
		}
		assert.Equal(t, probes, 0, name)
		h.advance(time.Second)
		assert.Check(t, h.sendsTo(t, 0, 10*time.Second) > 0, name)
	}
}

// Guards against requests that wait until their deadline although every endpoint pauses for
// longer, and against a time to return at which nothing has changed.
func TestAllEndpointsPausing(t *testing.T) {
	for name, p := range ratePolicies {
		h := newNoticeHarness(t, 2, p)
		for i := range 2 {
			h.answerWithNotice(h.sendUntil(t, i), daisyendpoint.NewPause(time.Duration(3+i)*time.Second))
		}
		failed := single[daisyroute.Fail](t, h.arrive(h.request(0)))
		assert.Equal(t, failed.Cause, daisyroute.AllPausing, name)
		notRun, ok := failed.Failure.(daisyrequest.NoEndpoint)
		assert.Check(t, ok && notRun.RetryAfter > 2*time.Second && notRun.RetryAfter <= 3*time.Second, "%s: %v", name, failed.Failure)

		patient := h.request(2)
		assert.Equal(t, len(ofType[daisyroute.Fail](h.arrive(patient))), 0, name)
		sent := 0
		for range 800 {
			decisions := h.advance(10 * time.Millisecond)
			for _, d := range ofType[daisyroute.Probe](decisions) {
				decisions = append(decisions, h.handle(daisyroute.ReportReceived{Endpoint: d.Endpoint, Report: daisyendpoint.Report{Slots: 2, Slowdown: 1}})...)
			}
			sent += len(ofType[daisyroute.Send](decisions))
		}
		assert.Equal(t, sent, 1, name)
	}
}

// Guards against waiting requests that are forgotten when the last endpoint asks for a pause.
func TestWaitingRequestsAreRefusedWhenTheLastEndpointPauses(t *testing.T) {
	h := newNoticeHarness(t, 1, daisyroute.LeastOfTwo{})
	first, second := h.send(h.request(0)), h.send(h.request(0))
	assert.Equal(t, len(ofType[daisyroute.Send](h.arrive(h.request(0)))), 0)
	failed := ofType[daisyroute.Fail](h.handle(daisyroute.AttemptResolved{Attempt: first.Attempt, Outcome: daisyrequest.Shed{}, Resendable: true, Notice: daisyendpoint.NewPause(time.Minute)}))
	assert.Equal(t, len(failed), 2)
	assert.Equal(t, len(ofType[daisyroute.Deliver](h.answer(second.Attempt, 200, time.Millisecond))), 1)
}

func TestNewPauseIsBounded(t *testing.T) {
	assert.Equal(t, daisyendpoint.NewPause(0), nil)
	assert.Equal(t, daisyendpoint.NewPause(-time.Second), nil)
	assert.Equal(t, daisyendpoint.NewPause(1500*time.Millisecond), daisyendpoint.Notice(daisyendpoint.Pausing{For: 1500 * time.Millisecond, Asked: 1500 * time.Millisecond}))
	assert.Equal(t, daisyendpoint.NewPause(48*time.Hour), daisyendpoint.Notice(daisyendpoint.Pausing{For: 10 * time.Minute, Asked: 48 * time.Hour}))
}

// Guards against an endpoint that leaves and gets new work from a VM that has just started,
// also if that VM owns the service.
func TestStartedVMsAreToldOfLeavingEndpoints(t *testing.T) {
	vms := []daisyvm.VM{self, {Name: "vm-1", Incarnation: 1}, {Name: "vm-2", Incarnation: 1}}
	for restarted := 1; restarted < len(vms); restarted++ {
		told := make(map[daisyvm.Name]int)
		for i, v := range vms {
			if i == restarted {
				continue
			}
			service := incarnations(3, 2)
			h := newHarness(t, service, nil)
			h.dispatcher = daisyroute.NewDispatcher(daisyroute.Options{Self: v, Service: service, Random: rand.New(rand.NewPCG(1, 2))})
			h.handle(daisyroute.PeersChanged{VMs: vms})
			h.handle(daisyroute.PeerMessage{From: "vm-9", Message: daisymessage.EndpointLeaving{Service: service.ID, Endpoint: service.Endpoints[0].Identity()}})
			after := append([]daisyvm.VM(nil), vms...)
			after[restarted].Incarnation++
			for _, m := range ofType[daisyroute.SendMessage](h.handle(daisyroute.PeersChanged{VMs: after})) {
				if _, ok := m.Message.(daisymessage.EndpointLeaving); ok {
					told[m.To]++
				}
			}
		}
		assert.DeepEqual(t, told, map[daisyvm.Name]int{vms[restarted].Name: 1})
	}
}
