package daisycredit

import (
	"math"
	"time"

	"daisyyoke/core/daisyrank"
)

// Allocate divides slots between ranks by what each of them needs: floors come
// first, then the most urgent rank. The shares add up to at most slots.
func Allocate(slots int, ranks []daisyrank.Rank, needs []int) []int {
	shares := make([]int, len(ranks))
	left := slots
	for i, r := range ranks {
		floor := int(math.Ceil(r.Floor * float64(slots)))
		shares[i] = min(needs[i], floor, left)
		left -= shares[i]
	}
	for i := range ranks {
		more := min(needs[i]-shares[i], left)
		shares[i] += more
		left -= more
	}
	return shares
}

// needs gives what a borrower needs for each rank.
func (a *account) needs(ranks int) []int {
	needs := make([]int, ranks)
	for i := range min(ranks, len(a.demand)) {
		needs[i] = int(a.demand[i].Waiting) + int(a.demand[i].InFlight)
	}
	return needs
}

// unmet counts the requests that wait, less the credits granted since they were reported.
func (a *account) unmet() int {
	waiting := 0
	for _, d := range a.demand {
		waiting += int(d.Waiting)
	}
	for _, c := range a.covered {
		waiting -= c.credits
	}
	return max(0, waiting)
}

func (a *account) average(now time.Time, needed int) {
	if a.updated.IsZero() {
		a.updated = now
	}
	weight := 1 - math.Exp(-float64(now.Sub(a.updated))/float64(demandMemory))
	a.smooth += weight * (float64(needed) - a.smooth)
	a.updated = now
}

// ideals gives, in the order of the accounts, how many of the slots each
// borrower should have: its part of what each rank gets, and of the slots that
// no rank needs a part by its average demand.
func (o *Owner) ideals(now time.Time, slots int) []float64 {
	ranks := len(o.service.Ranks)
	totals := make([]int, ranks)
	needs := make([][]int, len(o.accounts))
	weights := 0.0
	for i, a := range o.accounts {
		needs[i] = a.needs(ranks)
		sum := 0
		for r, n := range needs[i] {
			totals[r] += n
			sum += n
		}
		a.average(now, sum)
		weights += a.smooth + 1
	}
	shares := Allocate(slots, o.service.Ranks, totals)
	spare := slots
	for _, s := range shares {
		spare -= s
	}
	ideals := make([]float64, len(o.accounts))
	for i, a := range o.accounts {
		ideals[i] = float64(spare) * (a.smooth + 1) / weights
		for r, n := range needs[i] {
			if totals[r] > 0 {
				ideals[i] += float64(n) * float64(shares[r]) / float64(totals[r])
			}
		}
	}
	return ideals
}
