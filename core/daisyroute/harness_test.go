package daisyroute_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ranks = []daisyrank.Rank{
		{Name: "urgent", Target: 250 * time.Millisecond, Worth: 100, Floor: 0.5},
		{Name: "standard", Target: 2 * time.Second, Worth: 10, Floor: 0.3},
		{Name: "bulk", Target: 10 * time.Minute, Worth: 1, Floor: 0.05},
	}
	self = daisyvm.VM{Name: "vm-0", Incarnation: 1}
)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

func newService(endpoints, slots int) daisyservice.Service {
	s := daisyservice.Service{ID: daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"}, Ranks: ranks}
	for i := range endpoints {
		s.Endpoints = append(s.Endpoints, daisyendpoint.Endpoint{Address: address(i), Slots: slots, Connections: 250})
	}
	return s
}

// harness drives a dispatcher on a simulated clock.
type harness struct {
	t          *testing.T
	dispatcher *daisyroute.Dispatcher
	now        time.Time
	requests   daisyrequest.ID
	// decisions are the decisions of the last event.
	decisions []daisyroute.Decision
}

func newHarness(t *testing.T, service daisyservice.Service, policy daisyroute.Policy) *harness {
	return &harness{t: t, now: start, dispatcher: daisyroute.NewDispatcher(daisyroute.Options{
		Self:    self,
		Service: service,
		Random:  rand.New(rand.NewPCG(1, 2)),
		Policy:  policy,
	})}
}

func (h *harness) handle(event daisyroute.Event) []daisyroute.Decision {
	h.decisions = append([]daisyroute.Decision(nil), h.dispatcher.Handle(h.now, event)...)
	return h.decisions
}

// advance advances the time, handles every wake-up on the way and returns all
// decisions.
func (h *harness) advance(length time.Duration) []daisyroute.Decision {
	end := h.now.Add(length)
	var all []daisyroute.Decision
	for {
		wake := h.dispatcher.NextWake()
		if wake.IsZero() || wake.After(end) {
			h.now = end
			return all
		}
		if wake.After(h.now) {
			h.now = wake
		}
		all = append(all, h.handle(daisyroute.TimePassed{})...)
	}
}

func (h *harness) request(rank daisyrank.Index) daisyrequest.Request {
	h.requests++
	return daisyrequest.Request{
		ID:       h.requests,
		Rank:     ranks[rank].Name,
		Arrived:  h.now,
		Deadline: h.now.Add(ranks[rank].Target),
	}
}

func (h *harness) arrive(request daisyrequest.Request) []daisyroute.Decision {
	return h.handle(daisyroute.RequestArrived{Request: request})
}

// send handles the arrival of a request that has to be sent at once.
func (h *harness) send(request daisyrequest.Request) daisyroute.Send {
	h.t.Helper()
	return single[daisyroute.Send](h.t, h.arrive(request))
}

// answer answers an attempt and ends the response body.
func (h *harness) answer(attempt daisyrequest.AttemptID, status int, responseTime time.Duration) []daisyroute.Decision {
	all := h.handle(daisyroute.AttemptResolved{Attempt: attempt, Outcome: daisyrequest.Answered{Status: status, ResponseTime: responseTime}})
	return append(all, h.handle(daisyroute.AttemptReleased{Attempt: attempt})...)
}

// warmUp answers enough requests of a rank for hedges to be timed by its percentiles.
func (h *harness) warmUp(rank daisyrank.Index, responseTime time.Duration) {
	for range 200 {
		s := h.send(h.request(rank))
		h.now = h.now.Add(responseTime)
		h.answer(s.Attempt, 200, responseTime)
	}
}

// ofType returns the decisions of one type.
func ofType[D daisyroute.Decision](decisions []daisyroute.Decision) []D {
	var some []D
	for _, d := range decisions {
		if x, ok := d.(D); ok {
			some = append(some, x)
		}
	}
	return some
}

// single returns the only decision of a type, and fails the test if there is not
// exactly one.
func single[D daisyroute.Decision](t *testing.T, decisions []daisyroute.Decision) D {
	t.Helper()
	some := ofType[D](decisions)
	assert.Equal(t, len(some), 1, "%#v", decisions)
	return some[0]
}
