package daisyroute

import (
	"cmp"
	"math"
	"slices"
	"time"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyvm"
)

const (
	// requestsPerCore is the rate of requests whose slots an owner with one core can lend,
	// at four messages and a probe each: one with 0.8 of a core was seen to serve 700 a
	// second, and one with 0.16 not to serve 500.
	requestsPerCore = 875.0
	// divideShare is the share of that rate from which the service is divided, and
	// wholeShare the one below which one owner has it again.
	divideShare = 0.9
	wholeShare  = 0.6
	// divisionInterval is the time between two checks of the rate.
	divisionInterval = 250 * time.Millisecond
	// minWholeTime and minDividedTime are how long an owner of the service waits, after it
	// became the owner and after each change, before it divides the service, and before it
	// has it as a whole again. The rates that VMs have not reported yet are missing from the
	// sum, which matters for the latter only; each change lends some slots twice for a while.
	minWholeTime   = 2 * time.Second
	minDividedTime = 10 * time.Second
	// rateTime is the time constant of the rate of requests.
	rateTime = 5 * time.Second
)

// division is what a VM knows about how its service is divided into owners. Where VMs
// announce their capacity, the owner of the whole service decides by the rate of requests;
// otherwise the number of endpoints does, see updateZoned.
type division struct {
	// byRate is set if the rate of requests decides.
	byRate bool
	// arrivals is the rate of requests at this VM, and lent that of the credits that this VM
	// lends as an owner.
	arrivals, lent rateMeter
	// nextCheck is when the rate is checked next, and changedAt when this VM became the
	// owner of the whole service or last changed its division; zero if it is not the owner.
	nextCheck, changedAt time.Time
}

// rateMeter is a moving average of the rate of events. Its zero value has seen none.
type rateMeter struct {
	since, at time.Time
	count     float64
}

func (m *rateMeter) decay(now time.Time) {
	if m.since.IsZero() {
		m.since, m.at = now, now
	}
	m.count *= math.Exp(-float64(now.Sub(m.at)) / float64(rateTime))
	m.at = now
}

func (m *rateMeter) add(now time.Time, events int) {
	m.decay(now)
	m.count += float64(events)
}

// perSecond returns the rate. In the first seconds it relates the events to the time that
// they had, but at least to one second.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.decay(now)
	age := max(now.Sub(m.since), time.Second)
	return m.count / rateTime.Seconds() / (1 - math.Exp(-float64(age)/float64(rateTime)))
}

// dividesByRate reports whether the rate of requests decides how the service is divided:
// some VM announces its capacity. Until PeersChanged, this VM stands for all.
func (d *Dispatcher) dividesByRate() bool {
	return lendsOnDemand(d.policy) && daisyvm.MinCoordinator(append([]daisyvm.VM{d.self}, d.vms.VMs...)) > 0
}

// changeDivision applies a change of the VMs or the endpoints to the division.
func (d *Dispatcher) changeDivision(now time.Time) {
	if d.division.byRate = d.dividesByRate(); d.division.byRate {
		// The owner of the whole service states the division, also while it lends nothing.
		d.sharingOf(now, daisyfleet.ZoneID{})
	}
	zoned := d.zoned
	d.updateZoned(len(d.endpoints))
	if d.zoned != zoned {
		d.regroup(now)
	}
}

// updateDivision reports the rate of requests, decides about the division if this VM owns
// the whole service, and follows the owner otherwise.
func (d *Dispatcher) updateDivision(now time.Time) {
	if !d.division.byRate {
		return
	}
	whole := d.sharingOf(now, daisyfleet.ZoneID{})
	if !now.Before(d.division.nextCheck) {
		d.division.nextCheck = now.Add(divisionInterval)
		whole.borrower.SetRate(now, d.division.arrivals.perSecond(now))
		d.decideDivision(now, whole)
	}
	stated := whole.borrower.Division()
	if zoned := stated == daisycredit.Divided; stated != daisycredit.Unstated && zoned != d.zoned {
		d.zoned = zoned
		d.emit(DivisionChanged{Owner: whole.borrower.Owner().Name, Divided: zoned})
		d.regroup(now)
	}
}

// decideDivision decides how the service is divided, if this VM owns it as a whole. A new
// owner leaves the division as the VMs say that they follow it.
func (d *Dispatcher) decideDivision(now time.Time, whole *slotSharing) {
	if whole.owner == nil {
		d.division.changedAt = time.Time{}
		return
	}
	if d.division.changedAt.IsZero() {
		d.division.changedAt = now
	}
	current := whole.owner.Division()
	if current == daisycredit.Unstated {
		current = cmp.Or(whole.borrower.Division(), whole.owner.Followed())
	}
	settled := now.Sub(d.division.changedAt)
	rate, limit := whole.owner.Rate(), d.wholeLimit()
	wanted := current
	switch {
	case settled < minWholeTime:
	case current != daisycredit.Divided && rate > divideShare*limit && d.divisionHelps():
		wanted = daisycredit.Divided
	case current != daisycredit.Divided, settled >= minDividedTime && (rate < wholeShare*limit || !d.divisionHelps()):
		wanted = daisycredit.Undivided
	}
	if current != daisycredit.Unstated && wanted != current {
		d.division.changedAt = now
	}
	whole.owner.SetDivision(now, wanted)
}

// LendingLoad returns the share of this VM's processor that lending takes, as far as its
// capacity is known.
func (d *Dispatcher) LendingLoad(now time.Time) float64 {
	if d.self.Capacity.Millicores == 0 {
		return 0
	}
	return d.division.lent.perSecond(now) * 1000 / (requestsPerCore * float64(d.self.Capacity.Millicores))
}

// wholeLimit returns the rate of requests that this VM can serve as the owner of the whole
// service, next to the other services that it owns.
func (d *Dispatcher) wholeLimit() float64 {
	cores := float64(d.self.Capacity.Millicores) / 1000
	return requestsPerCore * cores / float64(d.vms.Owners.Services(d.self.Name))
}

// divisionHelps reports whether the owners of the zones can serve a higher rate than this
// VM as the only one. One small VM in a zone would otherwise replace a large one.
func (d *Dispatcher) divisionHelps() bool {
	least, zones := uint32(math.MaxUint32), uint32(0)
	for _, zone := range d.endpointZones() {
		owner, ok := d.vms.Owners.Choose(d.service.ID, zone, d.vms.VMs)
		if !ok {
			return false
		}
		least = min(least, owner.Capacity.Millicores)
		zones++
	}
	return zones > 1 && uint64(least)*uint64(zones) > uint64(d.self.Capacity.Millicores)
}

// endpointZones returns the availability zones that have endpoints.
func (d *Dispatcher) endpointZones() []daisyfleet.ZoneID {
	var zones []daisyfleet.ZoneID
	for _, e := range d.endpoints {
		if !slices.Contains(zones, e.declared.Zone) {
			zones = append(zones, e.declared.Zone)
		}
	}
	return zones
}

// regroup puts all endpoints in the groups that they are in now. Attempts that are under
// way return their credits to the group that they got them from.
func (d *Dispatcher) regroup(now time.Time) {
	d.waitingOrder = nil
	for id, r := range d.requests {
		if d.zoned && r.item.Queued() {
			d.waitingOrder = append(d.waitingOrder, waiting{request: id, since: now})
		}
	}
	slices.SortFunc(d.waitingOrder, func(a, b waiting) int { return cmp.Compare(a.request, b.request) })
	for _, e := range d.endpoints {
		d.share(now, e)
	}
	d.changeSharings(now)
	for _, e := range d.endpoints {
		d.refresh(now, e)
	}
}

// DivisionChanged reports whether the endpoints of each availability zone have an owner of
// their own from now on, as the owner of the service stated. It requires no action.
type DivisionChanged struct {
	Owner   daisyvm.Name
	Divided bool
}

func (DivisionChanged) decision() {}
