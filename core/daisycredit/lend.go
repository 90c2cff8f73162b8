package daisycredit

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// rounding absorbs the error of sums of shares.
const rounding = 1e-6

// lend brings what the borrowers have closer to what they should have: it grants
// free credits, and lowers targets where credits are wanted elsewhere.
func (o *Owner) lend(now time.Time) {
	if !o.ready(now) {
		return
	}
	o.retry = time.Time{}
	recounted := o.recounted
	o.recount()
	o.noteSaturation(now)
	if _, ok := o.options.Lending.(OnDemand); !ok || !recounted {
		o.recallExcess(now)
	}
	slots := 0
	for _, p := range o.pools {
		slots += o.capacity(now, p)
	}
	switch o.options.Lending.(type) {
	case AtHand:
		ideals := o.ideals(now, slots)
		missing := o.grantMissing(now, ideals)
		o.lowerTargets(now, ideals, missing)
		o.spread(now, ideals)
	case OnDemand:
		o.grantByRank(now, slots)
	}
}

// ready ends the rebuilding once all borrowers have claimed or the time for it is over.
func (o *Owner) ready(now time.Time) bool {
	if o.settled {
		return true
	}
	for _, a := range o.accounts {
		if !a.claimed && now.Before(o.rebuilt) {
			return false
		}
	}
	o.settled = true
	return true
}

// noteSaturation keeps track of whether work waits. Overcommitting goes on for
// a while after it, so that credits do not come and go with every short queue.
func (o *Owner) noteSaturation(now time.Time) {
	waiting := false
	for _, a := range o.accounts {
		waiting = waiting || a.unmet() > 0
	}
	switch {
	case !waiting:
		o.saturated = time.Time{}
	case o.saturated.IsZero():
		o.saturated = now
	}
	if waiting && now.Sub(o.saturated) >= saturatedAfter {
		o.overcommitted = now.Add(overcommitFor)
	}
}

// capacity gives the credits that may be lent at an endpoint.
func (o *Owner) capacity(now time.Time, p *pool) int {
	if p.Draining || o.broken(p) {
		return 0
	}
	if now.Before(o.overcommitted) && now.After(p.calm) {
		return p.Slots + o.options.Overcommit
	}
	return p.Slots
}

// broken reports whether most borrowers keep work away from an endpoint.
func (o *Owner) broken(p *pool) bool { return 2*p.brokenBy > len(o.accounts) }

// recallExcess asks back the credits above the capacity of an endpoint, from whoever has most.
func (o *Owner) recallExcess(now time.Time) {
	for _, p := range o.pools {
		coming := 0
		for _, a := range o.accounts {
			if l := a.lines[p.Address]; l != nil {
				coming += l.coming()
			}
		}
		for ; coming > o.capacity(now, p); coming-- {
			o.recallOne(now, p)
		}
	}
}

func (o *Owner) recallOne(now time.Time, p *pool) {
	var most *account
	for _, a := range o.accounts {
		l := a.lines[p.Address]
		if l != nil && a.claimed && (most == nil || l.coming() > most.lines[p.Address].coming()) {
			most = a
		}
	}
	if most == nil {
		return
	}
	l := most.lines[p.Address]
	l.recalled = max(l.recalled, l.returned) + 1
	l.changed = most.pace.next()
	most.touch(p.Address)
	most.pace.urge(now)
}

// grantMissing grants free credits to the borrowers whose waiting requests
// should have them, one at a time to the one that lacks most, and gives what
// each still lacks.
func (o *Owner) grantMissing(now time.Time, ideals []float64) []int {
	missing := make([]int, len(o.accounts))
	for i, a := range o.accounts {
		if a.claimed {
			missing[i] = max(0, min(a.unmet(), int(math.Floor(ideals[i]+rounding))-a.out))
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

func mostMissing(missing []int) int {
	most := -1
	for i, m := range missing {
		if m > 0 && (most < 0 || m > missing[most]) {
			most = i
		}
	}
	return most
}

// grantOne grants a free credit, at the endpoint where the borrower has the
// fewest, then in its own availability zone, then where most are free.
func (o *Owner) grantOne(now time.Time, a *account) bool {
	best := o.choose(now, a)
	if best == nil {
		return false
	}
	l := a.line(best.Address)
	l.granted++
	best.out++
	a.out++
	a.touch(best.Address)
	best.lent = now
	if best.out >= best.Slots {
		o.fullTried = now
	}
	l.noteGranted(now, best.out >= best.Slots)
	l.changed = a.pace.next()
	a.target = max(a.target, a.out)
	a.cover(1)
	a.pace.urge(now)
	return true
}

// choose gives the endpoint with a free credit that is best for a borrower, or nil.
func (o *Owner) choose(now time.Time, a *account) *pool {
	var best *pool
	bestScore, unasked := math.Inf(1), math.Inf(1)
	for _, p := range o.pools {
		free := o.capacity(now, p) - p.out
		if free <= 0 {
			continue
		}
		var score float64
		var l *loan
		switch o.options.Lending.(type) {
		case AtHand:
			l = a.lines[p.Address]
			score = preference(a, p, l, free)
		case OnDemand:
			pace := o.pace(now, p)
			common := o.commonStrain(now, a, p, pace)
			if common-mostRelief > bestScore {
				continue
			}
			l = a.lines[p.Address]
			score = common + o.ownStrain(now, p, l)
			if !o.offers(now, p, pace) {
				if o.mayInspect(now, p, l) {
					unasked = min(unasked, score)
				}
				continue
			}
		}
		if (l == nil || !l.broken) && rather(score, p, bestScore, best) {
			best, bestScore = p, score
		}
	}
	if best != nil && unasked+inspectGain <= bestScore && now.Sub(o.since[o.rank]) < answerWithin {
		return nil
	}
	return best
}

// touch notes that the next grant has to mention an endpoint.
func (a *account) touch(endpoint netip.AddrPort) {
	if !slices.Contains(a.touched, endpoint) {
		a.touched = append(a.touched, endpoint)
	}
}

func preference(a *account, p *pool, l *loan, free int) float64 {
	score := 0.0
	if l != nil {
		score += 2 * float64(l.held())
	}
	if p.Zone != a.vm.Zone {
		score++
	}
	return score - 0.1*float64(min(free, 9))
}

// cover notes credits that the next grant brings.
func (a *account) cover(credits int) {
	next := a.pace.next()
	if n := len(a.covered); n > 0 && a.covered[n-1].sequence == next {
		a.covered[n-1].credits += credits
		return
	}
	a.covered = append(a.covered, cover{sequence: next, credits: credits})
}

// lowerTargets asks the borrowers with the most above their ideal for as many
// credits as others lack, counting those that are already on their way back.
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
		wanted -= max(0, a.out-a.target)
	}
	for ; wanted > 0; wanted-- {
		a := o.mostAbove(ideals)
		if a == nil {
			return
		}
		a.target = min(a.target, a.out) - 1
		a.pace.urge(now)
	}
}

// raiseTargets lets borrowers keep what they have once nobody lacks credits.
func (o *Owner) raiseTargets() {
	for _, a := range o.accounts {
		a.target = max(a.target, a.out)
	}
}

func (o *Owner) mostAbove(ideals []float64) *account {
	var most *account
	excess := rounding
	for i, a := range o.accounts {
		above := float64(min(a.target, a.out)) - ideals[i]
		if a.claimed && above > excess {
			most, excess = a, above
		}
	}
	return most
}

// spread lends the free credits beyond a reserve while nobody waits, so that requests find them at hand.
func (o *Owner) spread(now time.Time, ideals []float64) {
	if !o.saturated.IsZero() {
		return
	}
	free, slots := 0, 0
	for _, p := range o.pools {
		c := o.capacity(now, p)
		slots += c
		free += max(0, c-p.out)
	}
	for ; free > slots/reserveShare; free-- {
		a := o.mostBelow(ideals)
		if a == nil || !o.grantOne(now, a) {
			return
		}
	}
}

// reserveShare is the inverse of the share of the slots that the owner keeps for the next VM in need.
const reserveShare = 8

func (o *Owner) mostBelow(ideals []float64) *account {
	var most *account
	lack := math.Inf(-1)
	for i, a := range o.accounts {
		below := ideals[i] - float64(a.out)
		if a.claimed && below > lack {
			most, lack = a, below
		}
	}
	return most
}
