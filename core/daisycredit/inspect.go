package daisycredit

import (
	"net/netip"
	"slices"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisywake"
)

const (
	// freshFor is the age up to which word of an endpoint's pace is trusted. The pace
	// of endpoints with noisy neighbours holds for some hundreds of milliseconds.
	freshFor = 30 * time.Millisecond
	// slowLife is the age from which it is unknown again whether an endpoint is slow,
	// muteLife the same for one that did not answer.
	slowLife = 400 * time.Millisecond
	muteLife = 2 * time.Second
	// answerWithin is how long an endpoint may take to tell its pace; one that takes
	// longer is treated as slow until it answers.
	answerWithin = 8 * time.Millisecond
	// inspectGain is how much less strain an endpoint that has not told its pace has to
	// have for work to wait for its word, up to answerWithin, while another could be
	// used at once: less than what another availability zone counts.
	inspectGain = 0.2
	// mutePace stands for the pace of an endpoint that does not tell it in time.
	mutePace = 4.0
)

// fresh reports whether the pace of an endpoint is known well enough.
func (p *pool) fresh(now time.Time) bool { return now.Sub(p.slowAt) <= freshFor }

// pace gives how much longer than usual work takes at an endpoint, as far as that is known.
func (o *Owner) pace(now time.Time, p *pool) float64 {
	mute := p.asked.After(p.slowAt) && now.Sub(p.asked) > answerWithin
	if mute && now.Sub(p.asked) < muteLife {
		return mutePace
	}
	told := 1.0
	if now.Sub(p.slowAt) < slowLife {
		told = p.slowdown
	}
	return max(told, o.heldPace(now, p))
}

// inspect asks the endpoint that would be best for a borrower for its pace, unless
// all that could be are known or asked already.
func (o *Owner) inspect(now time.Time, a *account) {
	var best *pool
	var least float64
	for _, p := range o.pools {
		l := a.lines[p.Address]
		if !o.mayInspect(now, p, l) {
			continue
		}
		if s := o.strain(now, a, p, l); rather(s, p, least, best) {
			best, least = p, s
		}
	}
	if best == nil {
		return
	}
	best.asked = now
	o.inspections = append(o.inspections, best.Address)
	o.retry = daisywake.Sooner(o.retry, now.Add(answerWithin))
}

// mayInspect reports whether it is worth asking an endpoint for its pace.
func (o *Owner) mayInspect(now time.Time, p *pool, l *loan) bool {
	return !p.nearlyFull(p.out) && p.out < o.capacity(now, p) && (l == nil || !l.broken) &&
		!p.fresh(now) && now.Sub(p.asked) > freshFor
}

// Inspections gives the endpoints to be asked for their pace, once.
func (o *Owner) Inspections() []netip.AddrPort {
	wanted := o.inspections
	o.inspections = o.inspections[len(o.inspections):]
	return wanted
}

// NoteReport takes what an endpoint said of itself; a slowdown of 0 stands for no
// word of it.
func (o *Owner) NoteReport(now time.Time, endpoint netip.AddrPort, report daisyendpoint.Report) {
	if p := o.pool(endpoint); p != nil {
		p.slowdown, p.slowAt = report.Slowdown, now
		p.busy, p.outThen = report.InFlight+report.Waiting, p.out
	}
	if slices.ContainsFunc(o.since, func(t time.Time) bool { return !t.IsZero() }) {
		o.lend(now)
	}
}

// NoteMute takes that an endpoint did not answer when it was asked for its pace.
func (o *Owner) NoteMute(now time.Time, endpoint netip.AddrPort) {
	o.NoteReport(now, endpoint, daisyendpoint.Report{Slowdown: mutePace})
}
