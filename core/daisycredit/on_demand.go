package daisycredit

import (
	"slices"
	"time"

	"daisyyoke/core/daisyrank"
)

// grantByRank grants free credits to the waiting requests of all VMs in the order in
// which a central queue would serve them: each rank up to its share, the most urgent
// rank first, and within a rank to the VM with the most waiting requests.
func (o *Owner) grantByRank(now time.Time, slots int) {
	declared := o.ranks()
	ranks := len(declared)
	waiting := make([][]int, len(o.accounts))
	needs, started := make([]int, ranks), make([]int, ranks)
	for i, a := range o.accounts {
		// The credit target asks for no credits back: on demand, borrowers return
		// idle credits by themselves.
		a.creditTarget = a.heldCredits
		var accountStarted []int
		waiting[i], accountStarted = a.splitDemand(ranks)
		for r := range ranks {
			needs[r] += waiting[i][r] + accountStarted[r]
			started[r] += accountStarted[r]
		}
	}
	o.updateRankWaitingSince(now, waiting)
	shares := Allocate(slots, declared, needs)
	for r := range ranks {
		o.estimateBacklog(now, waiting, r)
		for started[r] < shares[r] {
			i := mostWaiting(o.accounts, waiting, r)
			if i < 0 {
				break
			}
			if !o.grantFor(now, o.accounts[i], r) {
				o.requestProbe(now, o.accounts[i])
				break
			}
			waiting[i][r]--
			started[r]++
		}
	}
}

// updateRankWaitingSince records since when requests of each rank have been waiting
// without interruption.
func (o *Owner) updateRankWaitingSince(now time.Time, waiting [][]int) {
	for len(o.rankWaitingSince) < len(o.ranks()) {
		o.rankWaitingSince = append(o.rankWaitingSince, time.Time{})
		o.lastGrant = append(o.lastGrant, time.Time{})
	}
	for r := range o.ranks() {
		waits := slices.ContainsFunc(waiting, func(w []int) bool { return w[r] > 0 })
		switch {
		case !waits:
			o.rankWaitingSince[r] = time.Time{}
		case o.rankWaitingSince[r].IsZero():
			o.rankWaitingSince[r] = now
		}
	}
}

// unrankedService is the only rank of a service that declares none. Such a service may
// still have requests that were matched with an earlier configuration.
var unrankedService = []daisyrank.Rank{{}}

// ranks returns the ranks of the service, at least one.
func (o *Owner) ranks() []daisyrank.Rank {
	if len(o.service.Ranks) == 0 {
		return unrankedService
	}
	return o.service.Ranks
}

// grantFor grants a credit for a request of a rank, unless no free endpoint is good
// enough yet. It reports whether it granted one.
func (o *Owner) grantFor(now time.Time, a *account, rank int) bool {
	o.grantRank = rank
	granted := o.grantOne(now, a, true)
	if granted {
		o.lastGrant[rank] = now
	}
	return granted
}

// mostWaiting returns the index of the account with the most waiting requests of a
// rank among those that have reported in their term, or -1.
func mostWaiting(accounts []*account, waiting [][]int, rank int) int {
	most := -1
	for i, a := range accounts {
		if a.reported && waiting[i][rank] > 0 && (most < 0 || waiting[i][rank] > waiting[most][rank]) {
			most = i
		}
	}
	return most
}

// splitDemand returns, for each rank, the number of requests that wait for a credit,
// and the number of those that have started or will start with the credits of grants
// that the last report does not acknowledge. These credits count for the most urgent
// ranks first. A borrower with another version of the service may have more ranks than
// the owner; the requests of the additional ones count for the least urgent rank.
func (a *account) splitDemand(ranks int) (waiting, started []int) {
	waiting, started = make([]int, ranks), make([]int, ranks)
	covered := 0
	for _, c := range a.pending {
		covered += c.credits
	}
	for i, d := range a.demand {
		r := min(i, ranks-1)
		waiting[r] += int(d.Waiting)
		started[r] += int(d.InFlight)
	}
	for r := range ranks {
		n := min(covered, waiting[r])
		waiting[r] -= n
		started[r] += n
		covered -= n
	}
	return waiting, started
}
