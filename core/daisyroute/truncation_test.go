package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

func TestEndpointThatTruncatesResponsesGetsFewRequests(t *testing.T) {
	h := newHarness(t, newService(15, 3), nil)
	truncated, total := 0, 0
	for h.now.Before(start.Add(20 * time.Second)) {
		s := h.send(h.request(0))
		h.now = h.now.Add(5 * time.Millisecond)
		ending := daisyrequest.BodyComplete
		if s.Endpoint == address(0) {
			ending = daisyrequest.BodyTruncated
		}
		if h.now.After(start.Add(time.Second)) {
			total++
			truncated += int(ending)
		}
		h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.Answered{Status: 200, ResponseTime: 5 * time.Millisecond}})
		h.handle(daisyroute.AttemptReleased{Attempt: s.Attempt, Ending: ending})
		h.advance(0)
	}
	assert.Assert(t, truncated > 0 && float64(truncated) < 0.02*float64(total), "%d of %d responses truncated", truncated, total)
}
