package daisyroute_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisystop"
)

// Guards against requests that are sent to an endpoint, or wait for one, when the VM ends
// before the answer: those taken before the stop and those that arrive during it.
func TestRequestsAreAnsweredBeforeTheVMStops(t *testing.T) {
	const answer = 100 * time.Millisecond
	h := newHarness(t, newService(1, 1), nil)
	h.warmUp(1, answer)
	running := h.send(h.request(1))
	early, late := h.request(1), h.request(1)
	early.Deadline, late.Deadline = h.now.Add(time.Minute), h.now.Add(time.Minute)
	assert.Equal(t, len(ofType[daisyroute.Fail](h.arrive(early)))+len(ofType[daisyroute.Fail](h.arrive(late))), 0)
	end := h.now.Add(5 * answer / 2)
	h.handle(daisyroute.StopBegan{AnswerBy: end})

	h.now = h.now.Add(answer)
	next := single[daisyroute.Send](t, h.answer(running.Attempt, 200, answer))
	assert.Equal(t, next.Deadline, end)
	h.now = h.now.Add(answer)
	all := h.answer(next.Attempt, 200, answer)
	assert.Equal(t, len(ofType[daisyroute.Send](all)), 0)
	f := single[daisyroute.Fail](t, all)
	assert.Equal(t, f.Cause, daisyroute.Stopping)
	_, notRun := f.Failure.(daisyrequest.NoEndpoint)
	assert.Assert(t, notRun, "%#v", f.Failure)

	arrived := h.request(1)
	arrived.Deadline = h.now.Add(time.Minute)
	assert.Equal(t, single[daisyroute.Fail](t, h.arrive(arrived)).Cause, daisyroute.Stopping)
}

// Guards against a request that is sent in a planned stop although answers have all taken
// longer than the time that is left, and is cut off: response times are known to within a
// quarter only.
func TestRequestIsNotSentIfAnswersTakeLongerThanTheStop(t *testing.T) {
	for answer := 100 * time.Millisecond; answer <= 400*time.Millisecond; answer += 7 * time.Millisecond {
		h := newHarness(t, newService(1, 1), nil)
		h.warmUp(1, answer)
		h.handle(daisyroute.StopBegan{AnswerBy: h.now.Add(answer - time.Millisecond), AcceptUntil: h.now.Add(time.Second)})
		arrived := h.request(1)
		arrived.Deadline = h.now.Add(time.Minute)
		all := h.arrive(arrived)
		assert.Equal(t, len(ofType[daisyroute.Send](all)), 0, "%v", answer)
		assert.Equal(t, single[daisyroute.Fail](t, all).Cause, daisyroute.Stopping)
	}
}

// stopRequest is a request that arrives during a planned stop.
type stopRequest struct {
	daisyrequest.Request
	timeout time.Duration
	// ends is when the endpoint answers its attempt, once it was sent.
	ends    time.Time
	attempt daisyrequest.AttemptID
	sent    bool
}

// stopSimulation drives the planned stop of one VM in steps of stopTick.
type stopSimulation struct {
	*harness
	random   *rand.Rand
	mode     daisystop.Within
	limit    daisystop.LimitRequests
	maxWork  time.Duration
	requests map[daisyrequest.ID]*stopRequest
}

const stopTick = 10 * time.Millisecond

// carryOut handles the decisions of the dispatcher and checks how requests end.
func (s *stopSimulation) carryOut(decisions []daisyroute.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case daisyroute.Send:
			r := s.requests[d.Request]
			r.sent, r.attempt = true, d.Attempt
			r.ends = s.now.Add(time.Duration(1 + s.random.Int64N(int64(s.maxWork))))
		case daisyroute.Deliver:
			delete(s.requests, d.Request)
		case daisyroute.Fail:
			s.checkFail(s.requests[d.Request], d)
			delete(s.requests, d.Request)
		}
	}
}

func (s *stopSimulation) checkFail(r *stopRequest, d daisyroute.Fail) {
	late := r.Arrived.Sub(start) > s.mode.AcceptAll
	overdue := !s.now.Before(r.Arrived.Add(r.timeout))
	assert.Assert(s.t, !late || !r.sent || overdue, "a request that arrived %v after the stop began was sent and aborted after %v of its %v: %+v, %+v",
		r.Arrived.Sub(start), s.now.Sub(r.Arrived), r.timeout, d, s.mode)
	inTime := r.Arrived.Sub(start) < s.mode.AcceptAll-5*stopTick && s.now.Add(s.maxWork).Before(s.limit.By)
	assert.Assert(s.t, d.Cause != daisyroute.Stopping || !inTime, "a request that arrived %v after the stop began was refused: %+v", r.Arrived.Sub(start), s.mode)
}

// step lets a request arrive, if one does, and ends the attempts that are due.
func (s *stopSimulation) step(arrives bool) {
	s.now = s.now.Add(stopTick)
	if wake := s.dispatcher.NextWake(); !wake.IsZero() && !s.now.Before(wake) {
		s.carryOut(s.handle(daisyroute.TimePassed{}))
	}
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[id]
		if r == nil || !r.sent {
			continue
		}
		deadline := r.Deadline
		if s.limit.By.Before(deadline) {
			deadline = s.limit.By
		}
		switch attempt := r.attempt; {
		case !s.now.Before(r.ends):
			s.carryOut(s.handle(daisyroute.AttemptResolved{Attempt: attempt, Outcome: daisyrequest.Answered{Status: 200, ResponseTime: s.now.Sub(r.Arrived)}}))
			s.carryOut(s.handle(daisyroute.AttemptReleased{Attempt: attempt}))
		case !s.now.Before(deadline):
			s.carryOut(s.handle(daisyroute.AttemptResolved{Attempt: attempt, Outcome: daisyrequest.TimedOut{}}))
		}
	}
	if !arrives {
		return
	}
	r := &stopRequest{Request: s.request(1), timeout: time.Duration(1+s.random.IntN(200)) * 100 * time.Millisecond}
	r.Deadline = s.now.Add(r.timeout)
	s.harness.requests++
	r.ID = s.harness.requests
	s.requests[r.ID] = r
	s.carryOut(s.arrive(r.Request))
}

// Guards against requests that are accepted when nobody expects it any more, and aborted at
// the end of the grace period while an endpoint runs them. The grace period, the time in
// which all requests are accepted, the timeouts and the work are drawn.
func TestLateRequestsEndBeforeTheVMStops(t *testing.T) {
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := &stopSimulation{
			harness:  newHarness(t, newService(8, 4), nil),
			random:   random,
			mode:     daisystop.Within{Grace: time.Duration(2+random.IntN(29)) * time.Second, AcceptAll: time.Duration(random.IntN(6)) * time.Second},
			maxWork:  time.Duration(1+random.IntN(100)) * 100 * time.Millisecond,
			requests: make(map[daisyrequest.ID]*stopRequest),
		}
		stop := daisystop.NewStop(s.mode)
		for _, d := range stop.Handle(s.now, daisystop.StopWanted{}) {
			if l, ok := d.(daisystop.LimitRequests); ok {
				s.limit = l
			}
		}
		s.carryOut(s.handle(daisyroute.StopBegan{AnswerBy: s.limit.By, AcceptUntil: s.limit.AcceptUntil}))
		for n := 0; s.now.Before(s.limit.By.Add(stopTick)); n++ {
			s.step(stop.Phase() == daisystop.Leaving && n%5 == 0)
			if wake := stop.NextWake(); !s.now.Before(wake) {
				stop.Handle(s.now, daisystop.TimePassed{})
			}
		}
		for _, r := range s.requests {
			assert.Assert(t, r.Arrived.Sub(start) <= s.mode.AcceptAll, "seed %d: a request that arrived after %v is not answered", seed, r.Arrived.Sub(start))
		}
	}
}
