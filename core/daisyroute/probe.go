package daisyroute

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
)

const (
	// drainingHold is how long a report of draining counts without another.
	drainingHold = 5 * time.Second
	// drainingWithoutWord is how long it counts while probes get no answer.
	drainingWithoutWord = time.Minute
)

// takeReport takes what an endpoint said with an answer or to a probe.
func (d *Dispatcher) takeReport(now time.Time, event ReportReceived) {
	e := d.byAddress[event.Endpoint]
	if e == nil || e.removed {
		return
	}
	before := now.Before(e.drainingUntil)
	probed := e.target.Pending()
	d.note(now, e, event.Report)
	if probed {
		d.probes.Resolved(now, e.target)
	}
	if before != event.Report.Draining || probed && event.Report.Draining {
		d.tellPeers(e)
	}
}

// note keeps a report, whoever brought it.
func (d *Dispatcher) note(now time.Time, e *endpoint, report daisyendpoint.Report) {
	report.At = now
	e.report = report
	e.inFlightAtReport = e.inFlight
	e.target.Known(now)
	d.credits.noteReport(now, e, report)
	e.drainingUntil = time.Time{}
	if report.Draining {
		e.lastDrainingReport = now
		e.drainingUntil = now.Add(drainingHold)
	}
	d.probes.Watch(e.target, report.Draining)
	d.refresh(now, e)
}

// probeFailed lets an endpoint that said it was draining stay so: it has probably gone.
func (d *Dispatcher) probeFailed(now time.Time, address netip.AddrPort) {
	e := d.byAddress[address]
	if e == nil || e.removed {
		return
	}
	d.probes.Failed(e.target)
	d.credits.noteProbeFailure(now, e)
	if now.Before(e.drainingUntil) && now.Before(e.lastDrainingReport.Add(drainingWithoutWord)) {
		e.drainingUntil = now.Add(drainingHold)
		d.refresh(now, e)
		d.tellPeers(e)
	}
}

// tellPeers passes the last report of an endpoint on.
func (d *Dispatcher) tellPeers(e *endpoint) {
	for _, p := range d.peers {
		d.emit(Tell{To: p, Message: daisymessage.EndpointNews{Service: d.service.ID, Address: e.address, Report: e.report}})
	}
}

func (d *Dispatcher) takeMessage(now time.Time, event PeerMessage) {
	m, ok := event.Message.(daisymessage.EndpointNews)
	if !ok {
		d.receiveCreditMessage(now, event.From, event.Message)
		return
	}
	if e := d.byAddress[m.Address]; e != nil && !e.removed && m.Service == d.service.ID {
		d.note(now, e, m.Report)
	}
}

// probe asks the endpoints of which nothing fresh is known, if this VM owns the service.
func (d *Dispatcher) probe(now time.Time) {
	if !d.ownsService || lendsOnDemand(d.policy) {
		// An owner that lends on demand asks just before it lends.
		return
	}
	for t := d.probes.Due(now); t != nil; t = d.probes.Due(now) {
		d.emit(Probe{Endpoint: t.Address()})
	}
}
