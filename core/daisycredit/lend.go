package daisycredit

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// roundingTolerance absorbs the rounding errors of sums of shares.
const roundingTolerance = 1e-6

// lend brings the credits of the borrowers closer to what they should hold: it grants
// free credits, and lowers credit targets where credits are needed elsewhere.
func (o *Owner) lend(now time.Time) {
	if !o.mayLend(now) {
		return
	}
	o.retryAt = time.Time{}
	countsWereValid := o.countsValid
	o.recount()
	if !countsWereValid {
		o.updateBuckets(now)
	}
	o.endColdness(now)
	o.updateSaturation(now)
	if _, ok := o.options.Lending.(OnDemand); !ok || !countsWereValid {
		o.recallExcess(now)
	}
	slots := 0
	for _, e := range o.endpoints {
		slots += o.capacity(now, e)
	}
	switch o.options.Lending.(type) {
	case InAdvance:
		ideals := o.idealShares(now, slots)
		missing := o.grantMissing(now, ideals)
		o.lowerTargets(now, ideals, missing)
		o.lendSpare(now, ideals)
	case OnDemand:
		o.grantByRank(now, o.lendableSlots(now))
	}
}

// mayLend reports whether the owner may lend: all borrowers have claimed the credits
// that they hold, or claimDeadline has passed.
func (o *Owner) mayLend(now time.Time) bool {
	if o.lendingStarted {
		return true
	}
	for _, a := range o.accounts {
		if !a.reported && now.Before(o.claimDeadline) {
			return false
		}
	}
	o.lendingStarted = true
	return true
}

// updateSaturation tracks whether requests wait. Credits stay overcommitted for
// a while afterwards, so that they do not come and go with every short queue.
func (o *Owner) updateSaturation(now time.Time) {
	waiting := false
	for _, a := range o.accounts {
		waiting = waiting || a.uncoveredRequests() > 0
	}
	switch {
	case !waiting:
		o.anyWaitingSince = time.Time{}
	case o.anyWaitingSince.IsZero():
		o.anyWaitingSince = now
	}
	if waiting && now.Sub(o.anyWaitingSince) >= saturatedAfter {
		o.overcommitUntil = now.Add(overcommitDuration)
	}
}

// capacity returns the number of credits that may be lent at an endpoint.
func (o *Owner) capacity(now time.Time, e *endpointState) int {
	slots := o.openSlots(now, e)
	if slots == e.Slots && now.Before(o.overcommitUntil) && now.After(e.shedCooldownEnd) {
		return slots + o.options.Overcommit
	}
	return slots
}

// openSlots returns the number of slots of an endpoint that new requests may use.
func (o *Owner) openSlots(now time.Time, e *endpointState) int {
	if e.Draining || e.Evacuated || e.leaving || o.restrictedByMost(e) {
		return 0
	}
	return min(e.Slots, o.returnedSlots(now, e))
}

// restrictedByMost reports whether most borrowers send only trials or nothing to an endpoint.
func (o *Owner) restrictedByMost(e *endpointState) bool { return 2*e.restrictedBy > len(o.accounts) }

// recallExcess recalls the credits above the capacity of each endpoint, one at a time
// from the borrower that has the most there.
func (o *Owner) recallExcess(now time.Time) {
	for _, e := range o.endpoints {
		unrecalled := 0
		for _, a := range o.accounts {
			if l := a.loans[e.Address]; l != nil {
				unrecalled += l.unrecalled()
			}
		}
		for ; unrecalled > o.capacity(now, e); unrecalled-- {
			o.recallOne(now, e)
		}
	}
}

// recallOne recalls a credit at an endpoint from the borrower that has the most there.
func (o *Owner) recallOne(now time.Time, e *endpointState) {
	var most *account
	for _, a := range o.accounts {
		l := a.loans[e.Address]
		if l != nil && a.reported && (most == nil || l.unrecalled() > most.loans[e.Address].unrecalled()) {
			most = a
		}
	}
	if most == nil {
		return
	}
	l := most.loans[e.Address]
	l.recalled = max(l.recalled, l.returned) + 1
	l.changed = most.timer.nextSequence()
	most.markChanged(e.Address)
	most.timer.scheduleUpdate(now)
}

// grantMissing grants free credits to the borrowers that have waiting requests and
// hold less than their ideal share, one at a time to the one that lacks the most. It
// returns what each still lacks.
func (o *Owner) grantMissing(now time.Time, ideals []float64) []int {
	missing := make([]int, len(o.accounts))
	for i, a := range o.accounts {
		if a.reported {
			missing[i] = max(0, min(a.uncoveredRequests(), int(math.Floor(ideals[i]+roundingTolerance))-a.heldCredits))
		}
	}
	for {
		i := mostMissing(missing)
		if i < 0 {
			return missing
		}
		if !o.grantOne(now, o.accounts[i], true) {
			return missing
		}
		missing[i]--
	}
}

// mostMissing returns the index of the largest number above 0, or -1.
func mostMissing(missing []int) int {
	most := -1
	for i, m := range missing {
		if m > 0 && (most < 0 || m > missing[most]) {
			most = i
		}
	}
	return most
}

// grantOne grants a borrower a free credit at the best endpoint. It reports false if
// there is none. Credits at endpoints with a rate limit are only granted for waiting
// requests.
func (o *Owner) grantOne(now time.Time, a *account, waiting bool) bool {
	best := o.chooseEndpoint(now, a, waiting)
	if best == nil {
		return false
	}
	l := a.loanAt(best.Address)
	l.granted++
	o.granted++
	best.lentCredits++
	a.heldCredits++
	a.markChanged(best.Address)
	best.lastGrant = now
	best.rate.bucket.Take(now)
	if best.lentCredits >= best.Slots {
		o.lastFullGrant = now
	}
	l.recordGrant(now, o.grantRank, best.lentCredits >= best.Slots)
	l.changed = a.timer.nextSequence()
	a.creditTarget = max(a.creditTarget, a.heldCredits)
	a.addPending(1)
	a.timer.scheduleUpdate(now)
	return true
}

// chooseEndpoint returns the best endpoint with a free credit for a borrower. It
// returns nil if there is none, or if a probe may soon show a clearly better one.
func (o *Owner) chooseEndpoint(now time.Time, a *account, waiting bool) *endpointState {
	var best *endpointState
	minCost, minUnprobedCost := math.Inf(1), math.Inf(1)
	for _, e := range o.endpoints {
		free := o.capacity(now, e) - e.lentCredits
		if free <= 0 || !waiting && e.rate.limited() || !o.rateAllows(now, e) {
			continue
		}
		var cost float64
		var l *loan
		switch o.options.Lending.(type) {
		case InAdvance:
			l = a.loans[e.Address]
			cost = advanceCost(a, e, l, free)
		case OnDemand:
			slowdown := o.slowdown(now, e)
			common := o.zoneCost(now, a, e, slowdown)
			if common-maxDiscount > minCost {
				continue
			}
			l = a.loans[e.Address]
			cost = common + o.borrowerCost(now, e, l)
			if !o.eligible(now, e, slowdown) {
				if o.worthProbing(now, e, l) {
					minUnprobedCost = min(minUnprobedCost, cost)
				}
				continue
			}
		}
		if (l == nil || !l.restricted) && isBetter(cost, e, minCost, best) {
			best, minCost = e, cost
		}
	}
	if best != nil && minUnprobedCost+minProbeGain <= minCost && now.Sub(o.rankWaitingSince[o.grantRank]) < slowProbeAge {
		return nil
	}
	return best
}

// markChanged adds an endpoint to those that the next grant includes.
func (a *account) markChanged(endpoint netip.AddrPort) {
	if !slices.Contains(a.changed, endpoint) {
		a.changed = append(a.changed, endpoint)
	}
}

// advanceCost returns the cost of an endpoint for a credit lent in advance; lower is
// better: where the borrower holds the fewest credits, then in its own availability
// zone, then where the most are free. Each held credit adds 2 and another zone 1, while
// free credits subtract at most 0.9, so that each criterion counts only when the
// earlier ones are equal.
func advanceCost(a *account, e *endpointState, l *loan, free int) float64 {
	cost := 0.0
	if l != nil {
		cost += 2 * float64(l.held())
	}
	if e.Zone != a.vm.Zone {
		cost++
	}
	return cost - 0.1*float64(min(free, 9))
}

// addPending records the number of credits that the next grant carries.
func (a *account) addPending(credits int) {
	next := a.timer.nextSequence()
	if n := len(a.pending); n > 0 && a.pending[n-1].sequence == next {
		a.pending[n-1].credits += credits
		return
	}
	a.pending = append(a.pending, pendingGrant{sequence: next, credits: credits})
}

// lowerTargets lowers the credit targets of the borrowers that are the most above
// their ideal share by as many credits as others lack, less those already asked for.
func (o *Owner) lowerTargets(now time.Time, ideals []float64, missing []int) {
	wanted := 0
	for _, m := range missing {
		wanted += m
	}
	if wanted == 0 {
		o.raiseTargets()
		return
	}
	for _, a := range o.accounts {
		wanted -= max(0, a.heldCredits-a.creditTarget)
	}
	for ; wanted > 0; wanted-- {
		a := o.mostAboveIdeal(ideals)
		if a == nil {
			return
		}
		a.creditTarget = min(a.creditTarget, a.heldCredits) - 1
		a.timer.scheduleUpdate(now)
	}
}

// raiseTargets lets borrowers keep the credits that they hold when none lacks any.
func (o *Owner) raiseTargets() {
	for _, a := range o.accounts {
		a.creditTarget = max(a.creditTarget, a.heldCredits)
	}
}

// mostAboveIdeal returns the account that holds the most above its ideal share, or nil.
func (o *Owner) mostAboveIdeal(ideals []float64) *account {
	var most *account
	excess := roundingTolerance
	for i, a := range o.accounts {
		above := float64(min(a.creditTarget, a.heldCredits)) - ideals[i]
		if a.reported && above > excess {
			most, excess = a, above
		}
	}
	return most
}

// lendSpare lends the free credits beyond a reserve while no requests wait, so that
// later requests need not wait for a grant.
func (o *Owner) lendSpare(now time.Time, ideals []float64) {
	if !o.anyWaitingSince.IsZero() {
		return
	}
	free, slots := 0, 0
	for _, e := range o.endpoints {
		if e.rate.limited() {
			continue
		}
		c := o.capacity(now, e)
		slots += c
		free += max(0, c-e.lentCredits)
	}
	for ; free > slots/reserveDivisor; free-- {
		a := o.mostBelowIdeal(ideals)
		if a == nil || !o.grantOne(now, a, false) {
			return
		}
	}
}

// reserveDivisor is the inverse of the share of the slots that the owner keeps free
// for the next VM that needs them.
const reserveDivisor = 8

// mostBelowIdeal returns the account whose holdings are the furthest below its ideal
// share or, if none is below it, the least above it. It returns nil if no borrower has
// reported in its term.
func (o *Owner) mostBelowIdeal(ideals []float64) *account {
	var most *account
	deficit := math.Inf(-1)
	for i, a := range o.accounts {
		below := ideals[i] - float64(a.heldCredits)
		if a.reported && below > deficit {
			most, deficit = a, below
		}
	}
	return most
}
