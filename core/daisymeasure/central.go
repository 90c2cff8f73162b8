package daisymeasure

import (
	"math"

	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

// centralState is the queue of one service under the CentralQueue policy.
type centralState struct {
	waiting  [rankCount][]*call
	inFlight [rankCount]int
}

func (sm *Simulation) enqueueCentral(c *call) {
	q := &c.service.central
	q.waiting[c.rank] = append(q.waiting[c.rank], c)
	sm.dispatchCentral(c.service)
}

func (sm *Simulation) dispatchCentral(s *service) {
	for {
		rank, ok := s.nextRank()
		if !ok {
			return
		}
		e := s.nearestFree(sm, s.central.waiting[rank][0])
		if e == nil {
			return
		}
		c := s.central.waiting[rank][0]
		s.central.waiting[rank] = s.central.waiting[rank][1:]
		if sm.now.After(c.Deadline) {
			sm.endCall(c)
			sm.tally.recordFailure(c, daisyroute.Fail{Failure: daisyrequest.DeadlinePassed{}})
			continue
		}
		sm.startCentral(c, e)
	}
}

// nextRank returns the rank to serve next: the most urgent waiting rank below its
// floor, or else the most urgent waiting rank. It reports false if no call is waiting.
func (s *service) nextRank() (daisyrank.Index, bool) {
	q := &s.central
	mostUrgent := daisyrank.Index(-1)
	for r := range rankCount {
		if len(q.waiting[r]) == 0 {
			continue
		}
		if q.inFlight[r] < int(math.Ceil(s.Ranks[r].Floor*float64(s.slots))) {
			return r, true
		}
		if mostUrgent < 0 {
			mostUrgent = r
		}
	}
	return mostUrgent, mostUrgent >= 0
}

// nearestFree returns the endpoint with a free slot and the shortest network delay
// to the VM of the call, or nil. It skips endpoints that are slow, failing or
// draining.
func (s *service) nearestFree(sm *Simulation, c *call) *endpoint {
	var nearest *endpoint
	for _, e := range s.endpointOrder {
		if e.down || e.failFast || e.draining || e.slowdown > 1 || len(e.working) >= e.Slots {
			continue
		}
		if nearest == nil || sm.scenario.Fleet.delay(c.vm.Zone, e.Zone) < sm.scenario.Fleet.delay(c.vm.Zone, nearest.Zone) {
			nearest = e
		}
	}
	return nearest
}

// startCentral starts a call at an endpoint. A call travels to the endpoint while it
// waits, so only the part of the network delay that exceeds its wait is added.
func (sm *Simulation) startCentral(c *call, e *endpoint) {
	a := &attempt{call: c, vm: c.vm, endpoint: e, work: c.work[0], state: working}
	delay := sm.scenario.Fleet.delay(c.vm.Zone, e.Zone)
	remaining := max(0, delay-sm.now.Sub(c.Arrived))
	c.sendCount++
	c.startCount++
	c.service.central.inFlight[c.rank]++
	e.working = append(e.working, a)
	sm.schedule(remaining+a.work, workFinished{attempt: a})
}

// endCentral answers a call and starts the next one.
func (sm *Simulation) endCentral(_ CentralQueue, a *attempt) {
	c := a.call
	c.service.central.inFlight[c.rank]--
	sm.endCall(c)
	sm.tally.recordAnswerAt(sm, c, sm.now.Add(sm.scenario.Fleet.delay(c.vm.Zone, a.endpoint.Zone)), daisyrequest.Answered{Status: 200})
	sm.dispatchCentral(c.service)
}
