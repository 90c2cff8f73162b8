package daisycredit

import (
	"net/netip"
	"slices"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisywake"
)

const (
	// freshReportAge is the age up to which the report of an endpoint is trusted without
	// another probe.
	freshReportAge = 30 * time.Millisecond
	// slowdownExpiry is the age of a report from which it is unknown again whether the
	// endpoint is slow, and probeFailureExpiry the same for an unanswered probe. Noisy
	// neighbours slow an endpoint down for some hundreds of milliseconds.
	slowdownExpiry     = 400 * time.Millisecond
	probeFailureExpiry = 2 * time.Second
	// failedProbeInterval is the minimum time from a failed probe to the next one of the
	// endpoint. Every VM may own a group of the endpoint's service in a partition, and a cold
	// process that is not declared yet fails probes and tolerates few requests.
	failedProbeInterval = 250 * time.Millisecond
	// slowProbeAge is the age of an unanswered probe from which the endpoint is treated
	// as slow, until it answers or the probe is as old as probeFailureExpiry.
	slowProbeAge = 8 * time.Millisecond
	// minProbeGain is how much lower the cost of an endpoint without a fresh report has
	// to be for requests to wait for its report, up to slowProbeAge, while another
	// endpoint could be used at once. It is less than crossZoneCost, so that requests
	// wait for the report of an endpoint in their own availability zone.
	minProbeGain = 0.2
	// unresponsiveSlowdown is the assumed slowdown of an endpoint that does not answer
	// a probe in time.
	unresponsiveSlowdown = 4.0
)

// hasFreshReport reports whether the latest report of an endpoint is recent enough to be trusted.
func (e *endpointState) hasFreshReport(now time.Time) bool {
	return now.Sub(e.reportedAt) <= freshReportAge
}

// slowdown returns the factor by which attempts take longer than usual at an endpoint,
// or 1 if that is not known.
func (o *Owner) slowdown(now time.Time, e *endpointState) float64 {
	unresponsive := e.probedAt.After(e.reportedAt) && now.Sub(e.probedAt) > slowProbeAge
	if unresponsive && now.Sub(e.probedAt) < probeFailureExpiry {
		return unresponsiveSlowdown
	}
	reported := 1.0
	if now.Sub(e.reportedAt) < slowdownExpiry {
		reported = e.slowdown
	}
	return max(reported, o.holdTimeRatio(now, e))
}

// requestProbe requests a probe of the endpoint that would be best for a borrower,
// unless all candidates have a fresh report or a recent probe.
func (o *Owner) requestProbe(now time.Time, a *account) {
	var best *endpointState
	var minCost float64
	for _, e := range o.endpoints {
		l := a.loans[e.Address]
		if !o.worthProbing(now, e, l) {
			continue
		}
		if cost := o.endpointCost(now, a, e, l); isBetter(cost, e, minCost, best) {
			best, minCost = e, cost
		}
	}
	if best == nil {
		return
	}
	best.probedAt = now
	o.probes = append(o.probes, best.Address)
	o.retryAt = daisywake.Sooner(o.retryAt, now.Add(slowProbeAge))
}

// worthProbing reports whether a probe may make an endpoint eligible for a borrower
// that has the given loan there. A probe would use up the rate of an endpoint with a
// rate limit.
func (o *Owner) worthProbing(now time.Time, e *endpointState, l *loan) bool {
	return !e.rate.limited() && !now.Before(e.pausedUntil) && !e.nearlyFull(e.lentCredits) && e.lentCredits < o.capacity(now, e) && (l == nil || !l.restricted) &&
		!e.hasFreshReport(now) && now.Sub(e.probedAt) > freshReportAge && now.Sub(e.probeFailedAt) >= failedProbeInterval
}

// SetLeaving takes the declared incarnation of an endpoint out of use.
func (o *Owner) SetLeaving(endpoint netip.AddrPort) {
	if e := o.endpoint(endpoint); e != nil {
		e.leaving = true
	}
}

// SetPause sets until when the VM of the owner may not probe an endpoint. Borrowers that
// were asked for a pause get no credits there, as it is restricted for them.
func (o *Owner) SetPause(endpoint netip.AddrPort, until time.Time) {
	if e := o.endpoint(endpoint); e != nil {
		e.pausedUntil = until
	}
}

// TakeProbes returns the endpoints to probe that were added since the last call.
func (o *Owner) TakeProbes() []netip.AddrPort {
	probes := o.probes
	o.probes = o.probes[len(o.probes):]
	return probes
}

// NoteReport records a report of an endpoint about its load. A Slowdown of 0 means
// that the report does not include it.
func (o *Owner) NoteReport(now time.Time, endpoint netip.AddrPort, report daisyendpoint.Report) {
	if e := o.endpoint(endpoint); e != nil {
		e.slowdown, e.reportedAt, e.probeFailedAt = report.Slowdown, now, time.Time{}
		e.reportedLoad, e.lentAtReport = report.InFlight+report.Waiting, e.lentCredits
	}
	if slices.ContainsFunc(o.rankWaitingSince, func(t time.Time) bool { return !t.IsZero() }) {
		o.lend(now)
	}
}

// NoteProbeFailure records that an endpoint did not answer a probe.
func (o *Owner) NoteProbeFailure(now time.Time, endpoint netip.AddrPort) {
	o.NoteReport(now, endpoint, daisyendpoint.Report{Slowdown: unresponsiveSlowdown})
	if e := o.endpoint(endpoint); e != nil {
		e.probeFailedAt = now
	}
}
