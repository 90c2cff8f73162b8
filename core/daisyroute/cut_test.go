package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

func TestEndpointThatCutsItsAnswersGetsLittleWork(t *testing.T) {
	h := newHolder(t, newService(15, 3), nil)
	bad, all := 0, 0
	for h.now.Before(start.Add(20 * time.Second)) {
		s := h.send(h.request(0))
		h.now = h.now.Add(5 * time.Millisecond)
		ending := daisyrequest.EndedWhole
		if s.Endpoint == address(0) {
			ending = daisyrequest.EndpointCut
		}
		if h.now.After(start.Add(time.Second)) {
			all++
			bad += int(ending)
		}
		h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.Answered{Status: 200, Took: 5 * time.Millisecond}})
		h.handle(daisyroute.AttemptReleased{Attempt: s.Attempt, Ending: ending})
		h.pass(0)
	}
	assert.Assert(t, bad > 0 && float64(bad) < 0.02*float64(all), "%d of %d", bad, all)
}
