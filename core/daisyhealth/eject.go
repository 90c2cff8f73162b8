package daisyhealth

import "time"

const (
	// The time from an ejection to the first trial and the longest time between two trials.
	minSlowBackoff   = 100 * time.Millisecond
	maxSlowBackoff   = 2 * time.Second
	minFaultyBackoff = 500 * time.Millisecond
	maxFaultyBackoff = 4 * time.Second
	// minSendsBetweenTrials is the number of sends of the group between two trials of a
	// faulty endpoint, unless maxTrialDelay has passed.
	minSendsBetweenTrials = 100
	maxTrialDelay         = 10 * time.Second
)

func (g *Group) eject(now time.Time, e *Endpoint, cause Cause) {
	e.increaseBackoff(cause)
	e.answersInARow = 0
	e.sendsAtLastTrial = g.sends
	e.lastTrial = now
	e.state = Ejected{Cause: cause, Since: now, NextTrial: now.Add(e.backoff)}
	g.changes++
}

// increaseBackoff doubles the time between trials, up to the maximum for the cause.
func (e *Endpoint) increaseBackoff(cause Cause) {
	switch cause {
	case Slow:
		e.backoff = min(max(2*e.backoff, minSlowBackoff), maxSlowBackoff)
	case Faulty:
		e.backoff = min(max(2*e.backoff, minFaultyBackoff), maxFaultyBackoff)
	}
}

// clearEjection makes an ejected endpoint steady and updates the counts of the group.
func (g *Group) clearEjection(e *Endpoint) {
	s, ok := e.state.(Ejected)
	if !ok {
		return
	}
	switch s.Cause {
	case Slow:
		g.slowCount--
	case Faulty:
		g.faultyCount--
	}
	e.state = Steady{}
	g.changes++
}

// readmit ends the ejection of an endpoint after a successful trial.
func (g *Group) readmit(e *Endpoint, slowness float64) {
	g.clearEjection(e)
	e.slowness = slowness
	e.faultRate = faultRateAfterReturn
	e.state = Ramping{Allowed: 1}
}

// Return lets an endpoint that got no work for a long time start with one attempt at a time,
// as after an ejection.
func (g *Group) Return(e *Endpoint) {
	g.readmit(e, 1)
	g.changes++
}

// PostponeTrial delays a due trial of a faulty endpoint if the group has sent too few
// attempts since its last trial. It reports whether the trial was delayed.
func (g *Group) PostponeTrial(now time.Time, e *Endpoint) bool {
	s, ok := e.state.(Ejected)
	if !ok || s.Cause != Faulty || now.Before(s.NextTrial) {
		return false
	}
	if g.sends >= e.sendsAtLastTrial+minSendsBetweenTrials || !now.Before(e.lastTrial.Add(maxTrialDelay)) {
		return false
	}
	s.NextTrial = now.Add(e.backoff)
	e.state = s
	return true
}
