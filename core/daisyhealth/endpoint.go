package daisyhealth

import (
	"math"
	"time"
)

// State is how an endpoint may be used. It is one of Steady, Ramping and Ejected.
type State interface{ state() }

// Steady puts no limit on an endpoint.
type Steady struct{}

// Ramping lets an endpoint that is cold or was ejected have a few attempts at a
// time, one more after each good answer.
type Ramping struct{ Allowed int }

// Ejected keeps work away from an endpoint but for single trials.
type Ejected struct {
	Cause Cause
	Since time.Time
	// NextTrial is when it may get an attempt again.
	NextTrial time.Time
}

func (Steady) state()  {}
func (Ramping) state() {}
func (Ejected) state() {}

// Cause says why an endpoint was ejected.
type Cause int

const (
	// Slow says that its answers took much longer than those of its siblings.
	Slow Cause = iota
	// Faulty says that it refused connections, broke off or answered with server errors.
	Faulty
)

// String gives the cause in kebab case.
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
	// slownessWeight and faultWeight weigh a new observation in the averages.
	slownessWeight = 0.25
	faultWeight    = 0.3
	// faultsAfterReturn makes one fault enough to eject an endpoint that has just returned.
	faultsAfterReturn = 0.3
	// faultPenalty multiplies the weight of an endpoint whose attempts all fail.
	faultPenalty = 20
	// steadyAfter is the number of good answers after which earlier ejections are forgotten.
	steadyAfter = 20
)

// Endpoint is what a Group knows of one endpoint.
type Endpoint struct {
	slots    int
	state    State
	slowness float64
	faults   float64
	samples  int
	// good counts good answers since the last return.
	good int
	// backoff is the time between the last two trials.
	backoff time.Duration
	// sentBefore is the group's count of sends when the last trial was made.
	sentBefore uint64
	// tried is when the last trial was made, or when the endpoint was ejected.
	tried time.Time
	place int
	// resting says that it is out of the group's list for a while.
	resting bool
	// observed is when an attempt last taught something.
	observed time.Time
}

// State gives how the endpoint may be used.
func (e *Endpoint) State() State { return e.state }

// Allowance gives how many attempts the endpoint may have at a time, of which
// inFlight are under way. Only NextTrial of an Ejected state changes it with time.
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

// weightHalfLife is the age at which the last observation counts half in a weight.
const weightHalfLife = 200 * time.Millisecond

// Weight gives how much longer than usual a request may be expected to take there;
// 1 is usual. It comes back to 1 while nothing is observed, so that an endpoint
// that gets no work for its weight gets some again.
func (e *Endpoint) Weight(now time.Time) float64 {
	weight := e.slowness * (1 + faultPenalty*e.faults)
	halves := float64(max(now.Sub(e.observed), 0)) / float64(weightHalfLife)
	return 1 + (weight-1)/(1+halves)
}

// SetSlots changes the slots as declared.
func (e *Endpoint) SetSlots(slots int) { e.slots = slots }

func (e *Endpoint) sample(slowness float64) {
	e.samples++
	e.slowness += slownessWeight * (slowness - e.slowness)
}

func (e *Endpoint) fault(bad float64) { e.faults += faultWeight * (bad - e.faults) }
