package daisycredit

import (
	"time"
)

const (
	// crossZoneCost is the additional cost of an endpoint in another availability zone
	// than the borrower's. A cost of 1 is the load of a full endpoint.
	crossZoneCost = 0.25
	// sameEndpointCost is the additional cost of an endpoint where the borrower holds a
	// credit already: a retry or a hedge needs another endpoint.
	sameEndpointCost = 0.3
	// recentUseDiscount is the discount for an endpoint at which the borrower got a credit
	// within recentUseAge: it has an open connection to it.
	recentUseDiscount = 0.05
	recentUseAge      = 8 * time.Second
	// idleDiscount is the discount for an endpoint at which no credit was granted for
	// idleAfter, so that every endpoint is used, and none is assumed to be healthy
	// without a request.
	idleDiscount = 0.08
	idleAfter    = 3 * time.Second
	// maxDiscount is the largest discount in borrowerCost.
	maxDiscount = recentUseDiscount + idleDiscount
)

// endpointCost returns the cost of an endpoint for a borrower; lower is better. It is
// the load of the endpoint multiplied by its slowdown, with additions and discounts.
func (o *Owner) endpointCost(now time.Time, a *account, e *endpointState, l *loan) float64 {
	return o.zoneCost(now, a, e, o.slowdown(now, e)) + o.borrowerCost(now, e, l)
}

// zoneCost returns the part of the cost that is the same for all borrowers of an availability zone.
func (o *Owner) zoneCost(now time.Time, a *account, e *endpointState, slowdown float64) float64 {
	cost := float64(e.load(now)+1) / float64(e.Slots) * slowdown
	if e.Zone != a.vm.Zone {
		cost += crossZoneCost
	}
	return cost
}

// borrowerCost returns the part of the cost that depends on the credits that the
// borrower has and had at the endpoint, and on when the endpoint was last used.
func (o *Owner) borrowerCost(now time.Time, e *endpointState, l *loan) float64 {
	cost := 0.0
	if l != nil && l.held() > 0 {
		cost += sameEndpointCost
	}
	if l != nil && now.Sub(l.lastGrant) < recentUseAge {
		cost -= recentUseDiscount
	}
	if now.Sub(e.lastGrant) >= idleAfter {
		cost -= idleDiscount
	}
	return cost
}

// isBetter reports whether an endpoint is better than the best one so far: it has a
// lower cost, or the same cost and a longer time since its last grant.
func isBetter(cost float64, e *endpointState, minCost float64, best *endpointState) bool {
	return best == nil || cost < minCost || cost == minCost && e.lastGrant.Before(best.lastGrant)
}
