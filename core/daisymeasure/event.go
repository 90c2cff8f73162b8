package daisymeasure

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// event is an event in a Simulation.
type event interface{ event() }

// callerArrived is the arrival of the next caller of a rank of a service.
type callerArrived struct {
	service *service
	rank    daisyrank.Index
}

// attemptReached is the arrival of an attempt at its endpoint.
type attemptReached struct{ attempt *attempt }

// workFinished is the time at which an endpoint finishes the work of an attempt. It
// has no effect if the attempt ended before.
type workFinished struct{ attempt *attempt }

// attemptCanceled is the arrival of the cancellation of an attempt at its endpoint.
type attemptCanceled struct{ attempt *attempt }

// outcomeReceived is the arrival of the outcome of an attempt at its VM.
type outcomeReceived struct {
	attempt *attempt
	outcome daisyrequest.Outcome
	report  daisyendpoint.Report
	// rateLimit is the limit that the endpoint named; nil if there was no response.
	rateLimit daisyendpoint.RateLimit
}

// deadlinePassed is the deadline of an attempt.
type deadlinePassed struct{ attempt *attempt }

// dispatcherWoken is the time at which a dispatcher asked to be woken.
type dispatcherWoken struct {
	vm      *vm
	service *service
	at      time.Time
}

// messageReceived is the arrival of a message from another VM.
type messageReceived struct {
	to      *vm
	service *service
	message daisyroute.PeerMessage
}

// probeFinished is the end of a probe.
type probeFinished struct {
	vm       *vm
	service  *service
	endpoint *endpoint
	address  netip.AddrPort
	report   daisyendpoint.Report
	failed   bool
}

// workProcessed is the time at which the processor of a VM has done the work for an event.
type workProcessed struct{ of event }

// livenessChecked is the time at which a VM updates its view of which VMs are live.
type livenessChecked struct{ vm *vm }

// faultChanged is the beginning or the end of a fault.
type faultChanged struct {
	fault  Fault
	begins bool
}

func (callerArrived) event()   {}
func (attemptReached) event()  {}
func (workFinished) event()    {}
func (attemptCanceled) event() {}
func (outcomeReceived) event() {}
func (deadlinePassed) event()  {}
func (dispatcherWoken) event() {}
func (messageReceived) event() {}
func (probeFinished) event()   {}
func (workProcessed) event()   {}
func (livenessChecked) event() {}
func (faultChanged) event()    {}

// scheduledEvent is an event in the event queue.
type scheduledEvent struct {
	event     event
	heapIndex int
}

func (sm *Simulation) schedule(after time.Duration, e event) {
	s := &scheduledEvent{event: e}
	sm.events.Push(sm.now.Add(after), s, &s.heapIndex)
}

func (sm *Simulation) runNextEvent() bool {
	at, s, ok := sm.events.First()
	if !ok {
		return false
	}
	sm.events.Remove(s.heapIndex)
	sm.now = at
	sm.handleEvent(s.event)
	return true
}

func (sm *Simulation) handleEvent(ev event) {
	switch e := ev.(type) {
	case callerArrived:
		sm.handleCaller(e)
	case attemptReached:
		sm.receiveAttempt(e.attempt)
	case workFinished:
		sm.finishWork(e.attempt)
	case attemptCanceled:
		sm.cancelAtEndpoint(e.attempt)
	case faultChanged:
		sm.applyFault(e)
	case outcomeReceived, deadlinePassed, dispatcherWoken, messageReceived, probeFinished, livenessChecked, serviceDeclared:
		sm.handleVMEvent(ev, false)
	case workProcessed:
		sm.handleVMEvent(e.of, true)
	}
}

// handleVMEvent handles an event at a VM. It delays events at a paused VM until the
// end of the pause, and until its processor has done the work for them unless it is already
// processed. It drops events at a dead VM.
func (sm *Simulation) handleVMEvent(ev event, processed bool) {
	v := eventVM(ev)
	if v.dead {
		return
	}
	if sm.now.Before(v.pausedUntil) {
		sm.schedule(v.pausedUntil.Sub(sm.now), ev)
		return
	}
	if work := sm.workFor(ev); !processed && work > 0 && v.cores > 0 {
		v.work(sm.now, work)
		sm.schedule(v.busyUntil.Sub(sm.now), workProcessed{of: ev})
		return
	}
	switch e := ev.(type) {
	case outcomeReceived:
		sm.resolveAttempt(e)
	case deadlinePassed:
		sm.timeOutAttempt(e.attempt)
	case dispatcherWoken:
		if e.at.Equal(v.wakeTimes[e.service.index]) {
			v.wakeTimes[e.service.index] = time.Time{}
			sm.handle(v, e.service, daisyroute.TimePassed{})
		}
	case messageReceived:
		sm.handle(v, e.service, e.message)
	case serviceDeclared:
		sm.handle(v, e.service, e.change)
	case probeFinished:
		sm.finishProbe(e)
	case livenessChecked:
		vms := sm.visibleVMs(e.vm)
		if sm.scenario.Fleet.isEarlierBuild(v.Name) {
			// It knows nothing of capacities.
			for i := range vms {
				vms[i].Capacity = daisyvm.Capacity{}
			}
		}
		owners := daisycredit.DealOwners(sm.serviceIDs(), vms)
		for _, s := range sm.services {
			sm.handle(v, s, daisyroute.PeersChanged{VMs: vms, Owners: owners})
		}
	case callerArrived, attemptReached, workFinished, attemptCanceled, faultChanged, workProcessed:
	}
}

func (sm *Simulation) serviceIDs() []daisyservice.ID {
	var ids []daisyservice.ID
	for _, s := range sm.services {
		ids = append(ids, s.ID)
	}
	return ids
}

// workFor returns the processor time of a whole core for an event.
func (sm *Simulation) workFor(ev event) time.Duration {
	switch ev.(type) {
	case messageReceived, probeFinished:
		return sm.scenario.MessageWork
	}
	return 0
}

// work occupies the processor after the work that has arrived before.
func (v *vm) work(now time.Time, work time.Duration) {
	if v.cores == 0 {
		return
	}
	if v.busyUntil.Before(now) {
		v.busyUntil = now
	}
	v.busyUntil = v.busyUntil.Add(time.Duration(float64(work) / v.cores))
}

func eventVM(ev event) *vm {
	switch e := ev.(type) {
	case outcomeReceived:
		return e.attempt.vm
	case deadlinePassed:
		return e.attempt.vm
	case dispatcherWoken:
		return e.vm
	case messageReceived:
		return e.to
	case probeFinished:
		return e.vm
	case livenessChecked:
		return e.vm
	case serviceDeclared:
		return e.vm
	case callerArrived, attemptReached, workFinished, attemptCanceled, faultChanged, workProcessed:
	}
	return nil
}

// sendMessage sends a message from one VM to another. The message can be lost.
func (sm *Simulation) sendMessage(from *vm, s *service, t daisyroute.SendMessage) {
	to := sm.findVM(t.To)
	if to == nil || to == from {
		return
	}
	sm.tally.recordMessage(sm, from.Name, to.Name, t.Message)
	from.work(sm.now, sm.scenario.MessageWork)
	if sm.linkRandom.Float64() < sm.scenario.MessageLoss || sm.partitioned && from.partitionSide != to.partitionSide {
		return
	}
	m := daisyroute.PeerMessage{From: from.Name, Message: t.Message}
	sm.schedule(sm.scenario.Fleet.delay(from.Zone, to.Zone), messageReceived{to: to, service: s, message: m})
}
