package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

const usualTime = 20 * time.Millisecond

func answered(status int) daisyrequest.Outcome { return daisyrequest.Answered{Status: status} }

// newHedged returns a harness with one hedged request, and its two attempts.
func newHedged(t *testing.T) (h *harness, first, hedge daisyroute.Send) {
	t.Helper()
	h = newHarness(t, newService(5, 2), nil)
	h.warmUp(0, usualTime)
	r := h.request(0)
	r.Idempotent, r.Hedgeable = true, true
	first = h.send(r)
	hedge = single[daisyroute.Send](t, h.advance(2*usualTime))
	assert.Equal(t, hedge.Reason, daisyroute.Hedge)
	assert.Equal(t, hedge.Request, first.Request)
	assert.Assert(t, hedge.Endpoint != first.Endpoint)
	return h, first, hedge
}

func TestFirstGoodAnswerOfAHedgedRequestIsDelivered(t *testing.T) {
	brokenOff := daisyrequest.BrokenOff{}
	cases := []struct {
		name          string
		first, second daisyrequest.Outcome
		// hedgeFirst is set if the first outcome is that of the hedge, the second that of
		// the first attempt.
		hedgeFirst bool
		// delivered is the index of the delivered outcome, or -1 if the request fails.
		delivered int
		// canceled is set if the other attempt is canceled after the first outcome.
		canceled bool
	}{
		{name: "first answers", first: answered(200), delivered: 0, canceled: true},
		{name: "hedge answers", first: answered(200), hedgeFirst: true, delivered: 0, canceled: true},
		{name: "client error is delivered", first: answered(404), hedgeFirst: true, delivered: 0, canceled: true},
		{name: "server error is held back for another answer", first: answered(500), second: answered(200), hedgeFirst: true, delivered: 1},
		{name: "server error is delivered when the other attempt fails", first: answered(500), second: brokenOff, hedgeFirst: true, delivered: 0},
		{name: "two server errors", first: answered(500), second: answered(503), delivered: 0},
		{name: "hedge is shed", first: daisyrequest.Shed{}, second: answered(200), hedgeFirst: true, delivered: 1},
		{name: "first breaks off", first: brokenOff, second: answered(200), delivered: 1},
		{name: "both break off", first: brokenOff, second: brokenOff, delivered: -1},
		{name: "first times out", first: daisyrequest.TimedOut{}, delivered: -1, canceled: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, first, hedge := newHedged(t)
			order := []daisyroute.Send{first, hedge}
			if c.hedgeFirst {
				order[0], order[1] = hedge, first
			}
			all := h.handle(daisyroute.AttemptResolved{Attempt: order[0].Attempt, Outcome: c.first})
			if c.canceled {
				assert.Equal(t, single[daisyroute.Cancel](t, all).Attempt, order[1].Attempt)
			} else {
				assert.Equal(t, len(all), 0)
				all = h.handle(daisyroute.AttemptResolved{Attempt: order[1].Attempt, Outcome: c.second})
			}
			if c.delivered < 0 {
				single[daisyroute.Fail](t, all)
				return
			}
			assert.Equal(t, single[daisyroute.Deliver](t, all).Attempt, order[c.delivered].Attempt)
		})
	}
}

func TestConditionsForHedging(t *testing.T) {
	cases := []struct {
		name      string
		hedgeable bool
		warm      bool
		// waiting is the rank of a waiting request, or -1 if there is none.
		waiting daisyrank.Index
		want    int
	}{
		{name: "hedgeable", hedgeable: true, warm: true, waiting: -1, want: 1},
		{name: "not hedgeable", warm: true, waiting: -1},
		{name: "response times unknown", hedgeable: true, waiting: -1},
		{name: "urgent request waits", hedgeable: true, warm: true, waiting: 0},
		{name: "bulk request below its floor waits", hedgeable: true, warm: true, waiting: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newService(2, 1), nil)
			if c.warm {
				h.warmUp(0, usualTime)
			}
			r := h.request(0)
			r.Idempotent, r.Hedgeable = true, c.hedgeable
			h.send(r)
			if c.waiting >= 0 {
				other := h.send(h.request(1))
				h.arrive(h.request(c.waiting))
				h.advance(2 * usualTime)
				all := h.answer(other.Attempt, 200, usualTime)
				assert.Equal(t, single[daisyroute.Send](t, all).Reason, daisyroute.First)
				return
			}
			assert.Equal(t, len(ofType[daisyroute.Send](h.advance(100*time.Millisecond))), c.want)
		})
	}
}

func TestHedgesAreLimitedByTheBudget(t *testing.T) {
	h := newHarness(t, newService(20, 5), nil)
	h.warmUp(0, usualTime)
	hedges, firsts := 0, 0
	for range 300 {
		r := h.request(0)
		r.Idempotent, r.Hedgeable = true, true
		s := h.send(r)
		firsts++
		sends := append(ofType[daisyroute.Send](h.advance(40*time.Millisecond)), s)
		hedges += len(sends) - 1
		h.answer(sends[0].Attempt, 200, usualTime)
		for _, x := range sends[1:] {
			h.handle(daisyroute.AttemptResolved{Attempt: x.Attempt, Outcome: daisyrequest.Canceled{}})
		}
	}
	assert.Assert(t, hedges > 10 && hedges*10 <= firsts+200, "%d hedges for %d first attempts", hedges, firsts)
}
