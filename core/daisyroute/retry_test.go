package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

func TestRetriesDependOnOutcomes(t *testing.T) {
	shed := daisyrequest.Shed{}
	notSent := daisyrequest.NotSent{}
	brokenOff := daisyrequest.BrokenOff{}
	cases := []struct {
		name       string
		idempotent bool
		resendable bool
		// outcomes are those of the consecutive attempts; nil means success.
		outcomes []daisyrequest.Outcome
		sends    int
		failure  daisyrequest.Failure
		cause    daisyroute.Cause
	}{
		{name: "shed, then served", resendable: true, outcomes: []daisyrequest.Outcome{shed, nil}, sends: 2},
		{name: "not sent, then served", resendable: true, outcomes: []daisyrequest.Outcome{notSent, nil}, sends: 2},
		{name: "shed everywhere", resendable: true, outcomes: []daisyrequest.Outcome{shed, shed, shed}, sends: 3, failure: daisyrequest.NoEndpoint{RetryAfter: time.Second}, cause: daisyroute.AttemptsSpent},
		{name: "shed, body not resendable", outcomes: []daisyrequest.Outcome{shed}, sends: 1, failure: daisyrequest.NoEndpoint{RetryAfter: time.Second}, cause: daisyroute.NotRepeatable},
		{name: "broken off", resendable: true, outcomes: []daisyrequest.Outcome{brokenOff}, sends: 1, failure: daisyrequest.EndpointFailed{}, cause: daisyroute.NotRepeatable},
		{name: "shed, then broken off", resendable: true, outcomes: []daisyrequest.Outcome{shed, brokenOff}, sends: 2, failure: daisyrequest.EndpointFailed{}, cause: daisyroute.NotRepeatable},
		{name: "idempotent, broken off, then served", idempotent: true, resendable: true, outcomes: []daisyrequest.Outcome{brokenOff, nil}, sends: 2},
		{name: "idempotent, broken off, body not resendable", idempotent: true, outcomes: []daisyrequest.Outcome{brokenOff}, sends: 1, failure: daisyrequest.EndpointFailed{}, cause: daisyroute.NotRepeatable},
		{name: "idempotent, broken off, then shed", idempotent: true, resendable: true, outcomes: []daisyrequest.Outcome{brokenOff, shed, shed}, sends: 3, failure: daisyrequest.EndpointFailed{}, cause: daisyroute.AttemptsSpent},
		{name: "timed out", idempotent: true, resendable: true, outcomes: []daisyrequest.Outcome{daisyrequest.TimedOut{}}, sends: 1, failure: daisyrequest.DeadlinePassed{Run: daisyrequest.MayHaveRun}, cause: daisyroute.Expired},
		{name: "canceled by the driver", idempotent: true, resendable: true, outcomes: []daisyrequest.Outcome{daisyrequest.Canceled{}}, sends: 1, failure: daisyrequest.EndpointFailed{}, cause: daisyroute.NotRepeatable},
		{name: "server error", idempotent: true, resendable: true, outcomes: []daisyrequest.Outcome{daisyrequest.Answered{Status: 500}}, sends: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newService(5, 2), nil)
			r := h.request(1)
			r.Idempotent = c.idempotent
			last := h.send(r)
			sends := 1
			for _, o := range c.outcomes {
				if o == nil {
					o = daisyrequest.Answered{Status: 200}
				}
				all := h.handle(daisyroute.AttemptResolved{Attempt: last.Attempt, Outcome: o, Resendable: c.resendable})
				if next := ofType[daisyroute.Send](all); len(next) > 0 {
					assert.Assert(t, next[0].Endpoint != last.Endpoint)
					assert.Equal(t, next[0].Reason, daisyroute.Retry)
					last = next[0]
					sends++
				}
			}
			assert.Equal(t, sends, c.sends)
			if c.failure == nil {
				assert.Equal(t, single[daisyroute.Deliver](t, h.decisions), daisyroute.Deliver{Request: r.ID, Attempt: last.Attempt})
				return
			}
			f := single[daisyroute.Fail](t, h.decisions)
			assert.Equal(t, f.Failure, c.failure)
			assert.Equal(t, f.Cause, c.cause)
		})
	}
}

func TestUnsentRequestIsRetriedAtTheOnlyEndpoint(t *testing.T) {
	h := newHarness(t, newService(1, 3), nil)
	s := h.send(h.request(0))
	again := single[daisyroute.Send](t, h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.NotSent{}, Resendable: true}))
	assert.Equal(t, again.Endpoint, s.Endpoint)
	assert.Equal(t, again.Reason, daisyroute.Retry)
	for range 5 {
		all := h.handle(daisyroute.AttemptResolved{Attempt: again.Attempt, Outcome: daisyrequest.NotSent{}, Resendable: true})
		if f := ofType[daisyroute.Fail](all); len(f) > 0 {
			assert.Equal(t, f[0].Failure, daisyrequest.Failure(daisyrequest.NoEndpoint{RetryAfter: time.Second}))
			return
		}
		again = single[daisyroute.Send](t, all)
	}
	t.Fatal("a request was retried without limit at an endpoint that refuses connections")
}

func TestShedRequestIsNotRetriedAtTheOnlyEndpoint(t *testing.T) {
	h := newHarness(t, newService(1, 3), nil)
	s := h.send(h.request(0))
	f := single[daisyroute.Fail](t, h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.Shed{}, Resendable: true}))
	assert.Equal(t, f.Cause, daisyroute.NoneUsable)
	assert.Equal(t, f.Failure, daisyrequest.Failure(daisyrequest.NoEndpoint{RetryAfter: time.Second}))
}

func TestRetriesAreLimitedByTheBudget(t *testing.T) {
	h := newHarness(t, newService(10, 50), nil)
	retries, refused := 0, 0
	for i := range 1000 {
		h.advance(10 * time.Millisecond)
		s := h.send(h.request(1))
		if i%2 == 0 {
			h.answer(s.Attempt, 200, time.Millisecond)
			continue
		}
		all := h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.Shed{}, Resendable: true})
		for _, f := range ofType[daisyroute.Fail](all) {
			assert.Equal(t, f.Cause, daisyroute.BudgetSpent)
			refused++
		}
		for _, n := range ofType[daisyroute.Send](all) {
			retries++
			h.answer(n.Attempt, 200, time.Millisecond)
		}
	}
	assert.Assert(t, retries >= 90 && retries <= 100, "%d retries", retries)
	assert.Assert(t, refused >= 390, "%d refused", refused)
}

// TestCallersReturnSoonWhenTheRetryBudgetIsSpent has endpoints that shed half of all
// requests: there a caller that returns later misses its target for nothing.
func TestCallersReturnSoonWhenTheRetryBudgetIsSpent(t *testing.T) {
	const responseTime = 40 * time.Millisecond
	h := newHarness(t, newService(10, 50), nil)
	h.warmUp(0, responseTime)
	refused := 0
	for i := range 400 {
		h.advance(10 * time.Millisecond)
		s := h.send(h.request(0))
		if i%2 == 0 {
			h.answer(s.Attempt, 200, responseTime)
			continue
		}
		all := h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.Shed{}, Resendable: true})
		for _, n := range ofType[daisyroute.Send](all) {
			h.answer(n.Attempt, 200, responseTime)
		}
		for _, f := range ofType[daisyroute.Fail](all) {
			assert.Equal(t, f.Cause, daisyroute.BudgetSpent)
			failure, ok := f.Failure.(daisyrequest.NoEndpoint)
			assert.Assert(t, ok, "%#v", f.Failure)
			assert.Assert(t, failure.RetryAfter > 0 && failure.RetryAfter <= responseTime, "%v", failure.RetryAfter)
			refused++
		}
	}
	assert.Assert(t, refused > 100, "%d refused", refused)
}

func TestAbandonedRequestOccupiesItsSlotUntilItsOutcome(t *testing.T) {
	h := newHarness(t, newService(1, 1), nil)
	s := h.send(h.request(0))
	waiting := h.request(0)
	assert.Equal(t, len(h.arrive(waiting)), 0)
	c := single[daisyroute.Cancel](t, h.handle(daisyroute.RequestAbandoned{Request: s.Request}))
	assert.Equal(t, c.Attempt, s.Attempt)
	assert.Equal(t, len(ofType[daisyroute.Send](h.decisions)), 0)
	next := single[daisyroute.Send](t, h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.Canceled{}}))
	assert.Equal(t, next.Request, waiting.ID)
}

func TestCanceledAttemptThatIsAnsweredOccupiesItsSlotUntilReleased(t *testing.T) {
	h := newHarness(t, newService(1, 1), nil)
	s := h.send(h.request(0))
	h.arrive(h.request(0))
	h.handle(daisyroute.RequestAbandoned{Request: s.Request})
	all := h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.Answered{Status: 200}})
	assert.Equal(t, len(all), 0)
	single[daisyroute.Send](t, h.handle(daisyroute.AttemptReleased{Attempt: s.Attempt}))
}

func TestWaitingRequestsAreRefusedBeforeTheirDeadline(t *testing.T) {
	h := newHarness(t, newService(1, 1), nil)
	h.warmUp(0, 20*time.Millisecond)
	h.send(h.request(0))
	r := h.request(0)
	h.arrive(r)
	f := single[daisyroute.Fail](t, h.advance(time.Second))
	assert.Equal(t, f.Request, r.ID)
	assert.Equal(t, f.Cause, daisyroute.CannotFinish)
	assert.Assert(t, f.Waited > 220*time.Millisecond && f.Waited < 240*time.Millisecond, "%v", f.Waited)
}

func TestRequestsFailWithoutUsableEndpoints(t *testing.T) {
	service := newService(2, 1)
	h := newHarness(t, service, nil)
	sent := []daisyroute.Send{h.send(h.request(0)), h.send(h.request(0))}
	h.arrive(h.request(1))
	for i := range service.Endpoints {
		service.Endpoints[i].Draining = true
	}
	f := single[daisyroute.Fail](t, h.handle(daisyroute.ServiceChanged{Service: service}))
	assert.Equal(t, f.Cause, daisyroute.NoneUsable)
	f = single[daisyroute.Fail](t, h.arrive(h.request(0)))
	assert.Equal(t, f.Failure, daisyrequest.Failure(daisyrequest.NoEndpoint{RetryAfter: time.Second}))
	for _, s := range sent {
		single[daisyroute.Deliver](t, h.answer(s.Attempt, 200, time.Millisecond))
	}
}

func TestRequestThatExpiresUnsentGetsRetryAfter(t *testing.T) {
	h := newHarness(t, newService(1, 1), nil)
	h.send(h.request(1))
	r := h.request(1)
	r.Deadline = h.now.Add(20 * time.Millisecond)
	assert.Equal(t, len(ofType[daisyroute.Send](h.arrive(r))), 0)
	failed := ofType[daisyroute.Fail](h.advance(30 * time.Millisecond))
	assert.Equal(t, len(failed), 1)
	assert.Equal(t, failed[0].Failure, daisyrequest.Failure(daisyrequest.DeadlinePassed{Run: daisyrequest.NotRun, RetryAfter: time.Second}))
}
