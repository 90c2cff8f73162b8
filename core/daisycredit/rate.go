package daisycredit

import (
	"math"
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrate"
	"daisyyoke/core/daisywake"
)

// rateNewsDelay is how long the news of a rate limit may be delayed so that one message
// carries the limits of several endpoints.
const rateNewsDelay = 50 * time.Millisecond

// rateState is the owner's record of the rate limit of one endpoint.
//
// The owner takes each credit that it lends there from a bucket, and borrowers return
// such a credit after one attempt. It uses the shares of the VMs that rely on it: a VM in
// fallback mode or with trials only sends at its own share of the rate.
type rateState struct {
	// limit is the latest limit, and announced the one that the borrowers were told.
	limit, announced daisyendpoint.RateLimit
	// cold is the coldness of the endpoint, and inForce the lower of limit and the limit of
	// cold endpoints, or limit while the endpoint is not cold.
	cold    coldness
	inForce daisyendpoint.RateLimit
	// chargeDue is set while the credits that were lent before the coldness began have not
	// been charged.
	chargeDue bool
	bucket    daisyrate.Bucket
}

func (s *rateState) limited() bool {
	_, ok := s.inForce.(daisyendpoint.Limited)
	return ok
}

// setRateLimit records a rate limit that an endpoint named, and tells the borrowers.
func (o *Owner) setRateLimit(now time.Time, e *endpointState, limit daisyendpoint.RateLimit) {
	e.rate.limit = limit
	o.updateBucket(now, e)
	if daisyendpoint.SimilarRateLimits(e.rate.announced, limit) {
		return
	}
	e.rate.announced = limit
	for _, a := range o.accounts {
		o.announceRateLimit(now, a, e.Address)
	}
}

// announceRateLimit includes the rate limit of an endpoint in the next grant to a borrower.
func (o *Owner) announceRateLimit(now time.Time, a *account, endpoint netip.AddrPort) {
	a.loanAt(endpoint).changed = a.timer.nextSequence()
	a.markChanged(endpoint)
	a.timer.scheduleUpdateWithin(now, rateNewsDelay)
}

// announceRateLimits tells a borrower all rate limits, at the beginning of its term.
func (o *Owner) announceRateLimits(now time.Time, a *account) {
	for _, e := range o.endpoints {
		if _, named := e.rate.limit.(daisyendpoint.Limited); named || e.rate.cold.learned {
			o.announceRateLimit(now, a, e.Address)
		}
	}
}

// noteClaimedRateLimits applies the rate limits that a borrower knows at the beginning of
// its term to the endpoints of which this owner knows none.
func (o *Owner) noteClaimedRateLimits(now time.Time, a *account, held []Held) {
	for _, h := range held {
		a.loanAt(h.Endpoint).answers = h.Answers
		if e := o.endpoint(h.Endpoint); e != nil && e.rate.limit == nil && h.RateLimit != nil {
			o.setRateLimit(now, e, h.RateLimit)
		}
	}
}

// SetSilentVMs sets the number of VMs that are no longer heard of and may be alive but
// cut off. Rate limits keep a share for each of them.
func (o *Owner) SetSilentVMs(now time.Time, silent int) {
	o.silentVMs = silent
	o.updateBuckets(now)
}

// updateBucket sets the rate at which the owner lends credits at an endpoint: the shares
// of the borrowers that rely on its credits there.
func (o *Owner) updateBucket(now time.Time, e *endpointState) {
	e.rate.inForce = e.rate.limit
	if e.rate.cold.inForce() {
		e.rate.inForce = daisyendpoint.LowerRateLimit(e.rate.limit, o.coldLimit)
	}
	limit, ok := e.rate.inForce.(daisyendpoint.Limited)
	if !ok {
		e.rate.bucket.Unlimit()
		return
	}
	relying := max(o.reportedAccounts-e.restrictedReported, 1)
	shares := max(len(o.accounts)+o.silentVMs, relying)
	interval := float64(limit.Interval) * float64(shares) / float64(relying)
	e.rate.bucket.SaveFor(e.rate.cold.saveTime())
	e.rate.bucket.Limit(now, time.Duration(interval), 1)
	o.chargeLent(now, e)
}

// updateBuckets updates the buckets after a change of the borrowers.
func (o *Owner) updateBuckets(now time.Time) {
	for _, e := range o.endpoints {
		if e.rate.limited() || e.rate.cold.inForce() {
			o.updateBucket(now, e)
		}
	}
}

// rateAllows reports whether the rate limit of an endpoint allows another credit now.
// Otherwise lending is tried again when it does.
func (o *Owner) rateAllows(now time.Time, e *endpointState) bool {
	if e.rate.bucket.Allows(now) {
		return true
	}
	o.retryAt = daisywake.Sooner(o.retryAt, e.rate.bucket.Next(now))
	return false
}

// usableSlots returns how many of the slots of an endpoint its rate limit lets the VMs
// use on average.
func (o *Owner) usableSlots(e *endpointState, slots int) float64 {
	limit, ok := e.rate.inForce.(daisyendpoint.Limited)
	if !ok || o.otherHoldTimes.samples < minHoldSamples {
		return float64(slots)
	}
	return min(float64(slots), float64(o.otherHoldTimes.mean)/float64(limit.Interval))
}

// lendableSlots returns the slots that are divided among the ranks. A fraction of a slot
// counts as a whole one, and a further one lets the next request start while the rate
// allows it.
func (o *Owner) lendableSlots(now time.Time) int {
	slots, limited := 0.0, false
	for _, e := range o.endpoints {
		slots += o.usableSlots(e, o.capacity(now, e))
		limited = limited || e.rate.limited()
	}
	if limited {
		slots = math.Ceil(slots) + 1
	}
	return int(slots)
}

// NoteRateLimit records the rate limit that an endpoint named in an answer to this VM.
// The owner is told with the next report.
func (b *Borrower) NoteRateLimit(now time.Time, endpoint netip.AddrPort, limit daisyendpoint.RateLimit) {
	c := b.creditsAt(endpoint)
	news := !daisyendpoint.SimilarRateLimits(c.rateLimit, limit)
	c.rateLimit = limit
	c.answers++
	if news {
		c.changed = b.timer.nextSequence()
		c.rateLimitNews = c.changed
		b.timer.scheduleUpdateWithin(now, batchDelay)
		b.returnSurplus(now, c)
	}
}

// ForgetRateLimit discards the rate limit of the endpoint that used an address before.
func (b *Borrower) ForgetRateLimit(endpoint netip.AddrPort) { b.creditsAt(endpoint).rateLimit = nil }

// RateLimit returns the rate limit of an endpoint; nil if it is not known.
func (b *Borrower) RateLimit(endpoint netip.AddrPort) daisyendpoint.RateLimit {
	return b.creditsAt(endpoint).rateLimit
}
