package daisycredit

import (
	"net/netip"
	"slices"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisywake"
)

const (
	// reportMaxAge is the age up to which the report of an endpoint is trusted. The
	// slowdown of endpoints with noisy neighbours lasts for some hundreds of milliseconds.
	reportMaxAge = 30 * time.Millisecond
	// slowdownExpiry is the age of a report from which it is unknown again whether the
	// endpoint is slow, and probeFailureExpiry the same for an unanswered probe.
	slowdownExpiry     = 400 * time.Millisecond
	probeFailureExpiry = 2 * time.Second
	// probeTimeout is how long an endpoint may take to answer a probe; one that takes
	// longer is treated as slow until it answers.
	probeTimeout = 8 * time.Millisecond
	// minProbeGain is how much lower the cost of an endpoint without a fresh report has
	// to be for requests to wait for its report, up to probeTimeout, while another
	// endpoint could be used at once. It is less than crossZoneCost.
	minProbeGain = 0.2
	// unresponsiveSlowdown is the assumed slowdown of an endpoint that does not answer
	// a probe in time.
	unresponsiveSlowdown = 4.0
)

// hasFreshReport reports whether the latest report of an endpoint is recent enough to be trusted.
func (p *pool) hasFreshReport(now time.Time) bool { return now.Sub(p.reportedAt) <= reportMaxAge }

// slowdown returns the factor by which attempts take longer than usual at an endpoint,
// or 1 if that is not known.
func (o *Owner) slowdown(now time.Time, p *pool) float64 {
	unresponsive := p.probedAt.After(p.reportedAt) && now.Sub(p.probedAt) > probeTimeout
	if unresponsive && now.Sub(p.probedAt) < probeFailureExpiry {
		return unresponsiveSlowdown
	}
	reported := 1.0
	if now.Sub(p.reportedAt) < slowdownExpiry {
		reported = p.slowdown
	}
	return max(reported, o.holdTimeRatio(now, p))
}

// requestProbe requests a probe of the endpoint that would be best for a borrower,
// unless all candidates have a fresh report or a recent probe.
func (o *Owner) requestProbe(now time.Time, a *account) {
	var best *pool
	var minCost float64
	for _, p := range o.pools {
		l := a.loans[p.Address]
		if !o.worthProbing(now, p, l) {
			continue
		}
		if cost := o.endpointCost(now, a, p, l); isBetter(cost, p, minCost, best) {
			best, minCost = p, cost
		}
	}
	if best == nil {
		return
	}
	best.probedAt = now
	o.probes = append(o.probes, best.Address)
	o.retryAt = daisywake.Sooner(o.retryAt, now.Add(probeTimeout))
}

// worthProbing reports whether a probe may make an endpoint eligible for a borrower
// that has the given loan there.
func (o *Owner) worthProbing(now time.Time, p *pool, l *loan) bool {
	return !p.nearlyFull(p.lentCredits) && p.lentCredits < o.capacity(now, p) && (l == nil || !l.broken) &&
		!p.hasFreshReport(now) && now.Sub(p.probedAt) > reportMaxAge
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
	if p := o.pool(endpoint); p != nil {
		p.slowdown, p.reportedAt = report.Slowdown, now
		p.reportedLoad, p.lentAtReport = report.InFlight+report.Waiting, p.lentCredits
	}
	if slices.ContainsFunc(o.waitingSince, func(t time.Time) bool { return !t.IsZero() }) {
		o.lend(now)
	}
}

// NoteProbeFailure records that an endpoint did not answer a probe.
func (o *Owner) NoteProbeFailure(now time.Time, endpoint netip.AddrPort) {
	o.NoteReport(now, endpoint, daisyendpoint.Report{Slowdown: unresponsiveSlowdown})
}
