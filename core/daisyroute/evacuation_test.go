package daisyroute_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

const (
	zoneVMs   = 6
	zoneSlots = 4
	// fewEndpoints have one owner, manyEndpoints one in each zone.
	fewEndpoints, manyEndpoints = 12, 96
	// lastNews is when the last VM learns of a change.
	lastNews = 1500 * time.Millisecond
)

// zoneSim simulates VMs that share the endpoints of three availability zones, of which the
// first is evacuated. The VMs learn of it at different times.
type zoneSim struct {
	*crashSim
	// busy is the number of requests that each endpoint works on, and busiest its largest
	// value in the first zone.
	busy    map[netip.AddrPort]int
	busiest int
	// sent are the times at which requests and probes were sent to the first zone.
	sent  []time.Time
	ranks map[daisyrequest.ID]int
	// served and failed count the ends of the requests of each rank.
	served, failed [2]int
	// waited is how long the requests of each VM waited for a slot.
	waited map[daisyvm.Name]time.Duration
}

func zoned(endpoints int, evacuated bool) daisyservice.Service {
	s := newService(endpoints, zoneSlots)
	for i := range s.Endpoints {
		s.Endpoints[i].Zone = daisyfleet.ZoneID{Fleet: s.ID.Fleet, Zone: string(rune('a' + i%3))}
		s.Endpoints[i].Evacuated = evacuated && i%3 == 0
	}
	return s
}

func inFirstZone(endpoint netip.AddrPort) bool {
	return slices.ContainsFunc(zoned(manyEndpoints, true).Endpoints, func(e daisyendpoint.Endpoint) bool { return e.Evacuated && e.Address == endpoint })
}

func newZoneSim(t *testing.T, seed uint64, endpoints int, policy daisyroute.Policy) *zoneSim {
	s := &zoneSim{busy: make(map[netip.AddrPort]int), ranks: make(map[daisyrequest.ID]int), waited: make(map[daisyvm.Name]time.Duration)}
	s.crashSim = newSim(t, seed, zoneVMs, zoned(endpoints, false), policy)
	s.crashSim.observe, s.crashSim.ended, s.work, s.message = s.observe, s.endAttempt, 27*time.Millisecond, 2*time.Millisecond
	return s
}

// load sends requests at a rate, one of ten of the most urgent rank, until the simulation ends.
func (s *zoneSim) load(perSecond float64) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.requests++
		v, rank := s.vms[s.random.IntN(zoneVMs)], 1
		if s.random.IntN(10) == 0 {
			rank = 0
		}
		s.ranks[s.requests] = rank
		s.handle(v, daisyroute.RequestArrived{Request: daisyrequest.Request{
			ID: s.requests, Rank: ranks[rank].Name, Arrived: s.now, Deadline: s.now.Add(time.Second), Idempotent: true, Hedgeable: true,
		}})
		s.load(perSecond)
	})
}

// change puts a declaration in force at all VMs, one after another within a time.
func (s *zoneSim) change(service daisyservice.Service, within time.Duration) {
	s.service = service
	for i, v := range s.vms {
		s.after(within*time.Duration(i)/(zoneVMs-1), func() { s.handle(v, daisyroute.ServiceChanged{Service: service}) })
	}
}

func (s *zoneSim) observe(v *simVM, decision daisyroute.Decision) {
	switch d := decision.(type) {
	case daisyroute.Send:
		s.noteSent(d.Endpoint)
		s.busy[d.Endpoint]++
		s.waited[v.vm.Name] += d.Waited
		if inFirstZone(d.Endpoint) {
			s.busiest = max(s.busiest, s.busy[d.Endpoint])
		}
	case daisyroute.Deliver:
		s.served[s.ranks[d.Request]]++
	case daisyroute.Fail:
		s.failed[s.ranks[d.Request]]++
	case daisyroute.Probe:
		s.noteSent(d.Endpoint)
		s.after(s.message, func() { s.handle(v, daisyroute.ReportReceived{Endpoint: d.Endpoint, Report: s.report(d.Endpoint)}) })
	case daisyroute.CheckEndpoint:
		s.noteSent(d.Endpoint)
	}
}

func (s *zoneSim) endAttempt(v *simVM, endpoint netip.AddrPort) {
	s.busy[endpoint]--
	s.handle(v, daisyroute.ReportReceived{Endpoint: endpoint, Report: s.report(endpoint)})
}

func (s *zoneSim) noteSent(endpoint netip.AddrPort) {
	if inFirstZone(endpoint) {
		s.sent = append(s.sent, s.now)
	}
}

func (s *zoneSim) report(endpoint netip.AddrPort) daisyendpoint.Report {
	return daisyendpoint.Report{Slots: zoneSlots, InFlight: s.busy[endpoint], Slowdown: 1}
}

// sentAfter returns how many sends to the first zone were later than a time.
func (s *zoneSim) sentAfter(at time.Time) int {
	n := 0
	for _, t := range s.sent {
		if t.After(at) {
			n++
		}
	}
	return n
}

// zoneSeeds returns the number of seeds of a simulation of zones.
func zoneSeeds() uint64 {
	if testing.Short() {
		return 1
	}
	return 3
}

var evacuationPolicies = map[string]daisyroute.Policy{
	"on demand":         daisyroute.Credits{Lending: daisycredit.OnDemand{}},
	"on demand by zone": daisyroute.Credits{Lending: daisycredit.OnDemand{}},
	"in advance":        daisyroute.Credits{Overcommit: 1},
	"even shares":       daisyroute.EvenShares{},
	"least of two":      daisyroute.LeastOfTwo{Reports: true},
}

// Guards against requests, hedges, probes and checks that reach an evacuated zone once all
// VMs know of it, also with news from VMs that knew of it late, and against requests that
// are lost although the other zones can serve them.
func TestEvacuatedZoneGetsNothingNew(t *testing.T) {
	for name, p := range evacuationPolicies {
		for seed := range zoneSeeds() {
			endpoints := fewEndpoints
			if name == "on demand by zone" {
				endpoints = manyEndpoints
			}
			s := newZoneSim(t, seed, endpoints, p)
			s.load(500)
			s.advance(2 * time.Second)
			assert.Assert(t, s.sentAfter(start.Add(time.Second)) > 50, name)
			s.served, s.failed = [2]int{}, [2]int{}
			s.change(zoned(endpoints, true), lastNews)
			// An attempt that starts just before the last VM knows of it ends 60 ms later.
			s.advance(lastNews + 100*time.Millisecond)
			for _, v := range s.vms {
				assert.Equal(t, v.dispatcher.EvacuatedInFlight(), 0, name)
				for _, e := range s.service.Endpoints {
					if e.Evacuated {
						s.handle(v, daisyroute.PeerMessage{From: "vm-9", Message: daisymessage.EndpointNews{Service: s.service.ID, Address: e.Address, Report: s.report(e.Address)}})
						status, _ := v.dispatcher.Endpoint(s.now, e.Address)
						assert.Equal(t, status.Condition, daisyroute.Evacuated)
						assert.Equal(t, status.Spare, 0)
					}
				}
			}
			evacuated := s.now.Add(-100 * time.Millisecond)
			s.waited, s.served, s.failed = make(map[daisyvm.Name]time.Duration), [2]int{}, [2]int{}
			s.advance(3 * time.Second)
			assert.Equal(t, s.sentAfter(evacuated), 0, "%s, seed %d", name, seed)
			served, failed := s.served[0]+s.served[1], s.failed[0]+s.failed[1]
			assert.Assert(t, 200*failed <= served, "%s, seed %d: %d served, %d failed", name, seed, served, failed)
			for vm, waited := range s.waited {
				if endpoints == fewEndpoints {
					break
				}
				// A group without endpoints that is asked first delays each request by 15 ms.
				mean := waited / time.Duration(served/zoneVMs)
				assert.Assert(t, mean < 15*time.Millisecond, "%s, seed %d: requests at %s waited for %v in the mean", name, seed, vm, mean)
			}
		}
	}
}

// Guards against requests of the most urgent rank that are refused when an evacuation takes
// a third of the capacity, and against slots in the other zones that stay unused.
func TestEvacuationRefusesTheLeastUrgentRequests(t *testing.T) {
	for seed := range zoneSeeds() {
		s := newZoneSim(t, seed, fewEndpoints, evacuationPolicies["on demand"])
		s.load(1000)
		s.advance(2 * time.Second)
		s.change(zoned(fewEndpoints, true), lastNews)
		s.advance(lastNews)
		s.served, s.failed = [2]int{}, [2]int{}
		s.advance(4 * time.Second)
		assert.Assert(t, 100*s.failed[0] <= s.served[0], "seed %d: %d urgent requests served, %d refused", seed, s.served[0], s.failed[0])
		// The 32 slots that remain can serve 800 requests a second.
		perSecond := float64(s.served[0]+s.served[1]) / 4
		assert.Assert(t, perSecond >= 0.85*800, "seed %d: %.0f served a second", seed, perSecond)
	}
}

// Guards against a zone that gets its whole load at once after the evacuation, when its
// endpoints may be cold, and against one that does not get it back.
func TestLoadReturnsStepByStepAfterAnEvacuation(t *testing.T) {
	for seed := range zoneSeeds() {
		s := newZoneSim(t, seed, fewEndpoints, evacuationPolicies["on demand"])
		s.load(900)
		s.advance(time.Second)
		s.change(zoned(fewEndpoints, true), lastNews)
		s.advance(3 * time.Second)
		s.busiest = 0
		// All VMs learn of it nearly at once, which loads the zone the most.
		s.change(zoned(fewEndpoints, false), 10*time.Millisecond)
		s.advance(20 * time.Millisecond)
		for _, v := range s.vms {
			status, _ := v.dispatcher.Endpoint(s.now, address(0))
			assert.Equal(t, status.Condition, daisyroute.Ramping)
		}
		// A second slot of each endpoint is lent after 500 ms.
		s.advance(450 * time.Millisecond)
		assert.Assert(t, s.busiest == 1, "seed %d: %d requests at one endpoint", seed, s.busiest)
		s.advance(4 * time.Second)
		var perSecond []int
		for range 4 {
			began := s.now
			s.advance(time.Second)
			perSecond = append(perSecond, s.sentAfter(began))
		}
		// A third of the requests, with the probes.
		for _, n := range perSecond {
			assert.Assert(t, n >= 200 && n <= 2*slices.Min(perSecond), "seed %d: %v requests a second", seed, perSecond)
		}
	}
}

// Guards against requests that wait for a zone that is evacuated, and against an evacuation
// that breaks off what runs there.
func TestRequestsAreRefusedAtOnceIfAllEndpointsAreEvacuated(t *testing.T) {
	for name, p := range evacuationPolicies {
		h := newHarness(t, newService(2, 2), p)
		h.handle(daisyroute.PeersChanged{VMs: []daisyvm.VM{self}})
		var sent []daisyroute.Send
		for range 6 {
			sent = append(sent, ofType[daisyroute.Send](append(h.arrive(h.request(1)), h.advance(time.Millisecond)...))...)
		}
		evacuated := newService(2, 2)
		for i := range evacuated.Endpoints {
			evacuated.Endpoints[i].Evacuated = true
		}
		decisions := h.handle(daisyroute.ServiceChanged{Service: evacuated})
		decisions = append(decisions, h.arrive(h.request(0))...)
		failed := ofType[daisyroute.Fail](decisions)
		assert.Equal(t, len(failed), 7-len(sent), name)
		for _, f := range failed {
			assert.Equal(t, f.Failure, daisyrequest.Failure(daisyrequest.NoEndpoint{RetryAfter: time.Second}))
		}
		assert.Equal(t, len(ofType[daisyroute.Cancel](decisions)), 0, name)
		assert.Equal(t, h.dispatcher.EvacuatedInFlight(), len(sent), name)
		for _, s := range sent {
			assert.Equal(t, len(ofType[daisyroute.Deliver](h.answer(s.Attempt, 200, time.Millisecond))), 1, name)
		}
		assert.Equal(t, h.dispatcher.EvacuatedInFlight(), 0, name)
	}
}

// Guards against waiting requests for which too little capacity is left and that are told
// only when their time is over, and against a retry that waits for the endpoint that failed.
func TestWaitingRequestsAreRefusedWhenTheirCapacityIsLost(t *testing.T) {
	h := newHarness(t, newService(8, 1), daisyroute.LeastOfTwo{})
	h.warmUp(1, 100*time.Millisecond)
	for range 8 {
		h.send(h.request(1))
	}
	for range 100 {
		assert.Equal(t, len(ofType[daisyroute.Fail](h.arrive(h.request(1)))), 0)
	}
	evacuated := newService(8, 1)
	for i := range 6 {
		evacuated.Endpoints[i].Evacuated = true
	}
	failed := ofType[daisyroute.Fail](h.handle(daisyroute.ServiceChanged{Service: evacuated}))
	// Two slots serve 40 requests within the 2 s.
	assert.Assert(t, len(failed) >= 55 && len(failed) <= 70, "%d refused", len(failed))
	for _, f := range failed {
		assert.Equal(t, f.Cause, daisyroute.CapacityLost)
		notRun, ok := f.Failure.(daisyrequest.NoEndpoint)
		assert.Assert(t, ok && notRun.RetryAfter > 0)
	}

	h = newHarness(t, newService(2, 1), daisyroute.LeastOfTwo{})
	first, other := h.send(h.request(1)), h.send(h.request(1))
	assert.Equal(t, len(h.handle(daisyroute.AttemptResolved{Attempt: first.Attempt, Outcome: daisyrequest.Shed{}, Resendable: true})), 0)
	one := newService(2, 1)
	for i := range one.Endpoints {
		one.Endpoints[i].Evacuated = one.Endpoints[i].Address == other.Endpoint
	}
	assert.Equal(t, single[daisyroute.Fail](t, h.handle(daisyroute.ServiceChanged{Service: one})).Cause, daisyroute.NoneUsable)
}
