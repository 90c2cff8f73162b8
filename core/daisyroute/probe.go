package daisyroute

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
)

const (
	// drainingTTL is how long a report of draining is valid unless it is renewed.
	drainingTTL = 5 * time.Second
	// maxUnansweredDraining limits how long failed probes extend a report of
	// draining.
	maxUnansweredDraining = time.Minute
)

// handleReport handles a load report that an endpoint sent with a response or as the
// answer to a probe. It informs the peers if the draining state has changed, or if a
// probe has confirmed it.
func (d *Dispatcher) handleReport(now time.Time, event ReportReceived) {
	e := d.byAddress[event.Endpoint]
	if e == nil || e.removed {
		return
	}
	wasDraining := now.Before(e.drainingUntil)
	probed := e.probeTarget.Pending()
	d.noteProbeNotice(now, e, event.Notice)
	d.recordReport(now, e, event.Report)
	d.noteRateLimit(now, e, event.Report.RateLimit)
	if probed {
		d.probes.RecordSuccess(now, e.probeTarget)
	}
	if wasDraining != event.Report.Draining || probed && event.Report.Draining {
		d.notifyPeers(e)
	}
}

// recordReport stores a load report from an endpoint or a peer.
func (d *Dispatcher) recordReport(now time.Time, e *endpoint, report daisyendpoint.Report) {
	report.At = now
	e.report = report
	e.inFlightAtReport = e.inFlight
	e.probeTarget.RecordUpdate(now)
	e.sharing.noteReport(now, e, report)
	e.drainingUntil = time.Time{}
	if report.Draining {
		e.lastDrainingReport = now
		e.drainingUntil = now.Add(drainingTTL)
	}
	d.probes.SetSuspect(e.probeTarget, report.Draining || e.leaving)
	d.refresh(now, e)
}

// handleProbeFailure extends the draining of an endpoint that reported it: it has
// probably stopped.
func (d *Dispatcher) handleProbeFailure(now time.Time, event ProbeFailed) {
	e := d.byAddress[event.Endpoint]
	if e == nil || e.removed {
		return
	}
	if event.Notice != nil {
		d.noteProbeNotice(now, e, event.Notice)
	}
	d.probes.RecordFailure(e.probeTarget)
	e.sharing.noteProbeFailure(now, e)
	if now.Before(e.drainingUntil) && now.Before(e.lastDrainingReport.Add(maxUnansweredDraining)) {
		e.drainingUntil = now.Add(drainingTTL)
		d.refresh(now, e)
		d.notifyPeers(e)
	}
}

// notifyPeers sends the latest load report of an endpoint to the other VMs.
func (d *Dispatcher) notifyPeers(e *endpoint) {
	report := e.report
	report.RateLimit = e.rate.limit
	for _, p := range d.peers {
		d.emit(SendMessage{To: p, Message: daisymessage.EndpointNews{Service: d.service.ID, Address: e.address, Report: report}})
	}
}

func (d *Dispatcher) handlePeerMessage(now time.Time, event PeerMessage) {
	if m, ok := event.Message.(daisymessage.EndpointLeaving); ok && m.Service == d.service.ID {
		d.noteLeaving(now, m.Endpoint, true)
		return
	}
	m, ok := event.Message.(daisymessage.EndpointNews)
	if !ok {
		d.receiveCreditMessage(now, event.From, event.Message)
		return
	}
	if e := d.byAddress[m.Address]; e != nil && !e.removed && m.Service == d.service.ID {
		d.recordReport(now, e, m.Report)
		d.applyRateLimit(now, e, m.Report.RateLimit, true)
	}
}

// sendProbes probes the endpoints of which nothing recent is known, if this VM owns the
// service.
func (d *Dispatcher) sendProbes(now time.Time) {
	if !d.ownsService || lendsOnDemand(d.policy) {
		// An owner that lends on demand probes endpoints just before it lends.
		return
	}
	for t := d.probes.Due(now); t != nil; t = d.probes.Due(now) {
		e := d.byAddress[t.Address()]
		if !e.rate.bucket.Allows(now) || e.pausing(now) || e.declared.Evacuated {
			d.probes.Skip(now, t)
			continue
		}
		e.rate.bucket.Take(now)
		d.emit(d.newProbe(now, t.Address()))
	}
}

// newProbe returns a probe and counts it against the rate limit of its endpoint.
func (d *Dispatcher) newProbe(now time.Time, address netip.AddrPort) Probe {
	if e := d.byAddress[address]; e != nil {
		e.rate.countUse(now)
		e.probed = e.declared
	}
	return Probe{Endpoint: address}
}
