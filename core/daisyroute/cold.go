package daisyroute

import (
	"time"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
)

const (
	// coldSaveTime is the time for which a VM saves its share of the rate of a cold
	// endpoint: the bound on a second counts what many VMs have saved.
	coldSaveTime = 250 * time.Millisecond
	// coldShareDivisor divides the shares of a cold endpoint's rate that VMs use without
	// an owner. They use them at random times, so that with the whole rate a second in
	// several hundred would have three times as many requests as the mean.
	coldShareDivisor = 2
	// coldTolerance is how much later than known the end of a coldness has to be for the
	// word of another VM to count: each message on the way adds its delay.
	coldTolerance = 500 * time.Millisecond
	// maxFormerlyCold is the number of incarnations that are remembered after they are no
	// longer declared; the oldest are forgotten first.
	maxFormerlyCold = 4096
)

// coldness is what this VM knows of the coldness of an endpoint's incarnation.
type coldness struct {
	// until is the end of the coldness; zero if the endpoint was never cold.
	until time.Time
	// declaredFor is the ColdFor of the latest declaration.
	declaredFor time.Duration
	// learned is set if until is known otherwise than from the declaration, so that other
	// VMs may not know it.
	learned bool
	// inForce is set while the limit of cold endpoints applies.
	inForce bool
}

// formerlyCold has the coldness of incarnations that are no longer declared: one whose
// registration lapses for a while stays cold, and one that returns has not started again.
type formerlyCold struct {
	known map[daisyendpoint.Identity]coldness
	// order has the incarnations in the order in which they were added.
	order []daisyendpoint.Identity
}

func (f *formerlyCold) add(incarnation daisyendpoint.Identity, c coldness) {
	if !incarnation.Declared() {
		return
	}
	if f.known == nil {
		f.known = make(map[daisyendpoint.Identity]coldness)
	}
	if _, ok := f.known[incarnation]; !ok {
		if len(f.order) >= maxFormerlyCold {
			delete(f.known, f.order[0])
			f.order = f.order[1:]
		}
		f.order = append(f.order, incarnation)
	}
	c.inForce = false
	f.known[incarnation] = c
}

// declareCold derives the coldness of an endpoint from its declaration; appeared is set if
// its incarnation was not declared before.
func (d *Dispatcher) declareCold(now time.Time, e *endpoint, appeared bool) {
	if !d.started {
		return
	}
	before := e.cold
	coldFor := e.declared.ColdFor
	if former, ok := d.formerlyCold.known[e.declared.Identity()]; appeared && ok {
		e.cold, appeared = former, false
	}
	if appeared && coldFor == 0 {
		coldFor = d.service.ColdStart
	}
	if repeated := !appeared && coldFor == e.cold.declaredFor; !repeated && coldFor > 0 {
		e.cold.lengthen(now.Add(coldFor))
	}
	e.cold.declaredFor = e.declared.ColdFor
	if limit, _ := d.limitInForce(now, e); e.cold == before && e.rate.inForce == limit {
		// Every declaration of the service repeats those of all endpoints.
		return
	}
	d.shareColdness(now, e)
	d.putRateInForce(now, e, false)
}

// lengthen moves the end of the coldness to a later time.
func (c *coldness) lengthen(until time.Time) {
	if until.After(c.until) {
		c.until = until
	}
}

// noteReportedCold handles how long an endpoint stays cold according to its own answer to
// this VM.
func (d *Dispatcher) noteReportedCold(now time.Time, e *endpoint, coldFor time.Duration) {
	if coldFor <= 0 || !e.probed.SameIncarnation(e.declared) {
		return
	}
	until := now.Add(coldFor)
	news := until.After(e.cold.until.Add(coldTolerance))
	e.cold.lengthen(until)
	e.cold.learned = e.cold.learned || news
	d.applyColdness(now, e, false)
}

// notePeerCold handles how long an endpoint stays cold according to another VM.
func (d *Dispatcher) notePeerCold(now time.Time, e *endpoint, coldFor time.Duration) {
	until := now.Add(coldFor)
	if coldFor <= 0 || !until.After(e.cold.until.Add(coldTolerance)) {
		return
	}
	e.cold.until, e.cold.learned = until, true
	d.applyColdness(now, e, true)
}

// applyColdness puts what is known of the coldness of an endpoint in force, here and at
// the owners on this VM.
func (d *Dispatcher) applyColdness(now time.Time, e *endpoint, fromPeer bool) {
	if !e.cold.inForce && (d.coldLimit == nil || !now.Before(e.cold.until)) {
		return
	}
	d.shareColdness(now, e)
	d.putRateInForce(now, e, fromPeer)
}

// shareColdness tells the groups of endpoints until when an endpoint is cold.
func (d *Dispatcher) shareColdness(now time.Time, e *endpoint) {
	for _, s := range d.sharings {
		s.setCold(now, e)
	}
}

func (s *slotSharing) setCold(now time.Time, e *endpoint) {
	if s == e.sharing {
		s.borrower.SetCold(now, e.address, e.cold.until, e.cold.learned)
	}
	if s.owner != nil {
		s.owner.SetCold(now, e.address, e.cold.until, e.cold.learned)
	}
}

// putRateInForce puts the lower of the limit that an endpoint names and, while it is cold,
// the limit of cold endpoints in force. An endpoint that is no longer cold is ramped up.
func (d *Dispatcher) putRateInForce(now time.Time, e *endpoint, fromPeer bool) {
	limit, cold := d.limitInForce(now, e)
	wasCold := e.cold.inForce
	e.cold.inForce = cold
	changed := !daisyendpoint.SimilarRateLimits(e.rate.inForce, limit) || wasCold != e.cold.inForce
	wasLimited := e.rate.limited()
	e.rate.inForce = limit
	d.updateRateShare(now, e)
	if wasCold && !e.cold.inForce && !e.removed {
		d.health.Ramp(e.health)
	}
	if changed && !e.removed {
		change := RateLimitChanged{Endpoint: e.address, RateLimit: limit, VMs: d.sharers(now), FromPeer: fromPeer}
		if e.cold.inForce {
			change.ColdFor = e.cold.until.Sub(now)
		}
		d.emit(change)
	}
	if wasLimited || e.rate.limited() {
		d.updateEvenShare()
		d.refresh(now, e)
	}
}

// limitInForce returns the limit that applies to an endpoint now, and whether it is cold.
func (d *Dispatcher) limitInForce(now time.Time, e *endpoint) (limit daisyendpoint.RateLimit, cold bool) {
	if e.removed || d.coldLimit == nil || !now.Before(e.cold.until) {
		return e.rate.limit, false
	}
	return daisyendpoint.LowerRateLimit(e.rate.limit, d.coldLimit), true
}

// endColdness ends the coldness of an endpoint whose time has come.
func (d *Dispatcher) endColdness(now time.Time, e *endpoint) {
	if e.cold.inForce && !now.Before(e.cold.until) {
		d.putRateInForce(now, e, false)
	}
}

// forgetColdness keeps the coldness of an incarnation that is no longer declared for its
// return, and lets the endpoint count as not cold.
func (d *Dispatcher) forgetColdness(now time.Time, e *endpoint) {
	if d.coldLimit != nil {
		d.formerlyCold.add(e.declared.Identity(), e.cold)
	}
	wasCold := e.cold.inForce
	e.cold = coldness{}
	if wasCold {
		d.shareColdness(now, e)
		d.emit(RateLimitChanged{Endpoint: e.address, VMs: d.sharers(now)})
	}
}

// learnColdness applies the coldness that the owner of a group has told.
func (d *Dispatcher) learnColdness(now time.Time, grant daisycredit.Grant) {
	for _, g := range grant.Granted {
		if e := d.byAddress[g.Endpoint]; e != nil && !e.removed {
			d.notePeerCold(now, e, g.ColdFor)
		}
	}
}

// coldInterval returns the interval between the requests that each of a number of VMs may
// send to a cold endpoint without an owner; 0 if the endpoint is not cold.
func (d *Dispatcher) coldInterval(e *endpoint, sharers int) time.Duration {
	limit, ok := d.coldLimit.(daisyendpoint.Limited)
	switch {
	case !ok || !e.cold.inForce:
		return 0
	case sharers == 1:
		return limit.Interval
	}
	return coldShareDivisor * time.Duration(sharers) * limit.Interval
}
