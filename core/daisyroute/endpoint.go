package daisyroute

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyhealth"
	"daisyyoke/core/daisyprobe"
	"daisyyoke/core/daisywake"
)

// endpoint is the dispatcher's state of one endpoint.
type endpoint struct {
	declared daisyendpoint.Endpoint
	address  netip.AddrPort
	slots    int
	// removed is set if the endpoint is no longer declared; health and probeTarget
	// are nil then.
	removed bool
	health  *daisyhealth.Endpoint
	// sharing is the group in which the slots are shared with other VMs; nil if they are not.
	sharing     *slotSharing
	probeTarget *daisyprobe.Target
	inFlight    int
	// usable is set if the endpoint is counted in the dispatcher's usable.
	usable bool
	// freeIndex and trialIndex are the indices in the dispatcher's free and trials, or
	// notListed.
	freeIndex, trialIndex int
	// trialDue is the time since which a trial has been due.
	trialDue time.Time
	// spare is the number of further attempts that may start now.
	spare int
	// drainingUntil is the time until which the endpoint gets no new requests because
	// it reported draining or a request was misdirected. lastDrainingReport is the time
	// at which it last reported draining.
	drainingUntil, lastDrainingReport time.Time
	// leaving is set once the declared incarnation has said that it is going to stop, at
	// leavingSince.
	leaving      bool
	leavingSince time.Time
	// pausedUntil is the end of the pause that the endpoint asked for, and paused is set if
	// the endpoint is counted in the dispatcher's paused.
	pausedUntil time.Time
	paused      bool
	// probed is the declaration of the endpoint when the last probe was sent.
	probed daisyendpoint.Endpoint
	// backoffUntil is the end of the backoff after shed requests.
	backoffUntil time.Time
	// consecutiveSheds is the number of shed requests since the last response.
	consecutiveSheds int
	// timerIndex is the index in the dispatcher's endpointTimers.
	timerIndex int
	// lastCondition is the condition of the last EndpointChanged.
	lastCondition Condition
	// report is the latest load report.
	report daisyendpoint.Report
	rate   rateState
	// inFlightAtReport is the VM's own attempts in flight when report arrived.
	inFlightAtReport int
}

// notListed is the index of an endpoint that is not in a list.
const notListed = -1

// refresh updates the lists, counts and timer after a change of the endpoint or when
// its timer has expired.
func (d *Dispatcher) refresh(now time.Time, e *endpoint) {
	closed := e.closed(now)
	d.countUsable(e, !closed)
	d.countPaused(e, !closed && e.pausing(now))
	spare, trial := 0, false
	if !closed && !e.paused && !now.Before(e.backoffUntil) {
		spare, trial = d.spareAttempts(now, e)
		spare, trial = d.limitRate(now, e, spare, trial)
	}
	d.spare += spare - e.spare
	e.spare = spare
	setMember(&d.free, e, func(e *endpoint) *int { return &e.freeIndex }, spare > 0)
	if trial && e.trialIndex == notListed {
		e.trialDue = now
	}
	setMember(&d.trials, e, func(e *endpoint) *int { return &e.trialIndex }, trial)
	d.setTimer(now, e)
	d.reportCondition(now, e)
}

// closed reports whether the endpoint gets no new requests until something changes about it
// that this VM is told.
func (e *endpoint) closed(now time.Time) bool {
	return e.removed || e.leaving || e.declared.Evacuated || e.declared.Draining || now.Before(e.drainingUntil)
}

func (d *Dispatcher) countUsable(e *endpoint, usable bool) {
	if usable == e.usable {
		return
	}
	e.usable = usable
	if usable {
		d.usable++
		return
	}
	d.usable--
}

// spareAttempts returns how many further attempts may start at an endpoint, and
// whether it is due for a trial.
func (d *Dispatcher) spareAttempts(now time.Time, e *endpoint) (spare int, trial bool) {
	allowed := e.health.Allowance(now, e.inFlight)
	if e.ejected() {
		return 0, allowed > 0 && !d.health.PostponeTrial(now, e.health)
	}
	return max(min(d.attemptLimit(e), allowed)-e.inFlight, 0), false
}

func (e *endpoint) ejected() bool {
	_, ok := e.health.State().(daisyhealth.Ejected)
	return ok
}

// setMember adds an endpoint to an unordered list, or removes it. The function index
// returns where an endpoint keeps its index in that list.
func setMember(list *[]*endpoint, e *endpoint, index func(*endpoint) *int, member bool) {
	i := index(e)
	if member == (*i != notListed) {
		return
	}
	if member {
		*i = len(*list)
		*list = append(*list, e)
		return
	}
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[*i] = moved
	*index(moved) = *i
	(*list)[last] = nil
	*list = (*list)[:last]
	*i = notListed
}

// setTimer schedules the next refresh of an endpoint that changes without an event.
func (d *Dispatcher) setTimer(now time.Time, e *endpoint) {
	var next time.Time
	if now.Before(e.drainingUntil) {
		next = e.drainingUntil
	}
	if now.Before(e.backoffUntil) {
		next = daisywake.Sooner(next, e.backoffUntil)
	}
	if e.pausing(now) {
		next = daisywake.Sooner(next, e.pausedUntil)
	}
	if !e.removed {
		next = daisywake.Sooner(next, d.nextByRate(now, e))
		if s, ok := e.health.State().(daisyhealth.Ejected); ok && now.Before(s.NextTrial) {
			next = daisywake.Sooner(next, s.NextTrial)
		}
	}
	d.endpointTimers.Remove(e.timerIndex)
	if !next.IsZero() && !e.removed {
		d.endpointTimers.Push(next, e, &e.timerIndex)
	}
}
