package daisyroute

import (
	"slices"
	"time"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

const (
	// minZonedEndpoints is the number of endpoints from which those of each availability
	// zone have an owner of their own: four messages for each request are more than the
	// VM of a single owner can handle. Below maxWholeEndpoints one owner has all of them
	// again.
	minZonedEndpoints = 96
	maxWholeEndpoints = 64
	// minZoneWait and maxZoneWait bound how long a request waits for a credit before the
	// owner of one more availability zone is asked: the least is several round trips within
	// a zone, and a probe. Between them, the wait grows by zoneWaitFactor times the lateness
	// of the first owner.
	minZoneWait    = 15 * time.Millisecond
	maxZoneWait    = 60 * time.Millisecond
	zoneWaitFactor = 8
	// zoneTurn is how long each zone is then asked for a request that does not divide evenly.
	zoneTurn = 60 * time.Millisecond
)

// waiting is a request that began to wait.
type waiting struct {
	request daisyrequest.ID
	since   time.Time
}

// updateZoned decides by the number of endpoints whether those of each availability zone
// have an owner of their own, unless the rate of requests decides. VMs that decide
// differently for a while ask different owners, which may lend the same slots; the reports
// of the endpoints bound the excess.
func (d *Dispatcher) updateZoned(endpoints int) {
	switch {
	case d.division.byRate:
	case !lendsOnDemand(d.policy) || endpoints < maxWholeEndpoints:
		d.zoned = false
	case endpoints >= minZonedEndpoints:
		d.zoned = true
	}
}

// groupZone returns the zone of the group that an endpoint is in.
func (d *Dispatcher) groupZone(zone daisyfleet.ZoneID) daisyfleet.ZoneID {
	if d.zoned {
		return zone
	}
	return daisyfleet.ZoneID{}
}

// sharingOf returns the group of a zone, which it creates if needed, or nil if the
// policy shares nothing.
func (d *Dispatcher) sharingOf(now time.Time, zone daisyfleet.ZoneID) *slotSharing {
	for _, s := range d.sharings {
		if s.zone == zone {
			return s
		}
	}
	none := d.service
	none.Endpoints = nil
	s := newSlotSharing(d.self, d.policy, none, zone)
	if s == nil {
		return nil
	}
	d.sharings = append(d.sharings, s)
	d.orderSharings()
	s.changeService(now, none, inZone(d.service, zone))
	if len(d.vms.VMs) > 0 {
		d.setVMs(now, s, d.vms)
	}
	return s
}

// sharingAsked returns the group that a message from another VM is about, or nil if the
// service has no endpoint in its zone.
func (d *Dispatcher) sharingAsked(now time.Time, zone daisyfleet.ZoneID) *slotSharing {
	if zone != (daisyfleet.ZoneID{}) && !slices.ContainsFunc(d.endpoints, func(e *endpoint) bool { return e.declared.Zone == zone }) {
		return nil
	}
	return d.sharingOf(now, zone)
}

// inZone returns a service with its endpoints in a zone, or with all if the zone is zero.
func inZone(service daisyservice.Service, zone daisyfleet.ZoneID) daisyservice.Service {
	if zone == (daisyfleet.ZoneID{}) {
		return service
	}
	service.Endpoints = slices.DeleteFunc(slices.Clone(service.Endpoints), func(e daisyendpoint.Endpoint) bool { return e.Zone != zone })
	return service
}

// orderSharings puts the group of this VM's zone first and the others in an order that
// differs between VMs, so that what does not fit in one zone is spread over the others.
func (d *Dispatcher) orderSharings() {
	slices.SortFunc(d.sharings, func(a, b *slotSharing) int {
		switch d.self.Zone {
		case a.zone:
			return -1
		case b.zone:
			return 1
		}
		return daisyvm.CompareByOwnerHash(string(d.self.Name), daisyvm.Name(a.zone.String()), daisyvm.Name(b.zone.String()))
	})
}

// share puts an endpoint in its group.
func (d *Dispatcher) share(now time.Time, e *endpoint) {
	s := d.sharingOf(now, d.groupZone(e.declared.Zone))
	if s == e.sharing {
		return
	}
	e.sharing = s
	if e.cold.inForce {
		d.shareColdness(now, e)
	}
	c := e.lastCondition
	s.setRestricted(now, e, c != InUse && c != Ramping)
}

// changeSharings tells the groups which endpoints they have.
func (d *Dispatcher) changeSharings(now time.Time) {
	for _, s := range d.sharings {
		used := d.service
		used.Endpoints = nil
		for _, e := range d.endpoints {
			if e.sharing == s {
				used.Endpoints = append(used.Endpoints, e.declared)
			}
		}
		s.changeService(now, used, inZone(d.service, s.zone))
	}
	for _, e := range d.endpoints {
		// The owner has forgotten an endpoint that was removed for a while.
		e.sharing.noteNotice(e)
	}
}

// noteWaiting records when a request began to wait.
func (d *Dispatcher) noteWaiting(now time.Time, r *request) {
	if d.zoned {
		d.waitingOrder = append(d.waitingOrder, waiting{request: r.ID, since: now})
	}
}

// waitingSince returns since when the request that has waited the longest waits; the zero
// time means that none waits.
func (d *Dispatcher) waitingSince() time.Time {
	for len(d.waitingOrder) > 0 {
		first := d.waitingOrder[0]
		if r := d.requests[first.request]; r != nil && r.item.Queued() {
			return first.since
		}
		d.waitingOrder = d.waitingOrder[1:]
	}
	return time.Time{}
}

// zonesAsked returns how many groups are asked for credits for the waiting requests, which
// of them is asked for one more than others if the requests do not divide evenly, and when
// that changes; the zero time means never.
func (d *Dispatcher) zonesAsked(now time.Time) (asked, extra int, next time.Time) {
	groups := 0
	for _, s := range d.sharings {
		if s.endpoints > 0 {
			groups++
		}
	}
	since := d.waitingSince()
	if groups <= 1 || since.IsZero() {
		return 1, 0, time.Time{}
	}
	wait := d.zoneWait()
	asked = 1 + int(now.Sub(since)/wait)
	if asked <= groups {
		return asked, asked - 1, since.Add(time.Duration(asked) * wait)
	}
	allAsked := since.Add(time.Duration(groups) * wait)
	turns := int(now.Sub(allAsked) / zoneTurn)
	return groups, turns % groups, allAsked.Add(time.Duration(turns+1) * zoneTurn)
}

// zoneWait returns how long a request waits before the owner of one more availability zone is
// asked. It is longer if the first owner has been late: its load may be the reason, and if all
// owners are asked for its requests, they become late as well.
func (d *Dispatcher) zoneWait() time.Duration {
	for _, s := range d.sharings {
		if s.endpoints > 0 {
			return min(minZoneWait+zoneWaitFactor*s.borrower.Lateness(), maxZoneWait)
		}
	}
	return minZoneWait
}

// nextZoneWake returns when another group is asked.
func (d *Dispatcher) nextZoneWake() time.Time {
	if !d.zoned || d.waitingSince().IsZero() {
		return time.Time{}
	}
	_, _, next := d.zonesAsked(d.lastEvent)
	return next
}

// setDemands divides the waiting requests among the groups that are asked. A request is
// asked for once: credits that come back unused occupy slots meanwhile.
func (d *Dispatcher) setDemands(now time.Time) {
	asked, extra, _ := d.zonesAsked(now)
	position := 0
	for _, s := range d.sharings {
		p := part{}
		if s.endpoints > 0 {
			if position < asked {
				p = part{of: asked, index: (position - extra + asked) % asked}
			}
			position++
		}
		s.setDemand(now, d, p)
	}
}

// part is one of several parts of the waiting requests; the zero value is none. The parts
// with the lowest indices have one request more if the requests do not divide evenly.
type part struct{ index, of int }

func (p part) share(requests uint32) uint32 {
	if p.of == 0 {
		return 0
	}
	return (requests + uint32(p.of-p.index) - 1) / uint32(p.of)
}

// setDemand sets the demand of a group to a part of the waiting requests. Owners know only
// declared ranks, so requests of another rank count for the next less urgent one.
func (s *slotSharing) setDemand(now time.Time, d *Dispatcher, p part) {
	moved := p != s.part
	s.part = p
	s.demand = s.demand[:0]
	var sum daisycredit.Demand
	for _, r := range d.Ranks() {
		sum.Waiting += p.share(d.Demand(r).Waiting)
		if int(r) < len(s.inFlight) {
			sum.InFlight += uint32(s.inFlight[r])
		}
		if d.queue.Declared(r) {
			s.demand = append(s.demand, sum)
			sum = daisycredit.Demand{}
		}
	}
	s.addToLeastUrgent(sum)
	if moved {
		s.borrower.MoveDemand(now, s.demand)
		return
	}
	s.borrower.SetDemand(now, s.demand)
}

// addToLeastUrgent adds demand of requests that are less urgent than all declared ranks.
func (s *slotSharing) addToLeastUrgent(demand daisycredit.Demand) {
	if len(s.demand) == 0 {
		s.demand = append(s.demand, demand)
		return
	}
	last := &s.demand[len(s.demand)-1]
	last.Waiting += demand.Waiting
	last.InFlight += demand.InFlight
}
