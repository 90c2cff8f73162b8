package daisyprobe_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisyprobe"
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	address = netip.MustParseAddrPort("127.0.0.1:9001")
)

func newSchedule() *daisyprobe.Schedule {
	return daisyprobe.New(rand.New(rand.NewPCG(1, 1)))
}

func TestProbesOnlyEndpointsWithStaleInformation(t *testing.T) {
	cases := []struct {
		name string
		// updateInterval is the time between two updates from other sources than probes; 0 means none.
		updateInterval time.Duration
		responds       bool
		suspect        bool
		// minProbes and maxProbes bound the number of probes in a minute.
		minProbes, maxProbes int
	}{
		{name: "busy", updateInterval: 100 * time.Millisecond, responds: true, maxProbes: 0},
		{name: "idle", responds: true, minProbes: 28, maxProbes: 30},
		{name: "suspect", responds: true, suspect: true, minProbes: 55, maxProbes: 60},
		{name: "silent", minProbes: 1, maxProbes: 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSchedule()
			target := s.Add(start, address, 3)
			s.SetSuspect(target, c.suspect)
			probes := 0
			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
				if c.updateInterval > 0 && now.Sub(start)%c.updateInterval == 0 {
					target.RecordUpdate(now)
				}
				for p := s.Due(now); p != nil; p = s.Due(now) {
					probes++
					if c.responds {
						s.RecordSuccess(now, p)
					}
				}
				assert.Assert(t, s.NextWake().After(now))
			}
			assert.Assert(t, probes >= c.minProbes && probes <= c.maxProbes, "%d probes", probes)
		})
	}
}

func TestProbesStayWithinShareOfSlotTime(t *testing.T) {
	const probeCost = 6 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule()
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		target := s.Add(start, address, slots)
		now := start
		probes := 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				target.RecordUpdate(now)
			case 1:
				s.SetSuspect(target, rapid.Bool().Draw(t, "watched"))
			case 2:
				s.RecordSuccess(now, target)
			case 3:
				s.RecordFailure(target)
			default:
				for p := s.Due(now); p != nil; p = s.Due(now) {
					probes++
				}
				assert.Assert(t, s.NextWake().After(now))
			}
			budget := 0.01 * float64(slots) * float64(now.Sub(start))
			assert.Assert(t, float64(probes-1)*float64(probeCost) <= budget)
		}
	})
}
