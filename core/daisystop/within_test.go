package daisystop_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisystop"
)

// TestStopWithinGraceNeedsNoLease checks that a stop within a grace period begins at
// once, whatever the peers do, and finishes before the grace period ends.
func TestStopWithinGraceNeedsNoLease(t *testing.T) {
	now := time.Unix(0, 0)
	s := daisystop.NewStop(daisystop.Within{Grace: 6 * time.Second})
	s.Handle(now, daisystop.PeersSeen{Leaving: 2, Ahead: 1})
	begun := s.Handle(now, daisystop.StopWanted{})
	assert.Equal(t, len(begun), 2)
	assert.Equal(t, begun[0], daisystop.Decision(daisystop.Announce{Stopping: true, Leaving: true}))
	limit, ok := begun[1].(daisystop.LimitRequests)
	assert.Assert(t, ok, "%#v", begun[1])
	assert.Equal(t, s.Phase(), daisystop.Leaving)
	draining := s.NextWake()
	assert.Assert(t, draining.Sub(now) < 3*time.Second, "the VM accepts requests in the second half of the grace period, and the platform counts them as errors if they are aborted")
	assert.DeepEqual(t, s.Handle(draining, daisystop.TimePassed{}), []daisystop.Decision{daisystop.CloseCallers{}})
	end := s.NextWake()
	assert.Assert(t, end.Sub(now) < 6*time.Second)
	assert.Assert(t, limit.By.After(draining) && limit.By.Before(end), "requests have to be answered by %v, and are cut off at %v", limit.By, end)
	assert.DeepEqual(t, s.Handle(end, daisystop.TimePassed{}), []daisystop.Decision{daisystop.Finish{}})
	assert.Equal(t, s.Phase(), daisystop.Stopped)
}

func TestStopWithinGraceEndsWithTheLastRequest(t *testing.T) {
	now := time.Unix(0, 0)
	s := daisystop.NewStop(daisystop.Within{Grace: 6 * time.Second})
	s.Handle(now, daisystop.StopWanted{})
	draining := s.NextWake()
	s.Handle(draining, daisystop.TimePassed{})
	assert.DeepEqual(t, s.Handle(draining.Add(time.Millisecond), daisystop.CallersGone{}), []daisystop.Decision{daisystop.Finish{}})
}

// Guards against a VM that accepts requests of any length for longer than its platform
// expects some of them to be aborted.
func TestStopLimitsRequestsThatArriveLate(t *testing.T) {
	now := time.Unix(0, 0)
	for _, grace := range []time.Duration{2 * time.Second, 6 * time.Second, 30 * time.Second} {
		for _, acceptAll := range []time.Duration{0, 3 * time.Second} {
			s := daisystop.NewStop(daisystop.Within{Grace: grace, AcceptAll: acceptAll})
			for _, d := range s.Handle(now, daisystop.StopWanted{}) {
				if l, ok := d.(daisystop.LimitRequests); ok {
					accepted := l.AcceptUntil.Sub(now)
					assert.Assert(t, accepted <= acceptAll && accepted >= acceptAll-100*time.Millisecond, "%v of %v", accepted, acceptAll)
				}
			}
			assert.DeepEqual(t, s.Handle(now.Add(time.Second), daisystop.StopWanted{}), []daisystop.Decision(nil))
		}
	}
}
