package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

var coldLimit = daisyendpoint.Limited{Interval: 250 * time.Millisecond}

// coldService returns a service of one endpoint that tolerates 4 requests per second while
// it is cold, and is cold for 10 s after a start.
func coldService(instance daisyendpoint.Instance, coldFor time.Duration) daisyservice.Service {
	s := newService(1, 2)
	s.ColdRate, s.ColdStart = 4, 10*time.Second
	s.Endpoints[0].Instance, s.Endpoints[0].ColdFor = instance, coldFor
	return s
}

func newColdHarness(t *testing.T, service daisyservice.Service) *harness {
	h := newRateHarness(t, 1, daisyroute.Credits{})
	h.dispatcher = newHarness(t, service, daisyroute.Credits{}).dispatcher
	h.handle(daisyroute.PeersChanged{VMs: []daisyvm.VM{self}})
	return h
}

// coldAt reports whether the endpoint is limited at a time from the start.
func (h *harness) coldAt(at time.Duration) bool {
	h.advance(start.Add(at).Sub(h.now))
	h.handle(daisyroute.TimePassed{})
	return h.dispatcher.RateLimit(address(0)) != nil
}

// Guards against coldness that a declaration which counts down, or comes late, shortens, and
// against a log line for each.
func TestDeclarationsDoNotShortenTheColdness(t *testing.T) {
	h := newColdHarness(t, coldService("a", 8*time.Second))
	changes := ofType[daisyroute.RateLimitChanged](h.decisions)
	for i := range 7 {
		h.advance(time.Second)
		left := time.Duration(7-i)*time.Second - 500*time.Millisecond
		changes = append(changes, ofType[daisyroute.RateLimitChanged](h.handle(daisyroute.ServiceChanged{Service: coldService("a", left)}))...)
	}
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0], daisyroute.RateLimitChanged{Endpoint: address(0), RateLimit: coldLimit, VMs: 1, ColdFor: 8 * time.Second})
	h.handle(daisyroute.ServiceChanged{Service: coldService("a", 0)})
	assert.Check(t, h.coldAt(7900*time.Millisecond))
	assert.Check(t, !h.coldAt(8100*time.Millisecond))
	status, _ := h.dispatcher.Endpoint(h.now, address(0))
	assert.Equal(t, status.Condition, daisyroute.Ramping)
}

// Guards against a repeated declaration that prolongs the coldness without end.
func TestRepeatedDeclarationIsNoNews(t *testing.T) {
	h := newColdHarness(t, coldService("a", 3*time.Second))
	for range 4 {
		h.advance(500 * time.Millisecond)
		h.handle(daisyroute.ServiceChanged{Service: coldService("a", 3*time.Second)})
	}
	assert.Check(t, h.coldAt(2900*time.Millisecond))
	assert.Check(t, !h.coldAt(3100*time.Millisecond))
}

// Guards against a new incarnation that is cold as long as the one before it.
func TestNewIncarnationHasItsOwnColdness(t *testing.T) {
	h := newColdHarness(t, coldService("a", 60*time.Second))
	h.handle(daisyroute.ServiceChanged{Service: coldService("b", 2*time.Second)})
	assert.Check(t, h.coldAt(1900*time.Millisecond))
	assert.Check(t, !h.coldAt(2100*time.Millisecond))
}

// Guards against endpoints that crash because nobody says that they have just started, and
// against cold ones after the start of the VM or a lapse of a registration.
func TestIncarnationThatStartsWhileServingIsCold(t *testing.T) {
	h := newColdHarness(t, coldService("a", 0))
	assert.Check(t, !h.coldAt(0))
	without := coldService("a", 0)
	without.Endpoints = nil
	h.handle(daisyroute.ServiceChanged{Service: without})
	h.handle(daisyroute.ServiceChanged{Service: coldService("a", 0)})
	assert.Check(t, !h.coldAt(time.Second), "returned")
	h.handle(daisyroute.ServiceChanged{Service: coldService("b", 0)})
	assert.Check(t, h.coldAt(2*time.Second), "started")
	h.handle(daisyroute.ServiceChanged{Service: without})
	h.handle(daisyroute.ServiceChanged{Service: coldService("b", 0)})
	assert.Check(t, h.coldAt(10900*time.Millisecond), "returned cold")
	assert.Check(t, !h.coldAt(11100*time.Millisecond))
}

// Guards against an endpoint that stays limited because its coldness ended while it was not
// declared and an attempt kept it known.
func TestColdnessEndsWhileNotDeclared(t *testing.T) {
	h := newColdHarness(t, coldService("a", 2*time.Second))
	h.sendOne(t)
	without := coldService("a", 0)
	without.Endpoints = nil
	h.handle(daisyroute.ServiceChanged{Service: without})
	h.advance(3 * time.Second)
	h.handle(daisyroute.ServiceChanged{Service: coldService("a", 0)})
	assert.Check(t, h.dispatcher.RateLimit(address(0)) == nil)
}

// Guards against a coldness that only the endpoint's own answer tells and nobody hears of.
func TestColdnessOfAProbeIsApplied(t *testing.T) {
	h := newColdHarness(t, coldService("a", 0))
	report := daisyendpoint.Report{Slots: 2, Slowdown: 1, ColdFor: 2 * time.Second}
	h.handle(daisyroute.ReportReceived{Endpoint: address(0), Report: report})
	assert.Check(t, !h.coldAt(0), "answer to a probe of another incarnation")
	assert.Check(t, len(ofType[daisyroute.Probe](h.advance(10*time.Second))) > 0)
	h.handle(daisyroute.ReportReceived{Endpoint: address(0), Report: report})
	assert.Check(t, h.coldAt(11900*time.Millisecond))
	assert.Check(t, !h.coldAt(12100*time.Millisecond))
}

// Guards against a cold endpoint that names a lower limit and gets more, and against a
// deployment without a rate of cold endpoints that is limited.
func TestLowerLimitApplies(t *testing.T) {
	h := newColdHarness(t, coldService("a", 8*time.Second))
	for _, c := range []struct{ named, want daisyendpoint.RateLimit }{
		{daisyendpoint.Limited{Interval: time.Second}, daisyendpoint.Limited{Interval: time.Second}},
		{daisyendpoint.Limited{Interval: time.Millisecond}, coldLimit},
		{daisyendpoint.Unlimited{}, coldLimit},
	} {
		h.answerWithLimit(h.sendOne(t).Attempt, c.named)
		assert.Equal(t, h.dispatcher.RateLimit(address(0)), c.want)
	}
	s := coldService("a", 8*time.Second)
	s.ColdRate = 0
	h = newColdHarness(t, s)
	assert.Check(t, !h.coldAt(0))
	for range 50 {
		h.answer(h.sendOne(t).Attempt, 200, time.Millisecond)
	}
	assert.Check(t, h.now.Sub(start) < 2*time.Second, "%v", h.now.Sub(start))
}
