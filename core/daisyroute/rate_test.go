package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyvm"
)

// answerWithLimit answers an attempt with a rate limit.
func (h *harness) answerWithLimit(attempt daisyrequest.AttemptID, limit daisyendpoint.RateLimit) {
	h.handle(daisyroute.AttemptResolved{Attempt: attempt, Outcome: daisyrequest.Answered{Status: 200}, RateLimit: limit})
	h.handle(daisyroute.AttemptReleased{Attempt: attempt})
}

// sendOne lets a request arrive and returns its first attempt, as soon as it is sent.
// Probes are answered at once.
func (h *harness) sendOne(t *testing.T) daisyroute.Send {
	t.Helper()
	r := h.request(2)
	decisions := h.arrive(r)
	for range 2000 {
		if sent := ofType[daisyroute.Send](decisions); len(sent) > 0 {
			h.now = h.now.Add(20 * time.Millisecond)
			return sent[0]
		}
		probes := ofType[daisyroute.Probe](decisions)
		decisions = nil
		for _, p := range probes {
			decisions = append(decisions, h.handle(daisyroute.ReportReceived{Endpoint: p.Endpoint, Report: daisyendpoint.Report{Slots: 2, Slowdown: 1}})...)
		}
		if len(probes) == 0 {
			decisions = h.advance(10 * time.Millisecond)
		}
	}
	t.Fatalf("request not sent within %v", h.now.Sub(r.Arrived))
	return daisyroute.Send{}
}

var ratePolicies = map[string]daisyroute.Policy{
	"on demand":    daisyroute.Credits{Lending: daisycredit.OnDemand{}},
	"in advance":   daisyroute.Credits{},
	"least of two": daisyroute.LeastOfTwo{},
}

// newRateHarness returns a harness of a VM that has all slots to itself.
func newRateHarness(t *testing.T, endpoints int, policy daisyroute.Policy) *harness {
	h := newHarness(t, newService(endpoints, 2), policy)
	h.handle(daisyroute.PeersChanged{VMs: []daisyvm.VM{self}})
	return h
}

// Guards against a limit that stays in force after the endpoint no longer names it.
func TestLimitEndsWithAnAnswerWithoutIt(t *testing.T) {
	for name, p := range ratePolicies {
		h := newRateHarness(t, 1, p)
		first := h.sendOne(t)
		h.answerWithLimit(first.Attempt, daisyendpoint.Limited{Interval: time.Second})
		assert.Equal(t, h.dispatcher.RateLimit(address(0)), daisyendpoint.Limited{Interval: time.Second}, name)
		second := h.sendOne(t)
		h.answerWithLimit(second.Attempt, daisyendpoint.Unlimited{})
		for range 10 {
			h.answerWithLimit(h.sendOne(t).Attempt, daisyendpoint.Unlimited{})
			assert.Check(t, h.now.Sub(start) < 4*time.Second, name)
		}
	}
}

// Guards against a limit that a late answer of the previous endpoint at the address
// brings to the new one.
func TestLateAnswerOfThePreviousIncarnationSetsNoLimit(t *testing.T) {
	for name, p := range ratePolicies {
		h := newRateHarness(t, 1, p)
		first := h.sendOne(t)
		service := newService(1, 2)
		service.Endpoints[0].Instance = "new"
		h.handle(daisyroute.ServiceChanged{Service: service})
		h.answerWithLimit(first.Attempt, daisyendpoint.Limited{Interval: time.Second})
		assert.Check(t, h.dispatcher.RateLimit(address(0)) == nil, name)
	}
}

// Guards against a request that goes to an endpoint beyond its limit while another one
// has none.
func TestRequestBeyondTheLimitGoesElsewhere(t *testing.T) {
	for name, p := range ratePolicies {
		h := newRateHarness(t, 2, p)
		limited := 0
		for range 50 {
			s := h.sendOne(t)
			if s.Endpoint == address(0) {
				limited++
				h.answerWithLimit(s.Attempt, daisyendpoint.Limited{Interval: 10 * time.Second})
				continue
			}
			h.answerWithLimit(s.Attempt, daisyendpoint.Unlimited{})
		}
		assert.Check(t, limited <= 2, "%s: %d of 50 requests", name, limited)
	}
}

// Guards against requests that wait until their deadline although the limits of all
// endpoints let them finish only long after it, and against a time to retry at which
// nothing has changed.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	h := newRateHarness(t, 2, daisyroute.Credits{Lending: daisycredit.OnDemand{}})
	limit := daisyendpoint.Limited{Interval: 2 * time.Second}
	for range 4 {
		h.answerWithLimit(h.sendOne(t).Attempt, limit)
	}
	refused := 0
	for range 30 {
		h.requests++
		for _, d := range h.handle(daisyroute.RequestArrived{Request: daisyrequest.Request{ID: h.requests, Rank: ranks[2].Name, Arrived: h.now, Deadline: h.now.Add(5 * time.Second), Idempotent: true}}) {
			f, ok := d.(daisyroute.Fail)
			if !ok {
				continue
			}
			refused++
			o, ok := f.Failure.(daisyrequest.Overloaded)
			assert.Check(t, ok && f.Waited == 0, "%+v", f)
			assert.Check(t, o.RetryAfter >= 3*time.Second, "to be sent again after %v, though one request a second is sent", o.RetryAfter)
		}
	}
	assert.Check(t, refused >= 20, "%d of 30 requests were refused at once", refused)
}

// Guards against hedges that take the place of other requests while rate limits, and not
// slots, bound what the endpoints accept.
func TestNoHedgeWhileRateLimitsLeaveSlotsUnused(t *testing.T) {
	hedges := func(limit daisyendpoint.RateLimit) int {
		h := newHarness(t, newService(5, 2), nil)
		h.warmUp(0, usualTime)
		for range 50 {
			if sent := ofType[daisyroute.Send](h.arrive(h.request(0))); len(sent) > 0 {
				h.now = h.now.Add(usualTime)
				h.answerWithLimit(sent[0].Attempt, limit)
			}
		}
		h.advance(usualTime)
		r := h.request(0)
		r.Idempotent, r.Hedgeable = true, true
		decisions := append(h.arrive(r), h.advance(2*usualTime)...)
		n := 0
		for _, s := range ofType[daisyroute.Send](decisions) {
			if s.Reason == daisyroute.Hedge {
				n++
			}
		}
		return n
	}
	assert.Equal(t, hedges(daisyendpoint.Unlimited{}), 1)
	assert.Equal(t, hedges(daisyendpoint.Limited{Interval: usualTime}), 0)
}
