package daisycredit

import (
	"net/netip"
	"time"
)

const (
	// coldSaveTime is the time for which the rate of a cold endpoint is saved. The bound on
	// a second counts what was saved in addition to the rate, so it is shorter than for
	// limits that endpoints name.
	coldSaveTime = 250 * time.Millisecond
	// coldTolerance is the time by which another VM has to know of a later end of a
	// coldness for it to be news: each message on the way adds its delay.
	coldTolerance = 500 * time.Millisecond
)

// coldness is what an owner or a borrower knows of the coldness of an endpoint.
type coldness struct {
	// until is the end of the coldness; zero if the endpoint is not cold.
	until time.Time
	// learned is set if the end is known otherwise than from the declaration, so that
	// other VMs may not know it.
	learned bool
}

// inForce reports whether the end of the coldness has not been noticed yet.
func (c coldness) inForce() bool { return !c.until.IsZero() }

// laterThan reports whether the coldness ends so much later than known that it is news.
func (c coldness) laterThan(known coldness) bool {
	return c.until.After(known.until.Add(coldTolerance))
}

func (c coldness) saveTime() time.Duration {
	if c.inForce() {
		return coldSaveTime
	}
	return 0
}

// remaining returns how long the endpoint stays cold.
func (c coldness) remaining(now time.Time) time.Duration {
	if !c.inForce() {
		return 0
	}
	return max(c.until.Sub(now), 0)
}

// SetCold sets until when an endpoint is cold; the zero time means that it is not. The
// endpoint need not be declared yet. If learned is set, the owner tells the borrowers.
func (o *Owner) SetCold(now time.Time, endpoint netip.AddrPort, until time.Time, learned bool) {
	cold := coldness{until: until, learned: learned}
	if !until.After(now) {
		cold = coldness{}
	}
	if cold.inForce() {
		o.cold[endpoint] = cold
	} else {
		delete(o.cold, endpoint)
	}
	e := o.endpoint(endpoint)
	if e == nil || e.rate.cold == cold {
		return
	}
	began := !e.rate.cold.inForce() && cold.inForce()
	news := cold.laterThan(e.rate.cold)
	e.rate.cold = cold
	e.rate.chargeDue = e.rate.chargeDue || began
	o.updateBucket(now, e)
	if learned && news {
		for _, a := range o.accounts {
			o.announceRateLimit(now, a, endpoint)
		}
	}
}

// noteHeldCold applies the coldness that a borrower reports.
func (o *Owner) noteHeldCold(now time.Time, e *endpointState, coldFor time.Duration) {
	if e == nil || coldFor <= 0 {
		return
	}
	if cold := (coldness{until: now.Add(coldFor), learned: true}); cold.laterThan(e.rate.cold) {
		o.SetCold(now, e.Address, cold.until, true)
	}
}

// chargeLent counts the credits that were lent before an endpoint was known to be cold
// against its rate: each of them may still be used.
func (o *Owner) chargeLent(now time.Time, e *endpointState) {
	if !e.rate.chargeDue || !o.countsValid {
		return
	}
	e.rate.chargeDue = false
	for range e.lentCredits {
		e.rate.bucket.Take(now)
	}
}

// endColdness lets the endpoints that are no longer cold be used as before.
func (o *Owner) endColdness(now time.Time) {
	for _, e := range o.endpoints {
		if e.rate.cold.inForce() && !now.Before(e.rate.cold.until) {
			o.SetCold(now, e.Address, time.Time{}, false)
		}
	}
}

// SetCold sets until when an endpoint is cold; the zero time means that it is not. If
// learned is set, the owner is told with the next report. Idle credits go back to the
// owner, which lends them at the rate of cold endpoints.
func (b *Borrower) SetCold(now time.Time, endpoint netip.AddrPort, until time.Time, learned bool) {
	c := b.creditsAt(endpoint)
	began := !now.Before(c.cold.until) && now.Before(until)
	cold := coldness{until: until, learned: learned}
	news := cold.laterThan(c.cold)
	c.cold = cold
	if learned && news {
		c.changed = b.timer.nextSequence()
		b.timer.scheduleUpdateWithin(now, batchDelay)
	}
	if idle := c.idle(); began && b.coldLimited && !b.fallback && idle > 0 && b.term != (Term{}) {
		b.returnCredits(now, c, idle)
	}
}

// noteGrantedCold applies the coldness that the owner has told. The credits of the same
// grant were lent at the rate of cold endpoints and are kept.
func (c *endpointCredits) noteGrantedCold(now time.Time, coldFor time.Duration) {
	if cold := (coldness{until: now.Add(coldFor), learned: true}); coldFor > 0 && cold.laterThan(c.cold) {
		c.cold = cold
	}
}

// limited reports whether a rate limit is in force at an endpoint.
func (b *Borrower) limited(now time.Time, c *endpointCredits) bool {
	return c.limited() || b.coldLimited && now.Before(c.cold.until)
}
