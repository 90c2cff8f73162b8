package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

func TestPauseOfTheVMIsNoEvidenceAgainstEndpoints(t *testing.T) {
	cases := []struct {
		name    string
		outcome daisyrequest.Outcome
	}{
		{"answered late", daisyrequest.Answered{Status: 200, ResponseTime: 2 * time.Second}},
		{"broken off by endpoints that timed out", daisyrequest.BrokenOff{}},
		{"timed out", daisyrequest.TimedOut{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newService(9, 1), nil)
			h.warmUp(1, usualTime)
			var sent []daisyroute.Send
			for range 8 {
				r := h.request(1)
				r.Idempotent, r.Hedgeable = true, true
				sent = append(sent, h.send(r))
			}
			h.dispatcher.NextWake()
			h.now = h.now.Add(1900 * time.Millisecond)
			all := h.handle(daisyroute.TimePassed{})
			for _, s := range sent {
				all = append(all, h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: c.outcome})...)
				all = append(all, h.handle(daisyroute.AttemptReleased{Attempt: s.Attempt})...)
			}
			assert.Equal(t, len(ofType[daisyroute.EndpointChanged](all)), 0)
			assert.Equal(t, len(ofType[daisyroute.Send](all)), 0)
			assert.Equal(t, h.dispatcher.Spare(), 9)
		})
	}
}
