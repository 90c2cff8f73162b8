package daisyhealth

import "time"

const (
	// The time to the first trial and the longest time between two.
	slowBackoff   = 100 * time.Millisecond
	slowLongest   = 2 * time.Second
	faultyBackoff = 500 * time.Millisecond
	faultyLongest = 4 * time.Second
	// sendsBetween is the number of sends of the group between two trials of a
	// faulty endpoint, unless trialAnyway has passed.
	sendsBetween = 100
	trialAnyway  = 10 * time.Second
)

func (g *Group) eject(now time.Time, e *Endpoint, cause Cause) {
	e.lengthen(cause)
	e.good = 0
	e.sentBefore = g.sent
	e.tried = now
	e.state = Ejected{Cause: cause, Since: now, NextTrial: now.Add(e.backoff)}
	g.changes++
}

// lengthen doubles the time between trials up to the longest.
func (e *Endpoint) lengthen(cause Cause) {
	switch cause {
	case Slow:
		e.backoff = min(max(2*e.backoff, slowBackoff), slowLongest)
	case Faulty:
		e.backoff = min(max(2*e.backoff, faultyBackoff), faultyLongest)
	}
}

// release counts an endpoint as ejected no longer.
func (g *Group) release(e *Endpoint) {
	s, ok := e.state.(Ejected)
	if !ok {
		return
	}
	switch s.Cause {
	case Slow:
		g.slow--
	case Faulty:
		g.faulty--
	}
	e.state = Steady{}
	g.changes++
}

// readmit takes an endpoint back after a trial that went well.
func (g *Group) readmit(e *Endpoint, slowness float64) {
	g.release(e)
	e.slowness = slowness
	e.faults = faultsAfterReturn
	e.state = Ramping{Allowed: 1}
}

// Postpone puts off the trial of a faulty endpoint that is due while the group has
// sent too little since the last one. It reports whether the trial was put off.
func (g *Group) Postpone(now time.Time, e *Endpoint) bool {
	s, ok := e.state.(Ejected)
	if !ok || s.Cause != Faulty || now.Before(s.NextTrial) {
		return false
	}
	if g.sent >= e.sentBefore+sendsBetween || !now.Before(e.tried.Add(trialAnyway)) {
		return false
	}
	s.NextTrial = now.Add(e.backoff)
	e.state = s
	return true
}
