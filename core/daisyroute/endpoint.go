package daisyroute

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyhealth"
	"daisyyoke/core/daisyprobe"
	"daisyyoke/core/daisywake"
)

// endpoint is what the dispatcher knows of one endpoint.
type endpoint struct {
	declared daisyendpoint.Endpoint
	address  netip.AddrPort
	slots    int
	// removed says that it is no longer declared; health and target are gone then.
	removed  bool
	health   *daisyhealth.Endpoint
	target   *daisyprobe.Target
	inFlight int
	// usable says that it is counted in the dispatcher's usable.
	usable bool
	// place and trial are the indices in the dispatcher's lists of free endpoints and of trials.
	place, trial int
	// due is since when a trial is due.
	due time.Time
	// spare is the number of further attempts it may have; 0 when it is not free.
	spare int
	// drainingUntil is when a report of draining lapses, toldDraining the last true one.
	drainingUntil, toldDraining time.Time
	// pausedUntil ends a pause after shed requests, of which sheds came in a row.
	pausedUntil time.Time
	sheds       int
	// timer is the place in the heap of timers.
	timer int
	// shown is the state that EndpointChanged told last.
	shown Condition
	// report is the last report, and ownAtReport the VM's own attempts when it arrived.
	report      daisyendpoint.Report
	ownAtReport int
}

const outside = -1

// refresh brings the lists and counts up to date after a change of the endpoint or
// when its timer ran out, and sets its next timer.
func (d *Dispatcher) refresh(now time.Time, e *endpoint) {
	draining := e.removed || e.declared.Draining || now.Before(e.drainingUntil)
	d.countUsable(e, !draining)
	spare, trial := 0, false
	if !draining && !now.Before(e.pausedUntil) {
		spare, trial = d.room(now, e)
	}
	d.spare += spare - e.spare
	e.spare = spare
	setMember(&d.free, e, func(e *endpoint) *int { return &e.place }, spare > 0)
	if trial && e.trial == outside {
		e.due = now
	}
	setMember(&d.trials, e, func(e *endpoint) *int { return &e.trial }, trial)
	d.setTimer(now, e)
	d.reportCondition(now, e)
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

// room gives how many further attempts an endpoint may have, or whether it is due for a trial.
func (d *Dispatcher) room(now time.Time, e *endpoint) (spare int, trial bool) {
	allowed := e.health.Allowance(now, e.inFlight)
	if _, ok := e.health.State().(daisyhealth.Ejected); ok {
		return 0, allowed > 0 && !d.health.Postpone(now, e.health)
	}
	return max(min(d.limit(e), allowed)-e.inFlight, 0), false
}

// setMember puts an endpoint into a list without order, or takes it out.
func setMember(list *[]*endpoint, e *endpoint, place func(*endpoint) *int, member bool) {
	p := place(e)
	if member == (*p != outside) {
		return
	}
	if member {
		*p = len(*list)
		*list = append(*list, e)
		return
	}
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[*p] = moved
	*place(moved) = *p
	(*list)[last] = nil
	*list = (*list)[:last]
	*p = outside
}

// setTimer plans the next change that comes by time alone.
func (d *Dispatcher) setTimer(now time.Time, e *endpoint) {
	var next time.Time
	if now.Before(e.drainingUntil) {
		next = e.drainingUntil
	}
	if now.Before(e.pausedUntil) {
		next = daisywake.Sooner(next, e.pausedUntil)
	}
	if !e.removed {
		if s, ok := e.health.State().(daisyhealth.Ejected); ok && now.Before(s.NextTrial) {
			next = daisywake.Sooner(next, s.NextTrial)
		}
	}
	d.timers.Remove(e.timer)
	if !next.IsZero() && !e.removed {
		d.timers.Push(next, e, &e.timer)
	}
}
