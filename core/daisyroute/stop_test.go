package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
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
