package daisybudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisybudget"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func countSince(times []time.Time, from time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && times[i].After(from); i-- {
		n++
	}
	return n
}

func TestExtraSendsStayWithinTheirShareInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := daisybudget.New(daisybudget.DefaultLimits())
		now := start
		var firsts, extras []time.Time
		for range rapid.IntRange(1, 2000).Draw(t, "sends") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				b.First(now)
				firsts = append(firsts, now)
				continue
			case 1:
				if !b.Take(now, daisybudget.Retry{}) {
					continue
				}
			case 2:
				if !b.Take(now, daisybudget.Hedge{}) {
					continue
				}
			}
			extras = append(extras, now)
			for _, c := range []struct {
				window time.Duration
				part   int
			}{{10 * time.Second, 10}, {time.Second, 5}} {
				first, extra := countSince(firsts, now.Add(-c.window)), countSince(extras, now.Add(-c.window))
				assert.Assert(t, extra*c.part <= first || extra <= 3, "%d extra to %d first sends in %v", extra, first, c.window)
			}
		}
	})
}

func TestWindowLengthIsConfigurable(t *testing.T) {
	limits := daisybudget.Limits{Window: 40 * time.Second, Share: 0.1, Reserve: 1, HedgeFraction: 0.5}
	b := daisybudget.New(limits)
	b.First(start)
	assert.Assert(t, b.Take(start, daisybudget.Retry{}))
	assert.Assert(t, !b.Take(start.Add(39*time.Second), daisybudget.Retry{}), "the reserve was used within the window")
	assert.Assert(t, b.Take(start.Add(41*time.Second), daisybudget.Retry{}))
}

func TestWholeAllowanceCanBeUsed(t *testing.T) {
	cases := []struct {
		name    string
		firsts  int
		retries int
		extra   daisybudget.Extra
		want    int
	}{
		{name: "retries at rest", firsts: 0, extra: daisybudget.Retry{}, want: 3},
		{name: "hedges at rest", firsts: 0, extra: daisybudget.Hedge{}, want: 0},
		{name: "retries", firsts: 1000, extra: daisybudget.Retry{}, want: 100},
		{name: "hedges", firsts: 1000, extra: daisybudget.Hedge{}, want: 90},
		{name: "hedges beside retries", firsts: 1000, retries: 30, extra: daisybudget.Hedge{}, want: 30},
		{name: "retries beside retries", firsts: 1000, retries: 30, extra: daisybudget.Retry{}, want: 70},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := daisybudget.New(daisybudget.DefaultLimits())
			for range c.firsts {
				b.First(start)
			}
			for range c.retries {
				assert.Assert(t, b.Take(start, daisybudget.Retry{}))
			}
			got := 0
			for range 1000 {
				if b.Take(start, c.extra) {
					got++
				}
			}
			assert.Equal(t, got, c.want)
			later := start.Add(11 * time.Second)
			assert.Assert(t, !b.Take(later, daisybudget.Hedge{}))
			assert.Assert(t, b.Take(later, daisybudget.Retry{}))
		})
	}
}

func BenchmarkTake(b *testing.B) {
	g := daisybudget.New(daisybudget.DefaultLimits())
	now := start
	for range b.N {
		now = now.Add(10 * time.Microsecond)
		g.First(now)
		g.Take(now, daisybudget.Retry{})
	}
}
