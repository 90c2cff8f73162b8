package daisycredit

import (
	"slices"
	"time"
)

// totalWaiting returns the number of waiting requests of all ranks.
func (b *Borrower) totalWaiting() int {
	sum := 0
	for _, d := range b.demand {
		sum += int(d.Waiting)
	}
	return sum
}

// SetDemand sets the demand of each rank, the most urgent rank first.
func (b *Borrower) SetDemand(now time.Time, demand []Demand) {
	wasWaiting := b.totalWaiting() > 0
	b.demand = append(b.demand[:0], demand...)
	if !wasWaiting && b.totalWaiting() > 0 {
		b.waitingSince = now
	}
	if _, ok := b.lending.(OnDemand); ok {
		b.forgetServedDemand()
		if b.held()-b.totalInFlight > b.totalWaiting() {
			b.returnAllSurplus(now)
		}
		if b.totalWaiting() > 0 && !slices.Equal(b.demand, b.reportedDemand) {
			b.timer.scheduleUpdateWithin(now, demandReportDelay)
		}
	}
	switch {
	case b.demandGrew():
		b.timer.scheduleUpdate(now)
	case b.demandShrank():
		b.timer.scheduleUpdateWithin(now, batchDelay)
	}
}

// MoveDemand is like SetDemand when requests are asked for at another owner from now on: this
// one has to be told, since it has lent nothing for those that are gone.
func (b *Borrower) MoveDemand(now time.Time, demand []Demand) {
	if !slices.Equal(demand, b.demand) {
		b.timer.scheduleUpdateWithin(now, batchDelay)
	}
	b.SetDemand(now, demand)
}

// forgetServedDemand lowers the reported numbers of waiting requests to the current
// ones. The requests that no longer wait have started, so the next one that waits is
// reported at once, even if the number then equals one reported before.
func (b *Borrower) forgetServedDemand() {
	for i, d := range b.demand {
		if i < len(b.reportedDemand) && d.Waiting < b.reportedDemand[i].Waiting {
			b.reportedDemand[i].Waiting = d.Waiting
		}
	}
}

// demandGrew reports whether the number of waiting requests of some rank exceeds the
// reported one by demandChangeFactor.
func (b *Borrower) demandGrew() bool {
	for i, d := range b.demand {
		if float64(d.Waiting) > demandChangeFactor*float64(b.reportedWaiting(i)) {
			return true
		}
	}
	return false
}

// demandShrank reports whether the number of waiting requests of some rank is below
// the reported one by demandChangeFactor.
func (b *Borrower) demandShrank() bool {
	for i, d := range b.demand {
		if demandChangeFactor*float64(d.Waiting) < float64(b.reportedWaiting(i)) {
			return true
		}
	}
	return false
}

func (b *Borrower) reportedWaiting(rank int) uint32 {
	if rank < len(b.reportedDemand) {
		return b.reportedDemand[rank].Waiting
	}
	return 0
}
