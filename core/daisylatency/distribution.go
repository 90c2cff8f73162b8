// Package daisylatency keeps distributions of service times in constant memory.
package daisylatency

import (
	"math/bits"
	"time"
)

const (
	// parts divides each doubling of a time, so that a bucket is at most a quarter wide.
	parts     = 4
	partBits  = 2
	buckets   = 64 * parts
	halfAfter = 256
	// fresh is the number of samples up to which every sample moves the percentiles.
	fresh = 64
	// lazily is how many samples later ones wait to move them.
	lazily = 16
)

// Distribution is a histogram of times in which older samples count less and
// less: every 256 samples all counts are halved. The zero value is empty.
type Distribution struct {
	counts [buckets]float32
	total  float32
	sum    float64
	seen   uint64

	median, p90, p95, p99 time.Duration
}

// Add counts a sample.
func (d *Distribution) Add(took time.Duration) {
	took = max(took, 1)
	d.counts[bucket(took)]++
	d.total++
	d.sum += float64(took)
	d.seen++
	if d.seen%halfAfter == 0 {
		d.halve()
	}
	if d.seen <= fresh || d.seen%lazily == 0 {
		d.rank()
	}
}

// Samples gives how many samples were ever added.
func (d *Distribution) Samples() uint64 { return d.seen }

// Mean gives the mean, or 0 when the distribution is empty.
func (d *Distribution) Mean() time.Duration {
	if d.total == 0 {
		return 0
	}
	return time.Duration(d.sum / float64(d.total))
}

// Median gives the 50th percentile, or 0 when the distribution is empty.
func (d *Distribution) Median() time.Duration { return d.median }

// P90 gives the 90th percentile, or 0 when the distribution is empty.
func (d *Distribution) P90() time.Duration { return d.p90 }

// P95 gives the 95th percentile, or 0 when the distribution is empty.
func (d *Distribution) P95() time.Duration { return d.p95 }

// P99 gives the 99th percentile, or 0 when the distribution is empty.
func (d *Distribution) P99() time.Duration { return d.p99 }

func (d *Distribution) halve() {
	for i := range d.counts {
		d.counts[i] /= 2
	}
	d.total /= 2
	d.sum /= 2
}

func (d *Distribution) rank() {
	var below float32
	d.median, d.p90, d.p95, d.p99 = 0, 0, 0, 0
	for i, c := range d.counts {
		if c == 0 {
			continue
		}
		below += c
		if d.median == 0 && below >= 0.5*d.total {
			d.median = middle(i)
		}
		if d.p90 == 0 && below >= 0.90*d.total {
			d.p90 = middle(i)
		}
		if d.p95 == 0 && below >= 0.95*d.total {
			d.p95 = middle(i)
		}
		if below >= 0.99*d.total {
			d.p99 = middle(i)
			return
		}
	}
}

// bucket gives the index for a positive time: the position of its highest bit and the two bits after it.
func bucket(took time.Duration) int {
	n := bits.Len64(uint64(took)) - 1
	if n < partBits {
		return int(took)
	}
	return n*parts + int(uint64(took)>>(n-partBits))&(parts-1)
}

// middle gives the time in the middle of a bucket.
func middle(index int) time.Duration {
	n := index / parts
	if n < partBits {
		return time.Duration(index)
	}
	step := time.Duration(1) << (n - partBits)
	return step*time.Duration(parts+index%parts) + step/2
}
