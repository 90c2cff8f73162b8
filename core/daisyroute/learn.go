package daisyroute

import (
	"time"

	"daisyyoke/core/daisyhealth"
	"daisyyoke/core/daisyrequest"
)

const (
	// unknownShedPause is the first pause after a shed request while no service time is known.
	unknownShedPause = 10 * time.Millisecond
	// longestShedPause bounds the time without new work after shed requests.
	longestShedPause = time.Second
)

// learn takes what an outcome says of the endpoint and of the service times of the rank.
func (d *Dispatcher) learn(now time.Time, a *attempt, outcome daisyrequest.Outcome) {
	age := now.Sub(a.sent)
	switch o := outcome.(type) {
	case daisyrequest.Answered:
		d.learnAnswer(now, a, o)
	case daisyrequest.Shed:
		d.pause(now, a.endpoint)
	case daisyrequest.Misdirected:
		d.misplace(now, a.endpoint)
	case daisyrequest.NotSent, daisyrequest.BrokenOff:
		d.observe(now, a, daisyhealth.Fault{})
	case daisyrequest.TimedOut, daisyrequest.Canceled:
		d.observe(now, a, daisyhealth.AtLeast{Slowness: d.slowness(a, age)})
		if times := d.queue.Answers(a.rank); age > times.P95() && times.Samples() > 0 && !d.spoiled(a) {
			d.queue.Learn(a.rank, age)
		}
	}
}

func (d *Dispatcher) learnAnswer(now time.Time, a *attempt, answer daisyrequest.Answered) {
	e := a.endpoint
	e.consecutiveSheds = 0
	if !e.removed {
		e.target.Known(now)
	}
	if answer.ServerError() {
		d.observe(now, a, daisyhealth.Fault{})
		return
	}
	took := answer.Took
	if took <= 0 {
		took = now.Sub(a.sent)
	}
	d.observe(now, a, daisyhealth.Answer{Slowness: d.slowness(a, took)})
	if !d.spoiled(a) {
		d.queue.Learn(a.rank, took)
	}
}

// slowness gives a time as a multiple of the median of the rank.
func (d *Dispatcher) slowness(a *attempt, took time.Duration) float64 {
	median := d.queue.Answers(a.rank).Median()
	if median == 0 {
		return 1
	}
	return float64(took) / float64(median)
}

func (d *Dispatcher) observe(now time.Time, a *attempt, observation daisyhealth.Observation) {
	if a.endpoint.removed || d.spoiled(a) {
		return
	}
	d.health.Observe(now, a.endpoint.health, a.sent, observation)
	d.followHealth(now)
}

// followHealth brings all endpoints up to date when the health of some has changed.
func (d *Dispatcher) followHealth(now time.Time) {
	if d.health.Changes() == d.healthChanges {
		return
	}
	d.healthChanges = d.health.Changes()
	for _, e := range d.endpoints {
		d.refresh(now, e)
	}
}

// misplace keeps work away from an address that another endpoint has now, until
// the declaration of the service follows.
func (d *Dispatcher) misplace(now time.Time, e *endpoint) {
	e.drainingUntil = now.Add(drainingHold)
}

// pause keeps work away for a while from an endpoint that shed a request: others use its slots.
func (d *Dispatcher) pause(now time.Time, e *endpoint) {
	first := d.queue.Answers(0).Median() / 4
	if first == 0 {
		first = unknownShedPause
	}
	e.backoffUntil = now.Add(min(first<<min(e.consecutiveSheds, 10), longestShedPause))
	e.consecutiveSheds++
}
