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

func TestProbesGoWhereNothingFreshIsKnown(t *testing.T) {
	cases := []struct {
		name string
		// known is the time between two answers of the endpoint; 0 means none.
		known   time.Duration
		answers bool
		watched bool
		// least and most bound the probes in a minute.
		least, most int
	}{
		{name: "busy", known: 100 * time.Millisecond, answers: true, most: 0},
		{name: "idle", answers: true, least: 28, most: 30},
		{name: "in doubt", answers: true, watched: true, least: 55, most: 60},
		{name: "silent", least: 1, most: 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSchedule()
			target := s.Join(start, address, 3)
			s.Watch(target, c.watched)
			probes := 0
			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
				if c.known > 0 && now.Sub(start)%c.known == 0 {
					target.Known(now)
				}
				for p := s.Due(now); p != nil; p = s.Due(now) {
					probes++
					if c.answers {
						s.Resolved(now, p)
					}
				}
				assert.Assert(t, s.Next().After(now))
			}
			assert.Assert(t, probes >= c.least && probes <= c.most, "%d probes", probes)
		})
	}
}

func TestProbesStayWithinTheirShareOfSlotTime(t *testing.T) {
	const cost = 6 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule()
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		target := s.Join(start, address, slots)
		now := start
		probes := 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				target.Known(now)
			case 1:
				s.Watch(target, rapid.Bool().Draw(t, "watched"))
			case 2:
				s.Resolved(now, target)
			case 3:
				s.Failed(target)
			default:
				for p := s.Due(now); p != nil; p = s.Due(now) {
					probes++
				}
				assert.Assert(t, s.Next().After(now))
			}
			budget := 0.01 * float64(slots) * float64(now.Sub(start))
			assert.Assert(t, float64(probes-1)*float64(cost) <= budget)
		}
	})
}
