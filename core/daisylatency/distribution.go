// Package daisylatency keeps distributions of durations in constant memory.
package daisylatency

import (
	"math/bits"
	"time"
)

const (
	// subBuckets is the number of buckets for each doubling of a duration, so that the width
	// of a bucket is at most a quarter of its duration.
	subBuckets      = 4
	subBucketBits   = 2
	bucketCount     = 64 * subBuckets
	halvingInterval = 256
	// eagerSamples is the number of samples up to which every sample updates the percentiles.
	eagerSamples = 64
	// updateInterval is the number of samples between later updates.
	updateInterval = 16
)

// Distribution is a histogram of durations in which older samples lose weight: every 256
// samples all counts are halved. The zero value is empty.
type Distribution struct {
	counts  [bucketCount]float32
	total   float32
	sum     float64
	samples uint64

	median, p90, p95, p99 time.Duration
	// p90Bound is the end of the bucket of p90, and longest the longest sample ever added.
	p90Bound, longest time.Duration
}

// Add records a sample.
func (d *Distribution) Add(took time.Duration) {
	took = max(took, 1)
	d.counts[bucket(took)]++
	d.total++
	d.sum += float64(took)
	d.samples++
	d.longest = max(d.longest, took)
	if d.samples%halvingInterval == 0 {
		d.halve()
	}
	if d.samples <= eagerSamples || d.samples%updateInterval == 0 {
		d.updatePercentiles()
	}
}

// Samples returns the number of samples ever added.
func (d *Distribution) Samples() uint64 { return d.samples }

// Mean returns the mean, or 0 when the distribution is empty.
func (d *Distribution) Mean() time.Duration {
	if d.total == 0 {
		return 0
	}
	return time.Duration(d.sum / float64(d.total))
}

// Median returns the 50th percentile, or 0 when the distribution is empty.
func (d *Distribution) Median() time.Duration { return d.median }

// P90 returns the 90th percentile, or 0 when the distribution is empty.
func (d *Distribution) P90() time.Duration { return d.p90 }

// P90Bound returns a duration that the 90th percentile does not exceed, or 0 when the
// distribution is empty. The other percentiles may be an eighth too low.
func (d *Distribution) P90Bound() time.Duration { return min(d.p90Bound, d.longest) }

// P95 returns the 95th percentile, or 0 when the distribution is empty.
func (d *Distribution) P95() time.Duration { return d.p95 }

// P99 returns the 99th percentile, or 0 when the distribution is empty.
func (d *Distribution) P99() time.Duration { return d.p99 }

func (d *Distribution) halve() {
	for i := range d.counts {
		d.counts[i] /= 2
	}
	d.total /= 2
	d.sum /= 2
}

func (d *Distribution) updatePercentiles() {
	var below float32
	d.median, d.p90, d.p95, d.p99, d.p90Bound = 0, 0, 0, 0, 0
	for i, c := range d.counts {
		if c == 0 {
			continue
		}
		below += c
		if d.median == 0 && below >= 0.5*d.total {
			d.median = bucketMidpoint(i)
		}
		if d.p90 == 0 && below >= 0.90*d.total {
			d.p90, d.p90Bound = bucketMidpoint(i), bucketEnd(i)
		}
		if d.p95 == 0 && below >= 0.95*d.total {
			d.p95 = bucketMidpoint(i)
		}
		if below >= 0.99*d.total {
			d.p99 = bucketMidpoint(i)
			return
		}
	}
}

// bucket returns the index for a positive duration: the position of its highest bit and the two bits after it.
func bucket(took time.Duration) int {
	n := bits.Len64(uint64(took)) - 1
	if n < subBucketBits {
		return int(took)
	}
	return n*subBuckets + int(uint64(took)>>(n-subBucketBits))&(subBuckets-1)
}

// bucketMidpoint returns the duration in the middle of a bucket.
func bucketMidpoint(index int) time.Duration {
	start, width := bucketSpan(index)
	return start + width/2
}

// bucketEnd returns the longest duration in a bucket.
func bucketEnd(index int) time.Duration {
	start, width := bucketSpan(index)
	return start + max(width-1, 0)
}

// bucketSpan returns the shortest duration in a bucket, and how many there are.
func bucketSpan(index int) (start, width time.Duration) {
	n := index / subBuckets
	if n < subBucketBits {
		return time.Duration(index), 0
	}
	width = time.Duration(1) << (n - subBucketBits)
	return width * time.Duration(subBuckets+index%subBuckets), width
}
