package daisymeasure

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

// event is something that happens in a World.
type event interface{ event() }

// called says that the next caller of a rank arrives at a service.
type called struct {
	service *service
	rank    daisyrank.Index
}

// reached says that an attempt reaches its endpoint.
type reached struct{ attempt *attempt }

// finished says that an endpoint has done the work of an attempt, unless it was stopped before.
type finished struct{ attempt *attempt }

// stopped says that an endpoint learns that an attempt was given up.
type stopped struct{ attempt *attempt }

// answered says that the outcome of an attempt reaches its VM.
type answered struct {
	attempt *attempt
	outcome daisyrequest.Outcome
	report  daisyendpoint.Report
}

// expired says that the deadline of an attempt has passed.
type expired struct{ attempt *attempt }

// woken says that a dispatcher asked for the time.
type woken struct {
	vm      *vm
	service *service
	at      time.Time
}

// arrived says that a message of another VM has come.
type arrived struct {
	to      *vm
	service *service
	message daisyroute.PeerMessage
}

// probed says that a probe has ended.
type probed struct {
	vm       *vm
	service  *service
	endpoint *endpoint
	address  netip.AddrPort
	report   daisyendpoint.Report
	failed   bool
}

// noticed says that a VM looks which VMs are live.
type noticed struct{ vm *vm }

// changed says that a fault begins or ends.
type changed struct {
	fault  Fault
	begins bool
}

func (called) event()   {}
func (reached) event()  {}
func (finished) event() {}
func (stopped) event()  {}
func (answered) event() {}
func (expired) event()  {}
func (woken) event()    {}
func (arrived) event()  {}
func (probed) event()   {}
func (noticed) event()  {}
func (changed) event()  {}

// scheduled is an event in the queue.
type scheduled struct {
	event event
	place int
}

func (w *World) schedule(after time.Duration, e event) {
	s := &scheduled{event: e}
	w.events.Push(w.now.Add(after), s, &s.place)
}

func (w *World) step() bool {
	at, s, ok := w.events.First()
	if !ok {
		return false
	}
	w.events.Remove(s.place)
	w.now = at
	w.happen(s.event)
	return true
}

func (w *World) happen(happened event) {
	switch e := happened.(type) {
	case called:
		w.arrive(e)
	case reached:
		w.reach(e.attempt)
	case finished:
		w.finish(e.attempt)
	case stopped:
		w.stop(e.attempt)
	case changed:
		w.change(e)
	case answered, expired, woken, arrived, probed, noticed:
		w.happenAtVM(happened)
	}
}

// happenAtVM holds back what happens at a paused VM, and drops what happens at a dead one.
func (w *World) happenAtVM(happened event) {
	v := vmOf(happened)
	if v.dead {
		return
	}
	if w.now.Before(v.paused) {
		w.schedule(v.paused.Sub(w.now), happened)
		return
	}
	switch e := happened.(type) {
	case answered:
		w.resolve(e)
	case expired:
		w.expire(e.attempt)
	case woken:
		if e.at.Equal(v.wakes[e.service.index]) {
			v.wakes[e.service.index] = time.Time{}
			w.handle(v, e.service, daisyroute.TimePassed{})
		}
	case arrived:
		w.handle(v, e.service, e.message)
	case probed:
		w.endProbe(e)
	case noticed:
		for _, s := range w.services {
			w.handle(v, s, daisyroute.PeersChanged{VMs: w.liveFor(e.vm)})
		}
	case called, reached, finished, stopped, changed:
	}
}

func vmOf(happened event) *vm {
	switch e := happened.(type) {
	case answered:
		return e.attempt.vm
	case expired:
		return e.attempt.vm
	case woken:
		return e.vm
	case arrived:
		return e.to
	case probed:
		return e.vm
	case noticed:
		return e.vm
	case called, reached, finished, stopped, changed:
	}
	return nil
}

// tell carries a message from one VM to another.
func (w *World) tell(from *vm, s *service, t daisyroute.Tell) {
	to := w.findVM(t.To)
	if to == nil || to == from {
		return
	}
	w.tally.noteMessage(w, t.Message)
	if w.links.Float64() < w.scenario.Loss || w.cut && from.half != to.half {
		return
	}
	m := daisyroute.PeerMessage{From: from.Name, Message: t.Message}
	w.schedule(w.scenario.Fleet.delay(from.Zone, to.Zone), arrived{to: to, service: s, message: m})
}
