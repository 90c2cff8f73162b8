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
// free credits, and lowers targets where credits are needed elsewhere.
func (o *Owner) lend(now time.Time) {
	if !o.rebuildDone(now) {
		return
	}
	o.retryAt = time.Time{}
	countsWereValid := o.countsValid
	o.recount()
	o.updateSaturation(now)
	if _, ok := o.options.Lending.(OnDemand); !ok || !countsWereValid {
		o.recallExcess(now)
	}
	slots := 0
	for _, p := range o.pools {
		slots += o.capacity(now, p)
	}
	switch o.options.Lending.(type) {
	case InAdvance:
		ideals := o.idealShares(now, slots)
		missing := o.grantMissing(now, ideals)
		o.lowerTargets(now, ideals, missing)
		o.lendSpare(now, ideals)
	case OnDemand:
		o.grantByRank(now, slots)
	}
}

// rebuildDone reports whether the owner may lend: all borrowers have claimed, or
// rebuildDeadline has passed.
func (o *Owner) rebuildDone(now time.Time) bool {
	if o.rebuilt {
		return true
	}
	for _, a := range o.accounts {
		if !a.claimed && now.Before(o.rebuildDeadline) {
			return false
		}
	}
	o.rebuilt = true
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
		o.queueingSince = time.Time{}
	case o.queueingSince.IsZero():
		o.queueingSince = now
	}
	if waiting && now.Sub(o.queueingSince) >= saturatedAfter {
		o.overcommitUntil = now.Add(overcommitDuration)
	}
}

// capacity returns the number of credits that may be lent at an endpoint.
func (o *Owner) capacity(now time.Time, p *pool) int {
	if p.Draining || o.broken(p) {
		return 0
	}
	if now.Before(o.overcommitUntil) && now.After(p.shedCooldownEnd) {
		return p.Slots + o.options.Overcommit
	}
	return p.Slots
}

// broken reports whether most borrowers send no attempts to an endpoint because it is broken.
func (o *Owner) broken(p *pool) bool { return 2*p.brokenBy > len(o.accounts) }

// recallExcess recalls the credits above the capacity of each endpoint, one at a time
// from the borrower that has the most there.
func (o *Owner) recallExcess(now time.Time) {
	for _, p := range o.pools {
		unrecalled := 0
		for _, a := range o.accounts {
			if l := a.loans[p.Address]; l != nil {
				unrecalled += l.unrecalled()
			}
		}
		for ; unrecalled > o.capacity(now, p); unrecalled-- {
			o.recallOne(now, p)
		}
	}
}

// recallOne recalls a credit at an endpoint from the borrower that has the most there.
func (o *Owner) recallOne(now time.Time, p *pool) {
	var most *account
	for _, a := range o.accounts {
		l := a.loans[p.Address]
		if l != nil && a.claimed && (most == nil || l.unrecalled() > most.loans[p.Address].unrecalled()) {
			most = a
		}
	}
	if most == nil {
		return
	}
	l := most.loans[p.Address]
	l.recalled = max(l.recalled, l.returned) + 1
	l.changed = most.timer.nextSequence()
	most.markChanged(p.Address)
	most.timer.scheduleUpdate(now)
}

// grantMissing grants free credits to the borrowers that have waiting requests and
// hold less than their ideal share, one at a time to the one that lacks the most. It
// returns what each still lacks.
func (o *Owner) grantMissing(now time.Time, ideals []float64) []int {
	missing := make([]int, len(o.accounts))
	for i, a := range o.accounts {
		if a.claimed {
			missing[i] = max(0, min(a.uncoveredRequests(), int(math.Floor(ideals[i]+roundingTolerance))-a.heldCredits))
		}
	}
	for {
		i := mostMissing(missing)
		if i < 0 {
			return missing
		}
		if !o.grantOne(now, o.accounts[i]) {
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
// there is none.
func (o *Owner) grantOne(now time.Time, a *account) bool {
	best := o.chooseEndpoint(now, a)
	if best == nil {
		return false
	}
	l := a.loanAt(best.Address)
	l.granted++
	best.lentCredits++
	a.heldCredits++
	a.markChanged(best.Address)
	best.lastGrant = now
	if best.lentCredits >= best.Slots {
		o.lastFullGrant = now
	}
	l.recordGrant(now, best.lentCredits >= best.Slots)
	l.changed = a.timer.nextSequence()
	a.target = max(a.target, a.heldCredits)
	a.addPending(1)
	a.timer.scheduleUpdate(now)
	return true
}

// chooseEndpoint returns the best endpoint with a free credit for a borrower. It
// returns nil if there is none, or if a probe may soon show a clearly better one.
func (o *Owner) chooseEndpoint(now time.Time, a *account) *pool {
	var best *pool
	minCost, minUnprobedCost := math.Inf(1), math.Inf(1)
	for _, p := range o.pools {
		free := o.capacity(now, p) - p.lentCredits
		if free <= 0 {
			continue
		}
		var cost float64
		var l *loan
		switch o.options.Lending.(type) {
		case InAdvance:
			l = a.loans[p.Address]
			cost = advanceCost(a, p, l, free)
		case OnDemand:
			slowdown := o.slowdown(now, p)
			common := o.zoneCost(now, a, p, slowdown)
			if common-maxDiscount > minCost {
				continue
			}
			l = a.loans[p.Address]
			cost = common + o.borrowerCost(now, p, l)
			if !o.eligible(now, p, slowdown) {
				if o.worthProbing(now, p, l) {
					minUnprobedCost = min(minUnprobedCost, cost)
				}
				continue
			}
		}
		if (l == nil || !l.broken) && isBetter(cost, p, minCost, best) {
			best, minCost = p, cost
		}
	}
	if best != nil && minUnprobedCost+minProbeGain <= minCost && now.Sub(o.waitingSince[o.grantRank]) < probeTimeout {
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

// advanceCost orders endpoints for credits that are lent in advance, the lowest cost
// first: where the borrower holds the fewest credits, then in its own availability
// zone, then where the most are free.
func advanceCost(a *account, p *pool, l *loan, free int) float64 {
	cost := 0.0
	if l != nil {
		cost += 2 * float64(l.held())
	}
	if p.Zone != a.vm.Zone {
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

// lowerTargets lowers the targets of the borrowers that are the most above their ideal
// share by as many credits as others lack, less those already asked for.
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
		wanted -= max(0, a.heldCredits-a.target)
	}
	for ; wanted > 0; wanted-- {
		a := o.mostAboveIdeal(ideals)
		if a == nil {
			return
		}
		a.target = min(a.target, a.heldCredits) - 1
		a.timer.scheduleUpdate(now)
	}
}

// raiseTargets lets borrowers keep the credits that they hold when none lacks any.
func (o *Owner) raiseTargets() {
	for _, a := range o.accounts {
		a.target = max(a.target, a.heldCredits)
	}
}

// mostAboveIdeal returns the account that holds the most above its ideal share, or nil.
func (o *Owner) mostAboveIdeal(ideals []float64) *account {
	var most *account
	excess := roundingTolerance
	for i, a := range o.accounts {
		above := float64(min(a.target, a.heldCredits)) - ideals[i]
		if a.claimed && above > excess {
			most, excess = a, above
		}
	}
	return most
}

// lendSpare lends the free credits beyond a reserve while no requests wait, so that
// later requests need not wait for a grant.
func (o *Owner) lendSpare(now time.Time, ideals []float64) {
	if !o.queueingSince.IsZero() {
		return
	}
	free, slots := 0, 0
	for _, p := range o.pools {
		c := o.capacity(now, p)
		slots += c
		free += max(0, c-p.lentCredits)
	}
	for ; free > slots/reserveDivisor; free-- {
		a := o.mostBelowIdeal(ideals)
		if a == nil || !o.grantOne(now, a) {
			return
		}
	}
}

// reserveDivisor is the inverse of the share of the slots that the owner keeps free
// for the next VM that needs them.
const reserveDivisor = 8

// mostBelowIdeal returns the account that lacks the most of its ideal share, or nil.
func (o *Owner) mostBelowIdeal(ideals []float64) *account {
	var most *account
	deficit := math.Inf(-1)
	for i, a := range o.accounts {
		below := ideals[i] - float64(a.heldCredits)
		if a.claimed && below > deficit {
			most, deficit = a, below
		}
	}
	return most
}
