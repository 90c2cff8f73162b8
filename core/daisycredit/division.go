package daisycredit

import (
	"math"
	"time"
)

// Division says how the endpoints of a service are divided among owners. The owner of the
// whole service states it in its grants, also while it lends nothing because the owners of
// the availability zones do, so that all VMs ask the same owners.
type Division uint8

const (
	// Unstated means that no owner has stated the division yet.
	Unstated Division = iota
	// Undivided means that one owner lends the slots of all endpoints.
	Undivided
	// Divided means that the endpoints of each availability zone have an owner.
	Divided
)

const (
	// rateReportFactor and minRateChange determine by how much the rate of requests of a VM
	// has to change to be reported within rateReportDelay without another reason.
	rateReportFactor = 1.25
	minRateChange    = 1.0
	rateReportDelay  = 500 * time.Millisecond
)

// SetRate sets the rate of requests per second that this VM has for the service, of which
// the owner adds up those of all VMs.
func (b *Borrower) SetRate(now time.Time, perSecond float64) {
	b.rate = perSecond
	change := math.Abs(b.rate - b.reportedRate)
	if change > minRateChange && change > (rateReportFactor-1)*b.reportedRate {
		b.timer.scheduleUpdateWithin(now, rateReportDelay)
	}
}

// Division returns the division that the owner of the service stated last.
func (b *Borrower) Division() Division { return b.division }

// noteDivision keeps what a grant states.
func (b *Borrower) noteDivision(d Division) {
	if d == Undivided || d == Divided {
		b.division = d
	}
}

// Rate returns the rate of requests per second of all VMs, as far as they have reported it.
func (o *Owner) Rate() float64 {
	sum := 0.0
	for _, a := range o.accounts {
		sum += a.rate
	}
	return sum
}

// Followed returns the division that most VMs follow, as far as they have reported it.
func (o *Owner) Followed() Division {
	var counts [Divided + 1]int
	for _, a := range o.accounts {
		if a.division <= Divided {
			counts[a.division]++
		}
	}
	switch {
	case counts[Undivided]+counts[Divided] == 0:
		return Unstated
	case counts[Divided] > counts[Undivided]:
		return Divided
	}
	return Undivided
}

// Division returns the division that the grants state.
func (o *Owner) Division() Division { return o.division }

// SetDivision sets the division that the grants state.
func (o *Owner) SetDivision(now time.Time, d Division) {
	if d == o.division {
		return
	}
	o.division = d
	for _, a := range o.accounts {
		a.timer.scheduleUpdateWithin(now, batchDelay)
	}
}

// noteRate keeps the rate and the division in a report.
func (a *account) noteRate(report Report) {
	if report.Sequence > 0 {
		a.rate, a.division = report.Rate, report.Division
	}
}
