package daisyroute

import (
	"cmp"
	"slices"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
)

// Departures are the incarnations of the endpoints of a service that said that they are
// going to stop. They outlast the declaration of an endpoint, because a lagging or restored
// configuration may declare one that has left as if it were in use.
type Departures struct {
	known map[daisyendpoint.Identity]bool
	// order has the incarnations in the order in which they became known.
	order []daisyendpoint.Identity
}

// maxDepartures is the number of incarnations that are remembered for one service; the
// oldest are forgotten first.
const maxDepartures = 4096

// NewDepartures returns an empty set of departures.
func NewDepartures() *Departures {
	return &Departures{known: make(map[daisyendpoint.Identity]bool)}
}

// add reports whether the incarnation is new.
func (d *Departures) add(incarnation daisyendpoint.Identity) bool {
	if d.known[incarnation] {
		return false
	}
	if len(d.order) >= maxDepartures {
		delete(d.known, d.order[0])
		d.order = d.order[1:]
	}
	d.known[incarnation] = true
	d.order = append(d.order, incarnation)
	return true
}

func (d *Departures) contains(incarnation daisyendpoint.Identity) bool { return d.known[incarnation] }

// noteNotice handles what an incarnation of an endpoint asked for in an answer to this VM.
func (d *Dispatcher) noteNotice(now time.Time, from daisyendpoint.Identity, notice daisyendpoint.Notice) {
	switch n := notice.(type) {
	case daisyendpoint.Leaving:
		d.noteLeaving(now, from, false)
	case daisyendpoint.Pausing:
		d.notePause(now, from, n)
	case daisyendpoint.Malformed:
		d.emit(EndpointNoticed{Endpoint: from.Address, Instance: from.Instance, Notice: n})
	case nil:
	}
}

// noteProbeNotice handles what the answer to a probe asked for. An endpoint that declares no
// incarnations leaves no longer once it answers a probe without saying so: a later process
// uses its address.
func (d *Dispatcher) noteProbeNotice(now time.Time, e *endpoint, notice daisyendpoint.Notice) {
	if e.probeTarget.Pending() && notice == nil && e.leaving && !e.declared.Identity().Declared() && !now.Before(e.leavingSince.Add(drainingTTL)) {
		e.leaving = false
		d.refresh(now, e)
	}
	if e.probed.SameIncarnation(e.declared) {
		d.noteNotice(now, e.declared.Identity(), notice)
	}
}

// current returns the declared endpoint of which the incarnation is in use, or nil.
func (d *Dispatcher) current(incarnation daisyendpoint.Identity) *endpoint {
	e := d.byAddress[incarnation.Address]
	if e == nil || e.removed || e.declared.Identity() != incarnation {
		return nil
	}
	return e
}

// noteLeaving takes an incarnation out of use for good, and tells the other VMs unless one
// of them told this one.
func (d *Dispatcher) noteLeaving(now time.Time, incarnation daisyendpoint.Identity, fromPeer bool) {
	e := d.current(incarnation)
	switch {
	case incarnation.Declared():
		if !d.departures.add(incarnation) {
			return
		}
	case e == nil || e.leaving:
		return
	}
	d.emit(EndpointNoticed{Endpoint: incarnation.Address, Instance: incarnation.Instance, Notice: daisyendpoint.Leaving{}, FromPeer: fromPeer})
	if !fromPeer {
		for _, p := range d.peers {
			d.tellLeaving(p, incarnation)
		}
	}
	if e != nil {
		e.leaving, e.leavingSince = true, now
		e.sharing.noteNotice(e)
		d.probes.SetSuspect(e.probeTarget, true)
		d.refresh(now, e)
	}
}

func (d *Dispatcher) tellLeaving(to daisyvm.Name, incarnation daisyendpoint.Identity) {
	d.emit(SendMessage{To: to, Message: daisymessage.EndpointLeaving{Service: d.service.ID, Endpoint: incarnation}})
}

// arrivedVMs returns the other VMs that are new or have restarted since the last call.
func (d *Dispatcher) arrivedVMs(vms []daisyvm.VM) []daisyvm.Name {
	var arrived []daisyvm.Name
	incarnations := make(map[daisyvm.Name]daisyvm.Incarnation, len(vms))
	for _, v := range vms {
		incarnations[v.Name] = v.Incarnation
		if known, ok := d.incarnations[v.Name]; v.Name != d.self.Name && (!ok || known != v.Incarnation) {
			arrived = append(arrived, v.Name)
		}
	}
	d.incarnations = incarnations
	return arrived
}

// introduceLeaving tells VMs that have just started which declared endpoints leave.
func (d *Dispatcher) introduceLeaving(vms []daisyvm.Name) {
	for _, e := range d.endpoints {
		if !e.leaving {
			continue
		}
		for _, name := range vms {
			d.tellLeaving(name, e.declared.Identity())
		}
	}
}

// notePause sends nothing to an endpoint until the end of the pause that it asked for.
func (d *Dispatcher) notePause(now time.Time, from daisyendpoint.Identity, pause daisyendpoint.Pausing) {
	e := d.current(from)
	until := now.Add(pause.For)
	if e == nil || !until.After(e.pausedUntil) {
		return
	}
	e.pausedUntil = until
	d.emit(EndpointNoticed{Endpoint: e.address, Instance: from.Instance, Notice: pause})
	e.sharing.noteNotice(e)
	d.refresh(now, e)
	d.failWaitingForPause(now)
}

func (e *endpoint) pausing(now time.Time) bool { return now.Before(e.pausedUntil) }

func (d *Dispatcher) countPaused(e *endpoint, paused bool) {
	if paused == e.paused {
		return
	}
	e.paused = paused
	if paused {
		d.paused++
		return
	}
	d.paused--
}

// resumption returns when the first pause ends if all usable endpoints pause, and the zero
// time otherwise.
func (d *Dispatcher) resumption() time.Time {
	var first time.Time
	if d.paused == 0 || d.paused < d.usable {
		return first
	}
	for _, e := range d.endpoints {
		if e.paused && (first.IsZero() || e.pausedUntil.Before(first)) {
			first = e.pausedUntil
		}
	}
	return first
}

// failForPause fails a request at once if all endpoints pause for longer than it can wait.
func (d *Dispatcher) failForPause(now time.Time, r *request) bool {
	at := d.resumption()
	if at.IsZero() || !at.Add(d.queue.ResponseTimes(r.item.Rank).Median()).After(r.Deadline) {
		return false
	}
	d.fail(now, r, AllPausing, at.Sub(now))
	return true
}

// failWaitingForPause does the same for the requests that wait.
func (d *Dispatcher) failWaitingForPause(now time.Time) {
	if d.resumption().IsZero() {
		return
	}
	for _, r := range d.waitingRequests() {
		d.failForPause(now, r)
	}
}

// waitingRequests returns the requests in the queue, in the order of their arrival.
func (d *Dispatcher) waitingRequests() []*request {
	var waiting []*request
	for _, r := range d.requests {
		if r.item.Queued() {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	return waiting
}
