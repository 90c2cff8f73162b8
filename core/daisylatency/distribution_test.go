package daisylatency_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisylatency"
)

func TestPercentilesAreCloseToTheTrueOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		scale := time.Duration(rapid.Int64Range(1_000, 1_000_000_000).Draw(t, "scale"))
		var d daisylatency.Distribution
		var all []time.Duration
		for range 240 {
			took := time.Duration(float64(scale) * (0.2 + random.ExpFloat64()))
			d.Add(took)
			all = append(all, took)
		}
		slices.Sort(all)
		cases := []struct {
			got, lowest, highest time.Duration
		}{
			{d.Median(), all[100], all[140]},
			{d.P95(), all[212], all[239]},
			{d.P99(), all[220], all[239]},
		}
		for _, c := range cases {
			assert.Assert(t, c.got >= c.lowest*4/5 && c.got <= c.highest*5/4, "%v not in %v..%v", c.got, c.lowest, c.highest)
		}
	})
}

func TestOldSamplesLoseWeight(t *testing.T) {
	var d daisylatency.Distribution
	assert.Equal(t, d.Mean(), time.Duration(0))
	assert.Equal(t, d.P95(), time.Duration(0))
	for range 1000 {
		d.Add(100 * time.Millisecond)
	}
	for range 2000 {
		d.Add(10 * time.Millisecond)
	}
	assert.Assert(t, d.P95() < 13*time.Millisecond, "%v", d.P95())
	assert.Assert(t, d.Mean() < 13*time.Millisecond, "%v", d.Mean())
	assert.Equal(t, d.Samples(), uint64(3000))
}

func BenchmarkAdd(b *testing.B) {
	var d daisylatency.Distribution
	for i := range b.N {
		d.Add(time.Duration(i%1000+1) * time.Microsecond)
	}
}

// Guards against an estimate that is too low where a request that takes longer is cut off.
func TestBoundIsNotBelowThePercentile(t *testing.T) {
	for took := time.Nanosecond; took < time.Hour; took += took/9 + 1 {
		var d daisylatency.Distribution
		d.Add(took / 2)
		for range 20 {
			d.Add(took)
		}
		assert.Equal(t, d.P90Bound(), took)
		d.Add(2 * took)
		assert.Assert(t, d.P90Bound() >= took && d.P90Bound() <= took*5/4, "%v of %v", d.P90Bound(), took)
	}
}
