package daisyroute

import (
	"slices"
	"time"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyheap"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// start starts the probe schedule at the first event, because the time is not known
// before.
func (d *Dispatcher) start(now time.Time) {
	if d.started {
		return
	}
	d.started = true
	for _, e := range d.endpoints {
		e.probeTarget = d.probes.Add(now, e.address, e.slots)
	}
}

func (d *Dispatcher) changeService(now time.Time, service daisyservice.Service) {
	d.service = service
	d.updateZoned(len(service.Endpoints))
	d.queue.SetRanks(service.Ranks)
	d.endpoints = make([]*endpoint, 0, len(service.Endpoints))
	kept := make(map[*endpoint]bool, len(service.Endpoints))
	for _, s := range service.Endpoints {
		e := d.declare(now, s)
		kept[e] = true
		d.endpoints = append(d.endpoints, e)
	}
	d.changeSharings(now)
	d.updateEvenShare()
	d.applyEvacuation(now)
	for _, e := range d.byAddress {
		if !kept[e] && !e.removed {
			d.remove(now, e)
		}
	}
}

// declare adds an endpoint or updates a known one.
func (d *Dispatcher) declare(now time.Time, declared daisyendpoint.Endpoint) *endpoint {
	e := d.byAddress[declared.Address]
	if e == nil {
		e = &endpoint{address: declared.Address, freeIndex: notListed, trialIndex: notListed, timerIndex: daisyheap.NotInHeap, removed: true}
		d.byAddress[e.address] = e
	}
	if !e.removed && !e.declared.SameIncarnation(declared) {
		d.forgetIncarnation(now, e)
	}
	if !e.removed && e.declared.Evacuated && !declared.Evacuated {
		d.health.Return(e.health)
	}
	e.declared = declared
	e.leaving = e.leaving || d.departures.contains(declared.Identity())
	e.slots = declared.Slots
	d.share(now, e)
	if e.removed {
		e.removed = false
		e.health = d.health.Join(e.slots, d.started)
		if d.started {
			e.probeTarget = d.probes.Add(now, e.address, e.slots)
		}
	}
	e.health.SetSlots(e.slots)
	if e.probeTarget != nil {
		e.probeTarget.SetSlots(e.slots)
	}
	d.refresh(now, e)
	return e
}

// forgetIncarnation discards the state of the endpoint that used the address before.
func (d *Dispatcher) forgetIncarnation(now time.Time, e *endpoint) {
	d.health.Leave(now, e.health)
	d.probes.Remove(e.probeTarget)
	e.health, e.probeTarget = nil, nil
	e.removed = true
	e.report = daisyendpoint.Report{}
	e.drainingUntil, e.backoffUntil, e.consecutiveSheds = time.Time{}, time.Time{}, 0
	e.leaving, e.pausedUntil = false, time.Time{}
	d.forgetRateLimit(e)
}

// remove takes an endpoint out of use. Its attempts under way continue.
func (d *Dispatcher) remove(now time.Time, e *endpoint) {
	e.removed = true
	d.health.Leave(now, e.health)
	d.probes.Remove(e.probeTarget)
	e.health, e.probeTarget = nil, nil
	d.refresh(now, e)
	d.refreshOnHealthChange(now)
	if e.inFlight == 0 {
		delete(d.byAddress, e.address)
	}
}

func (d *Dispatcher) changePeers(now time.Time, event PeersChanged) {
	vms := event.VMs
	d.trackSilentVMs(now, event)
	arrived := d.arrivedVMs(vms)
	d.peers = d.peers[:0]
	for _, v := range vms {
		if v.Name != d.self.Name {
			d.peers = append(d.peers, v.Name)
		}
	}
	d.updateEvenShare()
	d.crashes.SetVMs(len(vms))
	d.vms = event
	for _, s := range d.sharings {
		d.setVMs(now, s, event)
	}
	d.updateSilentVMs(now)
	for _, e := range d.endpoints {
		if e.rate.limited() {
			d.updateRateShare(now, e)
		}
	}
	owner, ok := event.Owners.Choose(d.service.ID, daisyfleet.ZoneID{}, vms)
	d.ownsService = !ok || owner.Name == d.self.Name
	if d.introduces(vms, arrived) {
		d.introduceLeaving(arrived)
		d.introduceFindings(now, arrived)
	}
	for _, e := range d.endpoints {
		d.refresh(now, e)
	}
}

// introduces reports whether this VM tells VMs that have just started what it knows: the
// owner among the others does, since the owner of the service may have started itself.
func (d *Dispatcher) introduces(vms []daisyvm.VM, arrived []daisyvm.Name) bool {
	known := slices.DeleteFunc(slices.Clone(vms), func(v daisyvm.VM) bool { return slices.Contains(arrived, v.Name) })
	introducer, ok := daisycredit.ChooseOwner(d.service.ID, daisyfleet.ZoneID{}, known)
	return ok && introducer.Name == d.self.Name
}
