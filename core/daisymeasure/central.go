package daisymeasure

import (
	"math"

	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

// central is the one queue of a service that a Central policy has.
type central struct {
	waiting  [ranks][]*call
	inFlight [ranks]int
}

func (w *World) enqueue(c *call) {
	q := &c.service.central
	q.waiting[c.Rank] = append(q.waiting[c.Rank], c)
	w.fillCentral(c.service)
}

func (w *World) fillCentral(s *service) {
	for {
		rank, ok := s.nextRank()
		if !ok {
			return
		}
		e := s.bestFree(w, s.central.waiting[rank][0])
		if e == nil {
			return
		}
		c := s.central.waiting[rank][0]
		s.central.waiting[rank] = s.central.waiting[rank][1:]
		if w.now.After(c.Deadline) {
			w.end(c)
			w.tally.noteFailure(c, daisyroute.Fail{Failure: daisyrequest.DeadlinePassed{}})
			continue
		}
		w.startCentral(c, e)
	}
}

// nextRank gives the rank to serve: one below its floor before the others, else the most urgent.
func (s *service) nextRank() (daisyrank.Index, bool) {
	q := &s.central
	found := daisyrank.Index(-1)
	for r := range ranks {
		if len(q.waiting[r]) == 0 {
			continue
		}
		if q.inFlight[r] < int(math.Ceil(s.Ranks[r].Floor*float64(s.slots))) {
			return r, true
		}
		if found < 0 {
			found = r
		}
	}
	return found, found >= 0
}

// bestFree gives the endpoint with a free slot that answers a call soonest. It
// leaves alone those that are slow, fail or drain.
func (s *service) bestFree(w *World, c *call) *endpoint {
	var best *endpoint
	for _, e := range s.order {
		if e.dead || e.failFast || e.draining || e.factor > 1 || len(e.working) >= e.Slots {
			continue
		}
		if best == nil || w.scenario.Fleet.delay(c.vm.Zone, e.Zone) < w.scenario.Fleet.delay(c.vm.Zone, best.Zone) {
			best = e
		}
	}
	return best
}

// startCentral starts a call the moment it could be at the endpoint.
func (w *World) startCentral(c *call, e *endpoint) {
	a := &attempt{call: c, vm: c.vm, endpoint: e, work: c.work[0], state: working}
	delay := w.scenario.Fleet.delay(c.vm.Zone, e.Zone)
	ahead := max(0, delay-w.now.Sub(c.Arrived))
	c.sends++
	c.started++
	c.service.central.inFlight[c.Rank]++
	e.working = append(e.working, a)
	w.schedule(ahead+a.work, finished{attempt: a})
}

// endCentral answers a call and lets the next one in.
func (w *World) endCentral(_ Central, a *attempt) {
	c := a.call
	c.service.central.inFlight[c.Rank]--
	w.end(c)
	w.tally.noteAnswerAt(w, c, w.now.Add(w.scenario.Fleet.delay(c.vm.Zone, a.endpoint.Zone)), daisyrequest.Answered{Status: 200})
	w.fillCentral(c.service)
}
