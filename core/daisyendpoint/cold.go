package daisyendpoint

// ColdBound bounds the requests of any second to a cold endpoint, from all VMs together:
// the rate that it tolerates times Over, and Slack more. The zero value bounds nothing.
type ColdBound struct{ Over, Slack float64 }

const (
	// coldPeakFactor and coldPeakRequests say how many requests come in the worst second at
	// a rate: two owners, one on each side of a partition or one after the other, each send
	// what the rate allows and what a quarter of a second, or one request, has saved.
	coldPeakFactor   = 2.5
	coldPeakRequests = 2
	// minColdRate is one request in maxRateInterval.
	minColdRate = 0.1
)

// Rate returns the rate at which the VMs send to a cold endpoint that tolerates a number of
// requests per second: that number, or less if the bound leaves too little for overlaps. The
// bound is no reason for a higher rate, since the endpoint tolerates no more.
func (b ColdBound) Rate(perSecond float64) float64 {
	if b == (ColdBound{}) || perSecond <= 0 {
		return perSecond
	}
	kept := (perSecond*b.Over + b.Slack - coldPeakRequests) / coldPeakFactor
	return min(perSecond, max(kept, minColdRate))
}

// ColdRateLimit returns the limit of endpoints that are cold and get a number of requests
// per second; nil if that number is not positive.
func ColdRateLimit(perSecond float64) RateLimit {
	limit, ok := NewRateLimit(perSecond)
	if !ok || perSecond <= 0 {
		return nil
	}
	return limit
}
