package daisyroute

import (
	"slices"
	"time"

	"daisyyoke/core/daisycrash"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyvm"
)

const (
	// maxSuspected limits the requests that one check of an endpoint is about.
	maxSuspected = 64
	// maxIntroducedFindings limits the findings that a VM which starts is told.
	maxIntroducedFindings = 256
)

// recordRun notes which request an attempt was of, and whether an endpoint has run it or may
// have crashed under it.
func (d *Dispatcher) recordRun(now time.Time, a *attempt, event AttemptResolved) {
	if event.Fingerprint.Complete() {
		a.fingerprint = event.Fingerprint
		if a.request != nil {
			a.request.Fingerprint = event.Fingerprint
		}
	}
	switch o := event.Outcome.(type) {
	case daisyrequest.Answered:
		a.ran = o.Ran()
	case daisyrequest.BrokenOff:
		if o.Closed {
			d.checkAfterBreak(now, a)
		}
	case daisyrequest.Shed, daisyrequest.Misdirected, daisyrequest.NotSent, daisyrequest.TimedOut, daisyrequest.Canceled:
	}
}

// recordEnding notes how the response to an attempt ended.
func (d *Dispatcher) recordEnding(now time.Time, a *attempt, ending daisyrequest.Ending) {
	switch {
	case ending == daisyrequest.BodyTruncated:
		d.checkAfterBreak(now, a)
	case a.delivered && a.ran:
		d.crashes.Answered(now)
		d.noteFinding(now, daisycrash.Acquittal{Request: a.fingerprint}, true)
	}
}

// checkAfterBreak asks whether an endpoint still accepts connections after an attempt broke
// off there. A connection may also break without a crash, and an endpoint that leaves may
// end with requests in work.
func (d *Dispatcher) checkAfterBreak(now time.Time, a *attempt) {
	address := a.endpoint.address
	requests := d.suspected[address]
	if !a.fingerprint.Complete() || d.leaves(now, a) || len(requests) >= maxSuspected {
		return
	}
	if len(requests) == 0 {
		d.emit(CheckEndpoint{Endpoint: address})
	}
	d.suspected[address] = append(requests, daisycrash.Crash{
		Request:  a.fingerprint,
		Service:  d.service.ID,
		Endpoint: address,
		Sent:     a.sent,
		At:       now,
	})
}

// leaves reports whether the endpoint of an attempt was going to stop anyway, or is evacuated:
// a check is new work, and whatever led to the evacuation may break connections.
func (d *Dispatcher) leaves(now time.Time, a *attempt) bool {
	e := a.endpoint
	return e.closed(now) || !a.declared.SameIncarnation(e.declared)
}

// handleChecked records the crash of an endpoint that no longer listens, for each request
// that broke off there.
func (d *Dispatcher) handleChecked(now time.Time, event EndpointChecked) {
	requests := d.suspected[event.Endpoint]
	delete(d.suspected, event.Endpoint)
	switch event.Reachability.(type) {
	case daisyendpoint.Refusing:
		for _, c := range requests {
			d.noteFinding(now, c, true)
		}
	case daisyendpoint.Accepting, daisyendpoint.Silent:
	}
}

// noteFinding records a finding, and tells the other VMs of one that is this VM's own.
func (d *Dispatcher) noteFinding(now time.Time, finding daisycrash.Finding, own bool) {
	f := daisycrash.RequestOf(finding)
	_, wasQuarantined := d.crashes.QuarantineEnd(now, f)
	if !d.record(now, finding) {
		return
	}
	end, quarantined := d.crashes.QuarantineEnd(now, f)
	noted := FindingNoted{Finding: finding, Crashes: d.crashes.Crashes(f), Own: own}
	if quarantined {
		noted.Quarantine = end.Sub(now)
	}
	d.emit(noted)
	findings := []daisycrash.Finding{finding}
	if _, ok := finding.(daisycrash.Crash); ok && quarantined && !wasQuarantined {
		findings = append(findings, daisycrash.Verdict{Request: f, Service: d.service.ID})
	}
	if own {
		for _, p := range d.peers {
			d.tellFindings(p, findings)
		}
	}
	if !quarantined {
		return
	}
	for _, r := range d.waitingRequests() {
		if r.Fingerprint == f {
			d.failQuarantined(now, r)
		}
	}
}

// record adds a finding to the ledger, and reports whether it is new.
func (d *Dispatcher) record(now time.Time, finding daisycrash.Finding) bool {
	switch f := finding.(type) {
	case daisycrash.Crash:
		return d.crashes.Add(now, f)
	case daisycrash.Verdict:
		return d.crashes.Condemn(f.Request)
	case daisycrash.Acquittal:
		return d.crashes.Acquit(f.Request)
	}
	return false
}

func (d *Dispatcher) tellFindings(to daisyvm.Name, findings []daisycrash.Finding) {
	d.emit(SendMessage{To: to, Message: daisymessage.CrashFindings{Findings: findings}})
}

// introduceFindings tells VMs that have just started of the crashes at this service's
// endpoints.
func (d *Dispatcher) introduceFindings(now time.Time, vms []daisyvm.Name) {
	if len(vms) == 0 {
		return
	}
	// Those at other services' endpoints are told by the owners of these.
	atOwn := make(map[daisyrequest.Fingerprint]bool)
	var own []daisycrash.Finding
	for _, finding := range d.crashes.Findings(now) {
		switch f := finding.(type) {
		case daisycrash.Crash:
			if f.Service == d.service.ID {
				atOwn[f.Request] = true
				own = append(own, f)
			}
		case daisycrash.Verdict:
			if atOwn[f.Request] {
				own = append(own, f)
			}
		case daisycrash.Acquittal:
		}
	}
	own = own[max(len(own)-maxIntroducedFindings, 0):]
	if len(own) == 0 {
		return
	}
	for _, name := range vms {
		d.tellFindings(name, own)
	}
}

// quarantineEnd returns until when a request is not sent to endpoints, and reports whether
// that is the case. One that is not quarantined may have to cool down.
func (d *Dispatcher) quarantineEnd(now time.Time, f daisyrequest.Fingerprint) (time.Time, bool) {
	if end, ok := d.crashes.QuarantineEnd(now, f); ok {
		return end, true
	}
	var suspected []daisycrash.Crash
	for _, requests := range d.suspected {
		// One endpoint may break off many requests without a crash.
		if i := slices.IndexFunc(requests, func(c daisycrash.Crash) bool { return c.Request == f }); i >= 0 {
			suspected = append(suspected, requests[i])
		}
	}
	end := d.crashes.Cooldown(f, suspected)
	return end, now.Before(end)
}

// failQuarantined fails a request that is quarantined, and reports whether it did.
func (d *Dispatcher) failQuarantined(now time.Time, r *request) bool {
	end, ok := d.quarantineEnd(now, r.Fingerprint)
	if ok {
		d.fail(now, r, CrashesEndpoints, end.Sub(now))
	}
	return ok
}

// Suspects reports whether a request with this head may be one that crashes endpoints,
// depending on its body.
func (d *Dispatcher) Suspects(head daisyrequest.Digest) bool {
	if d.crashes.Suspects(head) {
		return true
	}
	for _, requests := range d.suspected {
		if slices.ContainsFunc(requests, func(c daisycrash.Crash) bool { return c.Request.Head == head }) {
			return true
		}
	}
	return false
}

// Findings returns what is known of requests that may crash endpoints, oldest first.
func (d *Dispatcher) Findings(now time.Time) []daisycrash.Finding { return d.crashes.Findings(now) }
