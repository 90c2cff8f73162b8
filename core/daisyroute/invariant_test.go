package daisyroute_test

import (
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyqueue"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// model drives a dispatcher and checks each of its decisions.
type model struct {
	t          *rapid.T
	dispatcher *daisyroute.Dispatcher
	service    daisyservice.Service
	now        time.Time
	requests   map[daisyrequest.ID]*modelRequest
	unended    []daisyrequest.ID
	attempts   map[daisyrequest.AttemptID]*modelAttempt
	open       []daisyrequest.AttemptID
	inFlight   map[netip.AddrPort]int
	draining   map[netip.AddrPort]time.Time
	// firstSends and retriesAndHedges are the times of the sends. A retry that replaces
	// a first attempt that was never sent is in neither.
	firstSends       []time.Time
	retriesAndHedges []time.Time
	decisions        []daisyroute.Decision
	// lightLoad is set if few attempts are open at a time, so that there are free slots
	// for hedges.
	lightLoad bool
}

type modelRequest struct {
	daisyrequest.Request
	ended    bool
	attempts []*modelAttempt
}

type modelAttempt struct {
	request        *modelRequest
	id             daisyrequest.AttemptID
	endpoint       netip.AddrPort
	outcome        daisyrequest.Outcome
	canceled       bool
	countedAsFirst bool
	// unsentToOnly is set if the outcome was NotSent while only one endpoint was usable.
	unsentToOnly bool
}

var limits = daisyqueue.Limits{Rank: 30, Service: 50}

// maxAboveLimits is the maximum number of requests that wait in excess of the limits,
// because they are retried: one for each slot.
const maxAboveLimits = 12

func newModel(t *rapid.T, policy daisyroute.Policy, endpoints int, seed uint64) *model {
	m := &model{
		t:        t,
		service:  newService(endpoints, 2),
		now:      start,
		requests: make(map[daisyrequest.ID]*modelRequest),
		attempts: make(map[daisyrequest.AttemptID]*modelAttempt),
		inFlight: make(map[netip.AddrPort]int),
		draining: make(map[netip.AddrPort]time.Time),
	}
	m.dispatcher = daisyroute.NewDispatcher(daisyroute.Options{
		Self:    self,
		Service: m.service,
		Random:  rand.New(rand.NewPCG(seed, 0)),
		Policy:  policy,
		Limits:  limits,
	})
	return m
}

func (m *model) handle(event daisyroute.Event) {
	for _, decision := range m.dispatcher.Handle(m.now, event) {
		m.decisions = append(m.decisions, decision)
		switch d := decision.(type) {
		case daisyroute.Send:
			m.checkSend(d)
		case daisyroute.Deliver:
			a := m.attempts[d.Attempt]
			_, ok := a.outcome.(daisyrequest.Answered)
			assert.Assert(m.t, ok && !a.canceled && a.request.ID == d.Request, "delivered %#v", a)
			m.end(d.Request)
		case daisyroute.Fail:
			m.checkFail(d)
			m.end(d.Request)
		case daisyroute.Cancel:
			a := m.attempts[d.Attempt]
			assert.Assert(m.t, a != nil && !a.canceled && slices.Contains(m.open, d.Attempt))
			a.canceled = true
		}
	}
	waiting := 0
	for _, i := range m.dispatcher.Ranks() {
		n := int(m.dispatcher.Demand(i).Waiting)
		assert.Assert(m.t, n <= limits.Rank+maxAboveLimits)
		waiting += n
	}
	assert.Assert(m.t, waiting <= limits.Service+maxAboveLimits)
	assert.Assert(m.t, m.dispatcher.Spare() >= 0)
}

func (m *model) end(id daisyrequest.ID) {
	r := m.requests[id]
	assert.Assert(m.t, r != nil && !r.ended, "request %d ended twice or is unknown", id)
	r.ended = true
	m.unended = slices.DeleteFunc(m.unended, func(x daisyrequest.ID) bool { return x == id })
}

func (m *model) checkSend(d daisyroute.Send) {
	r := m.requests[d.Request]
	assert.Assert(m.t, r != nil && !r.ended, "sent a request that has ended or is unknown")
	assert.Assert(m.t, m.now.Before(r.Deadline))
	assert.Assert(m.t, d.Deadline.Equal(r.Deadline))
	assert.Assert(m.t, len(r.attempts) < 3)
	i := slices.IndexFunc(m.service.Endpoints, func(e daisyendpoint.Endpoint) bool { return e.Address == d.Endpoint })
	assert.Assert(m.t, i >= 0, "sent to an undeclared endpoint")
	e := m.service.Endpoints[i]
	assert.Assert(m.t, !e.Draining && !m.now.Before(m.draining[e.Address]), "sent to a draining endpoint")
	assert.Assert(m.t, !e.Evacuated, "sent to an evacuated endpoint")
	m.inFlight[e.Address]++
	assert.Assert(m.t, m.inFlight[e.Address] <= e.Slots, "%d attempts at %d slots", m.inFlight[e.Address], e.Slots)
	a := &modelAttempt{request: r, id: d.Attempt, endpoint: d.Endpoint}
	m.checkRetry(r, a, d)
	r.attempts = append(r.attempts, a)
	m.attempts[d.Attempt] = a
	m.open = append(m.open, d.Attempt)
}

// checkRetry checks that a retry or hedge is safe, goes to a different endpoint and
// is within the budget.
func (m *model) checkRetry(r *modelRequest, a *modelAttempt, d daisyroute.Send) {
	countedAsFirst := len(r.attempts) == 0
	for i, b := range r.attempts {
		if !r.Idempotent {
			assert.Assert(m.t, b.outcome != nil && daisyrequest.RunOf(b.outcome) == daisyrequest.NotRun, "sent again after %#v", b.outcome)
		}
		if b.outcome == nil {
			assert.Assert(m.t, d.Reason == daisyroute.Hedge && r.Hedgeable)
		}
		if i == len(r.attempts)-1 {
			assert.Assert(m.t, b.endpoint != a.endpoint || len(r.attempts) > 1 && r.Hedgeable || b.unsentToOnly)
			_, notSent := b.outcome.(daisyrequest.NotSent)
			countedAsFirst = notSent && b.countedAsFirst
		}
	}
	a.countedAsFirst = countedAsFirst
	if len(r.attempts) == 0 {
		m.firstSends = append(m.firstSends, m.now)
		return
	}
	if countedAsFirst {
		return
	}
	m.retriesAndHedges = append(m.retriesAndHedges, m.now)
	first, extra := countAfter(m.firstSends, m.now.Add(-10*time.Second)), countAfter(m.retriesAndHedges, m.now.Add(-10*time.Second))
	assert.Assert(m.t, 10*extra <= first || extra <= 3, "%d retries and hedges for %d first attempts", extra, first)
}

func countAfter(times []time.Time, from time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && times[i].After(from); i-- {
		n++
	}
	return n
}

func (m *model) checkFail(d daisyroute.Fail) {
	notRun := true
	switch f := d.Failure.(type) {
	case daisyrequest.EndpointFailed:
		notRun = false
	case daisyrequest.DeadlinePassed:
		notRun = f.Run == daisyrequest.NotRun
	case daisyrequest.Overloaded, daisyrequest.NoEndpoint:
	}
	for _, a := range m.requests[d.Request].attempts {
		ran := a.outcome == nil || daisyrequest.RunOf(a.outcome) == daisyrequest.MayHaveRun
		assert.Assert(m.t, !notRun || !ran, "failure claims not-run after %#v", a.outcome)
	}
}

func (m *model) arrive() {
	id := daisyrequest.ID(len(m.requests) + 1)
	idempotent := rapid.Bool().Draw(m.t, "idempotent")
	r := daisyrequest.Request{
		ID:         id,
		Rank:       rapid.SampledFrom(ranks).Draw(m.t, "rank").Name,
		Arrived:    m.now,
		Deadline:   m.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(m.t, "timeout")) * time.Millisecond),
		Idempotent: idempotent,
		Hedgeable:  idempotent && rapid.Bool().Draw(m.t, "hedgeable"),
	}
	m.requests[id] = &modelRequest{Request: r}
	m.unended = append(m.unended, id)
	m.handle(daisyroute.RequestArrived{Request: r})
}

// resolve resolves an open attempt with an outcome, or releases it if it has one.
func (m *model) resolve(pick int, outcome daisyrequest.Outcome) {
	if len(m.open) == 0 {
		return
	}
	i := pick % len(m.open)
	a := m.attempts[m.open[i]]
	if a.outcome != nil {
		m.inFlight[a.endpoint]--
		m.open = slices.Delete(m.open, i, i+1)
		m.handle(daisyroute.AttemptReleased{Attempt: a.id})
		return
	}
	a.outcome = outcome
	if _, ok := outcome.(daisyrequest.NotSent); ok {
		a.unsentToOnly = m.usable() == 1
	}
	if _, ok := outcome.(daisyrequest.Answered); !ok {
		m.inFlight[a.endpoint]--
		m.open = slices.Delete(m.open, i, i+1)
	}
	m.handle(daisyroute.AttemptResolved{Attempt: a.id, Outcome: outcome, Resendable: rapid.Bool().Draw(m.t, "resendable")})
}

// usable returns the number of endpoints that are neither draining, evacuated nor removed,
// including ejected ones.
func (m *model) usable() int {
	n := 0
	for _, e := range m.dispatcher.Endpoints(m.now) {
		if e.Condition != daisyroute.Draining && e.Condition != daisyroute.Evacuated && e.Condition != daisyroute.Removed {
			n++
		}
	}
	return n
}

func (m *model) report(endpoint netip.AddrPort, draining, byPeer bool) {
	r := daisyendpoint.Report{At: m.now, InFlight: rapid.IntRange(0, 9).Draw(m.t, "load"), Slots: 2, Draining: draining}
	m.draining[endpoint] = time.Time{}
	if draining && m.declares(endpoint) {
		m.draining[endpoint] = m.now.Add(5 * time.Second)
	}
	if byPeer {
		m.handle(daisyroute.PeerMessage{From: "vm-1", Message: daisymessage.EndpointNews{Service: m.service.ID, Address: endpoint, Report: r}})
		return
	}
	m.handle(daisyroute.ReportReceived{Endpoint: endpoint, Report: r})
}

// changeService changes the declaration of the service: other endpoints, some of them
// draining or evacuated, and some of the ranks in any order. Reports of an endpoint that is not declared are discarded.
func (m *model) changeService() {
	n := rapid.IntRange(1, 6).Draw(m.t, "endpoints")
	s := newService(n, 2)
	s.Ranks = rapid.Permutation(ranks).Draw(m.t, "ranks")[:rapid.IntRange(0, len(ranks)).Draw(m.t, "rank count")]
	for i := range s.Endpoints {
		s.Endpoints[i].Draining = rapid.IntRange(0, 4).Draw(m.t, "draining") == 0
		s.Endpoints[i].Evacuated = rapid.IntRange(0, 4).Draw(m.t, "evacuated") == 0
	}
	m.service = s
	for a := range m.draining {
		if !m.declares(a) {
			delete(m.draining, a)
		}
	}
	m.handle(daisyroute.ServiceChanged{Service: s})
}

// warmUp answers requests of the urgent rank until its response times are known.
func (m *model) warmUp() {
	for range 30 {
		id := daisyrequest.ID(len(m.requests) + 1)
		r := daisyrequest.Request{ID: id, Arrived: m.now, Deadline: m.now.Add(time.Second)}
		m.requests[id] = &modelRequest{Request: r}
		m.unended = append(m.unended, id)
		m.handle(daisyroute.RequestArrived{Request: r})
		m.now = m.now.Add(5 * time.Millisecond)
		m.resolve(0, daisyrequest.Answered{Status: 200})
		m.resolve(0, nil)
	}
}

func (m *model) declares(endpoint netip.AddrPort) bool {
	return slices.ContainsFunc(m.service.Endpoints, func(e daisyendpoint.Endpoint) bool { return e.Address == endpoint })
}

// wake advances the time to NextWake, and checks that the following NextWake is later.
func (m *model) wake() {
	wake := m.dispatcher.NextWake()
	if wake.IsZero() {
		return
	}
	if wake.After(m.now) {
		m.now = wake
	}
	m.handle(daisyroute.TimePassed{})
	next := m.dispatcher.NextWake()
	assert.Assert(m.t, next.IsZero() || next.After(m.now), "next wake-up is not after %v", m.now)
}

var outcomes = []daisyrequest.Outcome{
	daisyrequest.Answered{Status: 200},
	daisyrequest.Answered{Status: 200},
	daisyrequest.Answered{Status: 200},
	daisyrequest.Answered{Status: 200},
	daisyrequest.Answered{Status: 404},
	daisyrequest.Answered{Status: 500},
	daisyrequest.Shed{},
	daisyrequest.NotSent{},
	daisyrequest.BrokenOff{},
	daisyrequest.TimedOut{},
	daisyrequest.Canceled{},
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(m.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 20).Draw(m.t, "event") {
	case 0, 1, 2, 3, 4, 5, 6:
		if m.lightLoad && len(m.open) > 1 {
			m.wake()
			return
		}
		m.arrive()
	case 7, 8, 9, 10, 11, 12, 13:
		m.resolve(rapid.IntRange(0, 50).Draw(m.t, "which"), rapid.SampledFrom(outcomes).Draw(m.t, "outcome"))
	case 14:
		if len(m.unended) > 0 {
			id := m.unended[rapid.IntRange(0, len(m.unended)-1).Draw(m.t, "who")]
			m.end(id)
			m.handle(daisyroute.RequestAbandoned{Request: id})
		}
	case 15:
		m.report(address(rapid.IntRange(0, 6).Draw(m.t, "where")), rapid.IntRange(0, 3).Draw(m.t, "draining") == 0, rapid.Bool().Draw(m.t, "peer"))
	case 16:
		m.handle(daisyroute.PeersChanged{VMs: []daisyvm.VM{self, {Name: "vm-1", Incarnation: 1}}[:rapid.IntRange(0, 2).Draw(m.t, "vms")]})
	case 18:
		m.handle(daisyroute.ProbeFailed{Endpoint: address(rapid.IntRange(0, 6).Draw(m.t, "where"))})
	case 17:
		if rapid.IntRange(0, 9).Draw(m.t, "change") == 0 {
			m.changeService()
		}
	default:
		m.wake()
	}
}

// finish ends all attempts and lets all deadlines pass.
func (m *model) finish() {
	for len(m.open) > 0 {
		m.resolve(0, daisyrequest.Answered{Status: 200})
	}
	for range 1000 {
		if len(m.unended) == 0 {
			break
		}
		m.wake()
		for len(m.open) > 0 {
			m.resolve(0, daisyrequest.Answered{Status: 200})
		}
	}
	assert.Equal(m.t, len(m.unended), 0, "requests did not end")
	assert.Equal(m.t, len(m.open), 0)
}

var policies = []daisyroute.Policy{
	daisyroute.Random{}, daisyroute.RoundRobin{}, daisyroute.LeastOfTwo{Reports: true}, daisyroute.Credits{},
}

func TestDispatcherInvariants(t *testing.T) {
	for _, p := range policies {
		rapid.Check(t, func(t *rapid.T) {
			m := newModel(t, p, rapid.IntRange(1, 6).Draw(t, "endpoints"), 1)
			m.lightLoad = rapid.Bool().Draw(t, "calm")
			m.warmUp()
			for range rapid.IntRange(1, 300).Draw(t, "steps") {
				m.step()
			}
			m.finish()
		})
	}
}

func TestSameSeedGivesSameDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newModel(t, nil, 5, 7)
		b := newModel(t, nil, 5, 7)
		for i := range 200 {
			r := daisyrequest.Request{ID: daisyrequest.ID(i + 1), Rank: ranks[i%3].Name, Arrived: a.now, Deadline: a.now.Add(time.Second)}
			outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			for _, m := range []*model{a, b} {
				m.requests[r.ID] = &modelRequest{Request: r}
				m.unended = append(m.unended, r.ID)
				m.handle(daisyroute.RequestArrived{Request: r})
			}
			if len(a.open) > 3 {
				pick := rapid.IntRange(0, 50).Draw(t, "which")
				for _, m := range []*model{a, b} {
					x := m.attempts[m.open[pick%len(m.open)]]
					event := daisyroute.Event(daisyroute.AttemptReleased{Attempt: x.id})
					if x.outcome == nil {
						x.outcome = outcome
						event = daisyroute.AttemptResolved{Attempt: x.id, Outcome: outcome, Resendable: true}
					}
					_, held := x.outcome.(daisyrequest.Answered)
					if _, released := event.(daisyroute.AttemptReleased); released || !held {
						m.inFlight[x.endpoint]--
						m.open = slices.DeleteFunc(m.open, func(id daisyrequest.AttemptID) bool { return id == x.id })
					}
					m.handle(event)
				}
			}
			a.now = a.now.Add(3 * time.Millisecond)
			b.now = a.now
		}
		assert.Assert(t, reflect.DeepEqual(a.decisions, b.decisions))
	})
}
