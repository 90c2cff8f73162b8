package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

const usual = 20 * time.Millisecond

func answered(status int) daisyrequest.Outcome { return daisyrequest.Answered{Status: status} }

// hedged gives a holder with one request that was sent twice.
func hedged(t *testing.T) (h *holder, first, hedge daisyroute.Send) {
	t.Helper()
	h = newHolder(t, newService(5, 2), nil)
	h.teach(0, usual)
	r := h.request(0)
	r.Idempotent, r.Hedgeable = true, true
	first = h.send(r)
	hedge = one[daisyroute.Send](t, h.pass(2*usual))
	assert.Equal(t, hedge.Reason, daisyroute.Hedge)
	assert.Equal(t, hedge.Request, first.Request)
	assert.Assert(t, hedge.Endpoint != first.Endpoint)
	return h, first, hedge
}

func TestFirstGoodAnswerOfAHedgedRequestWins(t *testing.T) {
	broke := daisyrequest.BrokenOff{}
	cases := []struct {
		name          string
		first, second daisyrequest.Outcome
		// byHedge says that the outcomes come from the hedge and then from the first attempt.
		byHedge bool
		// winner is the place of the delivered outcome, or -1 for a failure.
		winner int
		// canceled says that the other attempt is canceled after the first outcome.
		canceled bool
	}{
		{name: "first answers", first: answered(200), winner: 0, canceled: true},
		{name: "hedge answers", first: answered(200), byHedge: true, winner: 0, canceled: true},
		{name: "client error wins", first: answered(404), byHedge: true, winner: 0, canceled: true},
		{name: "server error waits for an answer", first: answered(500), second: answered(200), byHedge: true, winner: 1},
		{name: "server error stands when the other fails", first: answered(500), second: broke, byHedge: true, winner: 0},
		{name: "two server errors", first: answered(500), second: answered(503), winner: 0},
		{name: "hedge shed", first: daisyrequest.Shed{}, second: answered(200), byHedge: true, winner: 1},
		{name: "first breaks off", first: broke, second: answered(200), winner: 1},
		{name: "both break off", first: broke, second: broke, winner: -1},
		{name: "first times out", first: daisyrequest.TimedOut{}, winner: -1, canceled: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, first, hedge := hedged(t)
			order := []daisyroute.Send{first, hedge}
			if c.byHedge {
				order[0], order[1] = hedge, first
			}
			all := h.handle(daisyroute.AttemptResolved{Attempt: order[0].Attempt, Outcome: c.first})
			if c.canceled {
				assert.Equal(t, one[daisyroute.Cancel](t, all).Attempt, order[1].Attempt)
			} else {
				assert.Equal(t, len(all), 0)
				all = h.handle(daisyroute.AttemptResolved{Attempt: order[1].Attempt, Outcome: c.second})
			}
			if c.winner < 0 {
				one[daisyroute.Fail](t, all)
				return
			}
			assert.Equal(t, one[daisyroute.Deliver](t, all).Attempt, order[c.winner].Attempt)
		})
	}
}

func TestHedgesKeepToTheRules(t *testing.T) {
	cases := []struct {
		name      string
		hedgeable bool
		learned   bool
		// waiting is the rank of a request that waits, or -1.
		waiting daisyrank.Index
		want    int
	}{
		{name: "hedgeable", hedgeable: true, learned: true, waiting: -1, want: 1},
		{name: "not hedgeable", learned: true, waiting: -1},
		{name: "times unknown", hedgeable: true, waiting: -1},
		{name: "urgent waits", hedgeable: true, learned: true, waiting: 0},
		{name: "bulk below its floor waits", hedgeable: true, learned: true, waiting: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHolder(t, newService(2, 1), nil)
			if c.learned {
				h.teach(0, usual)
			}
			r := h.request(0)
			r.Idempotent, r.Hedgeable = true, c.hedgeable
			h.send(r)
			if c.waiting >= 0 {
				other := h.send(h.request(1))
				h.arrive(h.request(c.waiting))
				h.pass(2 * usual)
				all := h.serve(other.Attempt, 200, usual)
				assert.Equal(t, one[daisyroute.Send](t, all).Reason, daisyroute.First)
				return
			}
			assert.Equal(t, len(of[daisyroute.Send](h.pass(100*time.Millisecond))), c.want)
		})
	}
}

func TestHedgesStopAtTheirBudget(t *testing.T) {
	h := newHolder(t, newService(20, 5), nil)
	h.teach(0, usual)
	hedges, firsts := 0, 0
	for range 300 {
		r := h.request(0)
		r.Idempotent, r.Hedgeable = true, true
		s := h.send(r)
		firsts++
		sends := append(of[daisyroute.Send](h.pass(40*time.Millisecond)), s)
		hedges += len(sends) - 1
		h.serve(sends[0].Attempt, 200, usual)
		for _, x := range sends[1:] {
			h.handle(daisyroute.AttemptResolved{Attempt: x.Attempt, Outcome: daisyrequest.Canceled{}})
		}
	}
	assert.Assert(t, hedges > 10 && hedges*10 <= firsts+200, "%d hedges to %d", hedges, firsts)
}
