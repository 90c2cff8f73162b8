package daisyhealth

import (
	"math"
	"time"
)

// State is the state of an endpoint. It is one of Steady, Ramping and Ejected.
type State interface{ state() }

// Steady places no limit on the attempts at an endpoint.
type Steady struct{}

// Ramping limits the concurrent attempts at an endpoint that is cold or was ejected.
// The limit grows by one with each answer that is not slow.
type Ramping struct{ Allowed int }

// Ejected allows an endpoint single trials only.
type Ejected struct {
	Cause Cause
	Since time.Time
	// NextTrial is when the endpoint may get an attempt again.
	NextTrial time.Time
}

func (Steady) state()  {}
func (Ramping) state() {}
func (Ejected) state() {}

// Cause is the reason for an ejection.
type Cause int

const (
	// Slow means that the answers took much longer than the median of the group.
	Slow Cause = iota
	// Faulty means that connections were refused or broken off, or answers were server errors.
	Faulty
)

// String returns the cause in kebab case.
func (c Cause) String() string {
	switch c {
	case Slow:
		return "slow"
	case Faulty:
		return "faulty"
	}
	return "unknown"
}

const (
	// slownessWeight and faultWeight are the weights of a new observation in the moving averages.
	slownessWeight = 0.25
	faultWeight    = 0.3
	// faultRateAfterReturn is high enough that one fault ejects an endpoint that has just returned.
	faultRateAfterReturn = 0.3
	// faultPenalty is the relative increase in the weight of an endpoint whose attempts all fail.
	faultPenalty = 20
	// answersToResetBackoff is the number of answers in a row, slow ones included, that
	// resets the backoff.
	answersToResetBackoff = 20
)

// Endpoint holds the health of one endpoint in a Group.
type Endpoint struct {
	slots     int
	state     State
	slowness  float64
	faultRate float64
	samples   int
	// answersInARow counts the answers, slow ones included, since the last bad result
	// or ejection.
	answersInARow int
	// backoff is the delay before the next trial. It doubles with each ejection or failed
	// trial, up to a maximum, and is 0 before the first ejection and after
	// answersToResetBackoff answers in a row.
	backoff time.Duration
	// sendsAtLastTrial is the group's count of sends at the last trial.
	sendsAtLastTrial uint64
	// lastTrial is when the last trial was sent, or when the endpoint was ejected.
	lastTrial time.Time
	index     int
	// excluded means that the endpoint is not in the group's list for the time being.
	excluded bool
	// lastObserved is when an attempt last gave an observation.
	lastObserved time.Time
}

// State returns the current state.
func (e *Endpoint) State() State { return e.state }

// Allowance returns how many attempts the endpoint may have at a time, given how many
// are in flight. Between changes of the state, it changes only when NextTrial of an
// Ejected endpoint is reached.
func (e *Endpoint) Allowance(now time.Time, inFlight int) int {
	switch s := e.state.(type) {
	case Ramping:
		return s.Allowed
	case Ejected:
		if inFlight == 0 && !now.Before(s.NextTrial) {
			return 1
		}
		return 0
	case Steady:
	}
	return math.MaxInt
}

// weightHalfAge is the time without observations after which the difference of a weight
// from 1 has halved.
const weightHalfAge = 200 * time.Millisecond

// Weight returns the cost of sending a request to the endpoint, relative to 1 for a usual
// endpoint: its slowness, increased by its fault rate. The weight approaches 1 while there
// are no observations, so that an endpoint that gets no work because of its weight gets
// some again.
func (e *Endpoint) Weight(now time.Time) float64 {
	weight := e.slowness * (1 + faultPenalty*e.faultRate)
	relativeAge := float64(max(now.Sub(e.lastObserved), 0)) / float64(weightHalfAge)
	return 1 + (weight-1)/(1+relativeAge)
}

// SetSlots changes the declared number of slots.
func (e *Endpoint) SetSlots(slots int) { e.slots = slots }

func (e *Endpoint) recordSlowness(slowness float64) {
	e.samples++
	e.slowness += slownessWeight * (slowness - e.slowness)
}

func (e *Endpoint) recordFault(sample float64) { e.faultRate += faultWeight * (sample - e.faultRate) }
