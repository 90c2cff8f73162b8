package daisyroute

import (
	"math"
	"net/netip"
	"time"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrate"
	"daisyyoke/core/daisyvm"
)

const (
	// silentShareTime is how long rate limits and budgets keep a share for a VM that
	// is no longer heard of without having left as planned: it may be alive and cut off.
	silentShareTime = 30 * time.Second
	// rateUseTime is the time over which the used share of a rate is averaged.
	rateUseTime = 4 * time.Second
)

// rateState is the rate limit of an endpoint and what this VM may send and has sent.
type rateState struct {
	limit daisyendpoint.RateLimit
	// bucket has this VM's share of the rate. It is used for the requests for which no
	// owner lends a credit: trials, probes, and all in fallback mode.
	bucket daisyrate.Bucket
	// used is a moving average of the requests per second that this VM sends, probes
	// included, updated at usedAt.
	used   float64
	usedAt time.Time
}

func (s *rateState) limited() bool { return s.bucket.Limiting() }

// countUse counts a request or probe that is sent now.
func (s *rateState) countUse(now time.Time) {
	s.used = s.usedNow(now) + float64(time.Second)/float64(rateUseTime)
	s.usedAt = now
}

func (s *rateState) usedNow(now time.Time) float64 {
	return s.used * math.Exp(-float64(now.Sub(s.usedAt))/float64(rateUseTime))
}

// usedShare returns the share of the endpoint's rate that this VM uses.
func (s *rateState) usedShare(now time.Time) float64 {
	limit, ok := s.limit.(daisyendpoint.Limited)
	if !ok {
		return 0
	}
	return s.usedNow(now) * limit.Interval.Seconds()
}

// applyRateLimit puts the rate limit of an endpoint in force.
func (d *Dispatcher) applyRateLimit(now time.Time, e *endpoint, limit daisyendpoint.RateLimit, fromPeer bool) {
	if limit == nil {
		return
	}
	changed := !daisyendpoint.SimilarRateLimits(e.rate.limit, limit)
	wasLimited := e.rate.limited()
	e.rate.limit = limit
	d.updateRateShare(now, e)
	if changed {
		d.emit(RateLimitChanged{Endpoint: e.address, RateLimit: limit, VMs: d.sharers(now), FromPeer: fromPeer})
	}
	if wasLimited || e.rate.limited() {
		d.updateEvenShare()
		d.refresh(now, e)
	}
}

// noteRateLimit handles the rate limit that an endpoint named in a response to this VM.
func (d *Dispatcher) noteRateLimit(now time.Time, e *endpoint, limit daisyendpoint.RateLimit) {
	if e.removed || limit == nil {
		return
	}
	e.sharing.noteRateLimit(now, e, limit)
	d.applyRateLimit(now, e, limit, false)
}

// forgetRateLimit discards the rate limit of the endpoint that used the address before.
func (d *Dispatcher) forgetRateLimit(e *endpoint) {
	e.rate = rateState{}
	e.sharing.forgetRateLimit(e)
}

// updateRateShare sets this VM's share of the rate of an endpoint. The phase is random,
// so that the VMs do not use their shares at the same time.
func (d *Dispatcher) updateRateShare(now time.Time, e *endpoint) {
	limit, ok := e.rate.limit.(daisyendpoint.Limited)
	if !ok {
		e.rate.bucket.Unlimit()
		return
	}
	phase := 0.0
	if !e.rate.limited() {
		phase = d.random.Float64()
	}
	e.rate.bucket.Limit(now, time.Duration(d.sharers(now))*limit.Interval, phase)
}

// sharers returns the number of VMs among which rates and shared budgets are divided: the
// live ones and those that fell silent recently, which may still send.
func (d *Dispatcher) sharers(now time.Time) int {
	n := len(d.peers) + 1 + d.leavingPeers
	for name, since := range d.silentSince {
		if now.Sub(since) >= silentShareTime {
			delete(d.silentSince, name)
			continue
		}
		n++
	}
	return n
}

// trackSilentVMs notes which VMs are no longer heard of.
func (d *Dispatcher) trackSilentVMs(now time.Time, event PeersChanged) {
	present := make(map[daisyvm.Name]bool, len(event.VMs)+len(event.Leaving))
	for _, v := range event.VMs {
		present[v.Name] = true
	}
	d.leavingPeers = 0
	for _, v := range event.Leaving {
		present[v.Name] = true
		if v.Name != d.self.Name {
			d.leavingPeers++
		}
	}
	for _, name := range d.peers {
		if !present[name] {
			d.silentSince[name] = now
		}
	}
	for name := range present {
		delete(d.silentSince, name)
	}
}

// usesOwnRate reports whether attempts need this VM's own share of an endpoint's rate,
// because no owner lends a credit for each.
func (d *Dispatcher) usesOwnRate(e *endpoint) bool {
	switch d.policy.(type) {
	case Credits:
		return e.sharing.borrower.InFallback()
	case Random, RoundRobin, LeastOfTwo, EvenShares:
	}
	return true
}

// limitRate lowers the result of spareAttempts to what the endpoint's rate limit allows.
func (d *Dispatcher) limitRate(now time.Time, e *endpoint, spare int, trial bool) (limited int, limitedTrial bool) {
	if e.rate.bucket.Allows(now) {
		if e.rate.limited() && d.usesOwnRate(e) {
			spare = min(spare, 1)
		}
		return spare, trial
	}
	if d.usesOwnRate(e) {
		spare = 0
	}
	return spare, false
}

// nextByRate returns when this VM's share of an endpoint's rate allows the next request,
// or the zero time if it does not limit it now.
func (d *Dispatcher) nextByRate(now time.Time, e *endpoint) time.Time {
	if e.rate.bucket.Allows(now) || !d.usesOwnRate(e) && !e.ejected() {
		return time.Time{}
	}
	return e.rate.bucket.Next(now)
}

// countSend counts an attempt against the rate limit of its endpoint.
func (d *Dispatcher) countSend(now time.Time, e *endpoint, trial bool) {
	e.rate.countUse(now)
	if trial || d.usesOwnRate(e) {
		e.rate.bucket.Take(now)
	}
}

// usableSlots returns how many slots of the service its rate limits let the VMs use on
// average, and whether a rate limit lowers that number.
func (d *Dispatcher) usableSlots() (slots float64, limited bool) {
	slotTime := d.queue.SlotTime()
	for _, e := range d.endpoints {
		if e.declared.Evacuated {
			continue
		}
		n := float64(e.slots)
		if limit, ok := e.rate.limit.(daisyendpoint.Limited); ok && slotTime > 0 {
			n = min(n, float64(slotTime)/float64(limit.Interval))
		}
		limited = limited || n < float64(e.slots)
		slots += n
	}
	return slots, limited
}

// updateEvenShare tells the queue how many slots this VM has if all VMs need equally many.
func (d *Dispatcher) updateEvenShare() {
	slots, limited := d.usableSlots()
	d.queue.SetEvenShare(slots / float64(len(d.peers)+1))
	d.queue.SetRateLimited(limited)
	d.rateLimited = limited
}

// RateLimit returns the rate limit of an endpoint; nil if it is not known.
func (d *Dispatcher) RateLimit(endpoint netip.AddrPort) daisyendpoint.RateLimit {
	if e := d.byAddress[endpoint]; e != nil {
		return e.rate.limit
	}
	return nil
}

// updateSilentVMs adapts the budget to the VMs that fell silent recently, and tells the owners
// on this VM how many there are.
func (d *Dispatcher) updateSilentVMs(now time.Time) {
	if n := d.sharers(now); n != d.budgetSharers {
		d.budgetSharers = n
		d.budget.SetLimits(d.budgetPolicy.limits(n))
	}
	for _, s := range d.sharings {
		if s.owner != nil {
			s.owner.SetSilentVMs(now, d.sharers(now)-len(d.peers)-1-d.leavingPeers)
		}
	}
}

// learnRateLimits applies the rate limits that the borrower has learned from a grant.
func (d *Dispatcher) learnRateLimits(now time.Time, s *slotSharing, grant daisycredit.Grant) {
	for _, g := range grant.Granted {
		if e := d.byAddress[g.Endpoint]; e != nil && !e.removed {
			d.applyRateLimit(now, e, s.borrower.RateLimit(g.Endpoint), true)
		}
	}
}
