package daisyrate_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisyrate"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleBucket() {
	var b daisyrate.Bucket
	b.Limit(start, 400*time.Millisecond, 0)
	for i := range 4 {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		fmt.Println(now.Sub(start), b.Allows(now))
		if b.Allows(now) {
			b.Take(now)
		}
	}
	// Output:
	// 0s true
	// 200ms false
	// 400ms true
	// 600ms false
}

// Guards against more requests in a window than the rate allows in it, with a burst of
// the saved time or of one request.
func TestRequestsOfAnyWindowStayWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interval := time.Duration(rapid.IntRange(1, 5000).Draw(t, "interval ms")) * time.Millisecond
		window := time.Duration(rapid.IntRange(1, 20).Draw(t, "window s")) * time.Second
		save := time.Duration(rapid.IntRange(0, 1000).Draw(t, "save ms")) * time.Millisecond
		var b daisyrate.Bucket
		now := start
		b.SaveFor(save)
		b.Limit(now, interval, 1)
		if save == 0 {
			save = time.Second
		}
		var taken []time.Time
		for range rapid.IntRange(1, 1000).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if b.Allows(now) {
				b.Take(now)
				taken = append(taken, now)
			}
		}
		burst := max(1, float64(save)/float64(interval))
		for i, from := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			assert.Assert(t, float64(n) <= float64(window)/float64(interval)+burst+1e-9, "%d requests in %v, one per %v", n, window, interval)
		}
	})
}

func TestSavedSingleRequestIsLostAfterASecond(t *testing.T) {
	var b daisyrate.Bucket
	b.Limit(start, 10*time.Second, 0)
	assert.Check(t, b.Allows(start.Add(900*time.Millisecond)))
	assert.Check(t, !b.Allows(start.Add(1100*time.Millisecond)))
	assert.Check(t, !b.Allows(start.Add(9900*time.Millisecond)))
	assert.Check(t, b.Allows(start.Add(10*time.Second)))
	assert.Check(t, b.Allows(start.Add(50*time.Second)))
}

func TestChangeOfTheIntervalScalesTheWait(t *testing.T) {
	var b daisyrate.Bucket
	b.Limit(start, time.Second, 1)
	b.Limit(start, 4*time.Second, 1)
	assert.Equal(t, b.Next(start), start.Add(4*time.Second))
	b.Unlimit()
	assert.Check(t, b.Allows(start) && !b.Limiting())
}
