package daisyroute

import "time"

// applyEvacuation adapts the estimates of capacity to the endpoints that are evacuated, and
// refuses the requests that wait for what is no longer there. The least urgent ones go first.
func (d *Dispatcher) applyEvacuation(now time.Time) {
	evacuated := 0
	for _, e := range d.endpoints {
		if e.declared.Evacuated {
			evacuated++
		}
	}
	more := evacuated > d.evacuated
	d.evacuated = evacuated
	d.updateEvacuatedInFlight()
	if !more || d.usable == 0 {
		// Without any endpoint, dispatchWaiting refuses all.
		return
	}
	d.failWaitingForPause(now)
	for _, r := range d.waitingRequests() {
		if d.usable == 1 && r.lastFailed != nil && r.lastFailed.usable {
			// A retry has no other endpoint to go to.
			d.fail(now, r, NoneUsable, defaultRetryAfter)
		}
	}
	for item := d.queue.Unservable(now); item != nil; item = d.queue.Unservable(now) {
		r := item.Value
		d.fail(now, r, CapacityLost, d.queue.RetryAfter(item.Rank))
	}
}

// countEvacuated updates the number of attempts at evacuated endpoints after a change at e.
func (d *Dispatcher) countEvacuated(e *endpoint) {
	if e.declared.Evacuated {
		d.updateEvacuatedInFlight()
	}
}

func (d *Dispatcher) updateEvacuatedInFlight() { d.queue.SetEvacuatedInFlight(d.EvacuatedInFlight()) }

// EvacuatedInFlight returns the number of attempts under way at evacuated endpoints.
func (d *Dispatcher) EvacuatedInFlight() int {
	n := 0
	if d.evacuated == 0 {
		return n
	}
	for _, e := range d.endpoints {
		if e.declared.Evacuated {
			n += e.inFlight
		}
	}
	return n
}
