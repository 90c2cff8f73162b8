// Package daisyhealth detects endpoints that respond worse than the others of their service.
//
// The endpoints of a service are compared with the median of all of them. One that
// is much slower, or fails much more often, is ejected and gets single trials until it
// responds well again. Only a share of the endpoints may be ejected. When nearly all
// look bad, no endpoint stays ejected, because the cause is then elsewhere. Slowness is
// the time of an answer divided by the median of its rank, so that ranks with different
// service times can be compared.
package daisyhealth

import (
	"slices"
	"time"
)

// Observation is the result of an attempt. It is one of Answer, AtLeast and Fault.
type Observation interface{ observation() }

// Answer is an answer that is not a server error.
type Answer struct{ Slowness float64 }

// AtLeast is an attempt that has no answer so far, or that was given up. Its Slowness is
// a lower bound.
type AtLeast struct{ Slowness float64 }

// Fault is a refused connection, a broken connection or a server error, however quick.
type Fault struct{}

func (Answer) observation()  {}
func (AtLeast) observation() {}
func (Fault) observation()   {}

const (
	// slowFactor times the median slowness of the endpoints of the group is too slow.
	slowFactor = 3
	// faultExcess is the distance above the lower quartile of the fault rates of the group
	// that is too faulty. Faults are distinct enough to tell a healthy minority from the
	// rest: unlike the median, the lower quartile is still that of a healthy endpoint when
	// more than half of them fail.
	faultExcess = 0.4
	// minSlownessSamples is the number of samples required to eject an endpoint as slow.
	minSlownessSamples = 3
	// maxSlowShare is the share of the endpoints that may be ejected, for any cause, once
	// one more is ejected as slow, and maxEjectedShare once one more is ejected as faulty.
	// When more than maxEjectedShare look bad, ejections are suspended.
	maxSlowShare    = 1.0 / 3
	maxEjectedShare = 0.75
	// comparisonInterval is the minimum number of observations between two comparisons of all endpoints.
	comparisonInterval = 32
	// maxQuantileSamples bounds the endpoints that a quantile is calculated from.
	maxQuantileSamples = 63
)

// Group compares the endpoints of one service. The times passed to its methods must not decrease.
type Group struct {
	endpoints []*Endpoint
	// medianSlowness is the median over the endpoints, baselineFaultRate the lower quartile.
	medianSlowness, baselineFaultRate float64
	slowCount, faultyCount            int
	suspended                         bool
	observedSinceComparison           int
	sends                             uint64
	changes                           uint64
	scratch                           []float64
	// keepSlow means that slow endpoints are not ejected.
	keepSlow bool
}

// NewGroup returns a group without endpoints.
func NewGroup() *Group { return &Group{medianSlowness: 1} }

// NewFaultOnlyGroup returns a group that ejects faulty endpoints only, for a caller
// that sends less work to slow endpoints itself.
func NewFaultOnlyGroup() *Group { return &Group{medianSlowness: 1, keepSlow: true} }

// Join adds an endpoint. A cold one starts with one attempt at a time.
func (g *Group) Join(slots int, cold bool) *Endpoint {
	e := &Endpoint{slots: slots, slowness: 1, state: Steady{}, index: len(g.endpoints)}
	if cold {
		e.state = Ramping{Allowed: 1}
	}
	g.endpoints = append(g.endpoints, e)
	return e
}

// Ramp lets a steady endpoint start with one attempt at a time again.
func (g *Group) Ramp(e *Endpoint) {
	if _, ok := e.state.(Steady); ok {
		e.state = Ramping{Allowed: 1}
		g.changes++
	}
}

// Leave removes an endpoint and compares the others again, so that the remaining ones
// do not all stay ejected.
func (g *Group) Leave(now time.Time, e *Endpoint) {
	if e.excluded {
		return
	}
	g.clearEjection(e)
	g.remove(e)
	g.compareAll(now)
}

// SetExcluded sets whether an endpoint is excluded because it gets no new work for a
// reason of its own. An excluded endpoint is not compared with the others.
func (g *Group) SetExcluded(now time.Time, e *Endpoint, excluded bool) {
	switch {
	case excluded == e.excluded:
	case excluded:
		g.Leave(now, e)
		e.excluded = true
	default:
		e.excluded = false
		e.index = len(g.endpoints)
		g.endpoints = append(g.endpoints, e)
	}
}

func (g *Group) remove(e *Endpoint) {
	last := g.endpoints[len(g.endpoints)-1]
	g.endpoints[e.index] = last
	last.index = e.index
	g.endpoints = g.endpoints[:len(g.endpoints)-1]
}

// Changes returns the number of state changes. When it changes, allowances may have changed.
func (g *Group) Changes() uint64 { return g.changes }

// Suspended reports whether ejections are suspended because nearly all endpoints look bad.
func (g *Group) Suspended() bool { return g.suspended }

// Ejected returns the number of ejected endpoints.
func (g *Group) Ejected() int { return g.slowCount + g.faultyCount }

// Sent counts an attempt at an endpoint. It delays the next trial of an ejected one.
func (g *Group) Sent(now time.Time, e *Endpoint) {
	g.sends++
	if s, ok := e.state.(Ejected); ok {
		e.sendsAtLastTrial = g.sends
		e.lastTrial = now
		s.NextTrial = now.Add(e.backoff)
		e.state = s
	}
}

// Observe records the result of an attempt that was sent at a given time. Only attempts
// that were sent after an ejection change the state of the ejected endpoint.
func (g *Group) Observe(now time.Time, e *Endpoint, sent time.Time, observation Observation) {
	switch o := observation.(type) {
	case Answer:
		e.recordSlowness(o.Slowness)
		e.recordFault(0)
		g.handleAnswer(e, sent, o.Slowness)
	case AtLeast:
		if o.Slowness <= e.slowness {
			return
		}
		e.recordSlowness(o.Slowness)
		g.handleBadResult(now, e, sent)
	case Fault:
		e.recordFault(1)
		g.handleBadResult(now, e, sent)
	}
	e.lastObserved = now
	g.observedSinceComparison++
	if g.observedSinceComparison >= max(comparisonInterval, len(g.endpoints)) {
		g.compareAll(now)
	}
	g.evaluate(now, e)
}

// handleAnswer advances a ramping or ejected endpoint after an answer.
func (g *Group) handleAnswer(e *Endpoint, sent time.Time, slowness float64) {
	fast := slowness <= slowFactor*g.medianSlowness
	switch s := e.state.(type) {
	case Ramping:
		if !fast {
			return
		}
		s.Allowed++
		e.state = s
		if s.Allowed >= e.slots {
			e.state = Steady{}
		}
		g.changes++
	case Ejected:
		if fast && !sent.Before(s.Since) {
			g.readmit(e, slowness)
		}
	case Steady:
	}
	if e.answersInARow++; e.answersInARow >= answersToResetBackoff {
		e.backoff = 0
	}
}

// handleBadResult increases the time to the next trial of an ejected endpoint.
func (g *Group) handleBadResult(now time.Time, e *Endpoint, sent time.Time) {
	e.answersInARow = 0
	s, ok := e.state.(Ejected)
	if !ok || sent.Before(s.Since) {
		return
	}
	e.increaseBackoff(s.Cause)
	s.NextTrial = now.Add(e.backoff)
	e.state = s
}

func (g *Group) evaluate(now time.Time, e *Endpoint) {
	if _, ejected := e.state.(Ejected); ejected || g.suspended || e.excluded {
		return
	}
	switch {
	case g.isFaulty(e) && float64(g.Ejected()+1) <= maxEjectedShare*float64(len(g.endpoints)):
		g.faultyCount++
		g.eject(now, e, Faulty)
	case g.isSlow(e) && g.mayEjectSlow():
		g.slowCount++
		g.eject(now, e, Slow)
	}
}

func (g *Group) isFaulty(e *Endpoint) bool { return e.faultRate > g.baselineFaultRate+faultExcess }

func (g *Group) isSlow(e *Endpoint) bool {
	return !g.keepSlow && e.samples >= minSlownessSamples && e.slowness > slowFactor*g.medianSlowness
}

// mayEjectSlow reports whether one more endpoint may be ejected as slow: with it, at most
// one of two or three endpoints, or a third of a larger group, are ejected for any cause.
func (g *Group) mayEjectSlow() bool {
	n := float64(len(g.endpoints))
	return len(g.endpoints) > 1 && float64(g.Ejected()+1) <= max(1, maxSlowShare*n)
}

// compareAll updates the median and the quartile and decides whether ejections are suspended.
func (g *Group) compareAll(now time.Time) {
	g.observedSinceComparison = 0
	g.medianSlowness = max(g.quantile(0.5, func(e *Endpoint) float64 { return e.slowness }), minMedianSlowness)
	g.baselineFaultRate = g.quantile(0.25, func(e *Endpoint) float64 { return e.faultRate })
	bad := 0
	for _, e := range g.endpoints {
		if _, ejected := e.state.(Ejected); ejected || e.faultRate > faultExcess || g.isSlow(e) {
			bad++
		}
	}
	g.suspended = float64(bad) > maxEjectedShare*float64(len(g.endpoints))
	for _, e := range g.endpoints {
		if _, ejected := e.state.(Ejected); ejected && g.suspended {
			g.clearEjection(e)
		}
		g.evaluate(now, e)
	}
}

// minMedianSlowness prevents a median of very quick errors from making every answer slow.
const minMedianSlowness = 0.25

// quantile returns a quantile of a value over the endpoints, or over evenly spaced ones if there are many.
func (g *Group) quantile(fraction float64, value func(e *Endpoint) float64) float64 {
	g.scratch = g.scratch[:0]
	step := len(g.endpoints)/maxQuantileSamples + 1
	for i := 0; i < len(g.endpoints); i += step {
		g.scratch = append(g.scratch, value(g.endpoints[i]))
	}
	if len(g.scratch) == 0 {
		return 0
	}
	slices.Sort(g.scratch)
	return g.scratch[int(fraction*float64(len(g.scratch)-1))]
}
