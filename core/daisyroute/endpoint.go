package daisyroute

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
)

// endpoint is what the dispatcher knows of one endpoint.
type endpoint struct {
	address  netip.AddrPort
	slots    int
	draining bool
	inFlight int
	// place is the index in the dispatcher's free list, or notFree.
	place int
	// spare is the number of further attempts it may have; 0 when it is not free.
	spare int
	// report is the last report, and ownAtReport the VM's own attempts when it arrived.
	report      daisyendpoint.Report
	ownAtReport int
}

const notFree = -1

// refresh brings the free list up to date after a change of the endpoint.
func (d *Dispatcher) refresh(e *endpoint) {
	spare := 0
	if !e.draining {
		spare = max(d.limit(e)-e.inFlight, 0)
	}
	d.spare += spare - e.spare
	e.spare = spare
	if spare > 0 && e.place == notFree {
		e.place = len(d.free)
		d.free = append(d.free, e)
	}
	if spare == 0 && e.place != notFree {
		last := d.free[len(d.free)-1]
		d.free[e.place] = last
		last.place = e.place
		d.free = d.free[:len(d.free)-1]
		e.place = notFree
	}
}

// takeReport keeps what an endpoint said of its load.
func (d *Dispatcher) takeReport(now time.Time, address netip.AddrPort, report daisyendpoint.Report) {
	e := d.byAddress[address]
	if e == nil {
		return
	}
	report.At = now
	e.report = report
	e.ownAtReport = e.inFlight
	d.refresh(e)
}
