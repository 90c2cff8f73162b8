package daisyroute

import (
	"time"

	"daisyyoke/core/daisyhealth"
	"daisyyoke/core/daisyrequest"
)

const (
	// defaultShedBackoff is the first backoff after a shed request while no response
	// time of the most urgent rank is known.
	defaultShedBackoff = 10 * time.Millisecond
	// maxShedBackoff is the maximum backoff after shed requests.
	maxShedBackoff = time.Second
)

// recordOutcome updates the state of the endpoint and the response times of the rank
// with the outcome of an attempt.
func (d *Dispatcher) recordOutcome(now time.Time, a *attempt, outcome daisyrequest.Outcome) {
	age := now.Sub(a.sent)
	switch o := outcome.(type) {
	case daisyrequest.Answered:
		d.recordAnswer(now, a, o)
	case daisyrequest.Shed:
		d.backOff(now, a.endpoint)
	case daisyrequest.Misdirected:
		d.suspendMisdirected(now, a.endpoint)
	case daisyrequest.NotSent, daisyrequest.BrokenOff:
		d.observe(now, a, daisyhealth.Fault{})
	case daisyrequest.TimedOut, daisyrequest.Canceled:
		d.observe(now, a, daisyhealth.AtLeast{Slowness: d.slowness(a, age)})
		if times := d.queue.ResponseTimes(a.rank); age > times.P95() && times.Samples() > 0 && !d.spansPause(a) {
			d.queue.RecordResponseTime(a.rank, age)
		}
	}
}

func (d *Dispatcher) recordAnswer(now time.Time, a *attempt, answer daisyrequest.Answered) {
	e := a.endpoint
	e.consecutiveSheds = 0
	if !e.removed {
		e.probeTarget.RecordUpdate(now)
	}
	if answer.ServerError() {
		d.observe(now, a, daisyhealth.Fault{})
		return
	}
	responseTime := answer.ResponseTime
	if responseTime <= 0 {
		responseTime = now.Sub(a.sent)
	}
	d.observe(now, a, daisyhealth.Answer{Slowness: d.slowness(a, responseTime)})
	if !d.spansPause(a) {
		d.queue.RecordResponseTime(a.rank, responseTime)
	}
}

// slowness returns a response time as a multiple of the median of the rank.
func (d *Dispatcher) slowness(a *attempt, responseTime time.Duration) float64 {
	median := d.queue.ResponseTimes(a.rank).Median()
	if median == 0 {
		return 1
	}
	return float64(responseTime) / float64(median)
}

func (d *Dispatcher) observe(now time.Time, a *attempt, observation daisyhealth.Observation) {
	if a.endpoint.removed || d.spansPause(a) {
		return
	}
	d.health.Observe(now, a.endpoint.health, a.sent, observation)
	d.refreshOnHealthChange(now)
}

// refreshOnHealthChange refreshes all endpoints if the health state of any has changed.
func (d *Dispatcher) refreshOnHealthChange(now time.Time) {
	if d.health.Changes() == d.healthChanges {
		return
	}
	d.healthChanges = d.health.Changes()
	for _, e := range d.endpoints {
		d.refresh(now, e)
	}
}

// suspendMisdirected sends no requests for drainingTTL to an address that a different
// endpoint uses now. The updated declaration of the service should arrive by then.
func (d *Dispatcher) suspendMisdirected(now time.Time, e *endpoint) {
	e.drainingUntil = now.Add(drainingTTL)
}

// backOff sends no requests for a while to an endpoint that has shed one, because
// attempts of other VMs occupy its slots. The first backoff is a quarter of the median
// response time of the most urgent rank; it doubles with each consecutive shed request.
func (d *Dispatcher) backOff(now time.Time, e *endpoint) {
	e.backoffUntil = now.Add(min(d.firstBackoff()<<min(e.consecutiveSheds, 10), maxShedBackoff))
	e.consecutiveSheds++
}

// firstBackoff returns the backoff after the first of consecutive shed requests.
func (d *Dispatcher) firstBackoff() time.Duration {
	if first := d.queue.ResponseTimes(0).Median() / 4; first > 0 {
		return first
	}
	return defaultShedBackoff
}
