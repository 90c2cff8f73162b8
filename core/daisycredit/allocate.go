package daisycredit

import (
	"math"
	"time"

	"daisyyoke/core/daisyrank"
)

// Allocate divides slots among ranks by their needs. Each rank first gets what it
// needs up to its floor; the remaining slots go to the most urgent ranks that need
// more. The shares add up to at most slots.
func Allocate(slots int, ranks []daisyrank.Rank, needs []int) []int {
	shares := make([]int, len(ranks))
	remaining := slots
	for i, r := range ranks {
		floor := int(math.Ceil(r.Floor * float64(slots)))
		shares[i] = min(needs[i], floor, remaining)
		remaining -= shares[i]
	}
	for i := range ranks {
		extra := min(needs[i]-shares[i], remaining)
		shares[i] += extra
		remaining -= extra
	}
	return shares
}

// needs returns the number of slots that the borrower needs for each rank.
func (a *account) needs(ranks int) []int {
	needs := make([]int, ranks)
	for i, d := range a.demand {
		needs[min(i, ranks-1)] += int(d.Waiting) + int(d.InFlight)
	}
	return needs
}

// uncoveredRequests returns the number of waiting requests, less the credits of the
// grants that the borrower's last report does not acknowledge.
func (a *account) uncoveredRequests() int {
	waiting := 0
	for _, d := range a.demand {
		waiting += int(d.Waiting)
	}
	for _, c := range a.pending {
		waiting -= c.credits
	}
	return max(0, waiting)
}

// updateAverageDemand adds the number of needed slots to the exponential moving average.
func (a *account) updateAverageDemand(now time.Time, needed int) {
	if a.averagedAt.IsZero() {
		a.averagedAt = now
	}
	weight := 1 - math.Exp(-float64(now.Sub(a.averagedAt))/float64(demandAveragingTime))
	a.averageDemand += weight * (float64(needed) - a.averageDemand)
	a.averagedAt = now
}

// idealShares returns, in the order of the accounts, how many of the slots each
// borrower should hold: its portion of the slots allocated to each rank, in
// proportion to its needs, and a portion of the slots that no rank needs, in
// proportion to its average demand plus 1, so that idle VMs get some too.
func (o *Owner) idealShares(now time.Time, slots int) []float64 {
	ranks := len(o.ranks())
	totals := make([]int, ranks)
	needs := make([][]int, len(o.accounts))
	totalWeight := 0.0
	for i, a := range o.accounts {
		needs[i] = a.needs(ranks)
		sum := 0
		for r, n := range needs[i] {
			totals[r] += n
			sum += n
		}
		a.updateAverageDemand(now, sum)
		totalWeight += a.averageDemand + 1
	}
	shares := Allocate(slots, o.ranks(), totals)
	unallocated := slots
	for _, s := range shares {
		unallocated -= s
	}
	ideals := make([]float64, len(o.accounts))
	for i, a := range o.accounts {
		ideals[i] = float64(unallocated) * (a.averageDemand + 1) / totalWeight
		for r, n := range needs[i] {
			if totals[r] > 0 {
				ideals[i] += float64(n) * float64(shares[r]) / float64(totals[r])
			}
		}
	}
	return ideals
}
