package daisyendpoint

import (
	"math"
	"time"
)

// RateLimit is the rate of requests that an endpoint accepts from all VMs together. It
// is Unlimited or Limited; nil means that it is not known.
type RateLimit interface{ rateLimit() }

// Unlimited means that the endpoint names no limit.
type Unlimited struct{}

// Limited means that the endpoint accepts one request per interval on average.
type Limited struct{ Interval time.Duration }

// PerSecond returns the limit as a number of requests per second, with three decimals.
func (l Limited) PerSecond() float64 {
	const decimals = 1000
	return math.Round(decimals*float64(time.Second)/float64(l.Interval)) / decimals
}

func (Unlimited) rateLimit() {}
func (Limited) rateLimit()   {}

const (
	// maxRateInterval is the interval that stands for a limit of zero and for lower
	// limits than one request per interval: an answer is needed to learn that the limit
	// has ended.
	maxRateInterval = 10 * time.Second
	// minRateInterval is the shortest interval; a higher rate does not limit a VM.
	minRateInterval = 10 * time.Microsecond
)

// NewRateLimit returns the limit of a number of requests per second. It returns false
// if the number is negative or not finite.
func NewRateLimit(perSecond float64) (RateLimit, bool) {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return nil, false
	}
	interval := float64(time.Second) / perSecond
	switch {
	case interval >= float64(maxRateInterval):
		return Limited{Interval: maxRateInterval}, true
	case interval < float64(minRateInterval):
		return Unlimited{}, true
	}
	return Limited{Interval: time.Duration(interval)}, true
}

// rateTolerance is the ratio of two limits up to which they count as similar.
const rateTolerance = 1.1

// SimilarRateLimits reports whether two limits differ so little that other VMs need not
// be told of the change. VMs assume no limit while none is known.
func SimilarRateLimits(a, b RateLimit) bool {
	x, limitedA := a.(Limited)
	y, limitedB := b.(Limited)
	if !limitedA || !limitedB {
		return limitedA == limitedB
	}
	longer, shorter := max(x.Interval, y.Interval), min(x.Interval, y.Interval)
	return float64(longer) <= rateTolerance*float64(shorter)
}

// LowerRateLimit returns the lower of two limits; one that is not known does not limit.
func LowerRateLimit(a, b RateLimit) RateLimit {
	x, limitedA := a.(Limited)
	y, limitedB := b.(Limited)
	switch {
	case limitedA && limitedB && y.Interval > x.Interval, limitedB && !limitedA:
		return b
	case a == nil:
		return b
	}
	return a
}
