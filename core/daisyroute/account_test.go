package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

// Guards against the surge of an account that delays a request of another one, because the
// account of a request does not reach the queue or the turn of an account never ends.
func TestAccountsTakeTurns(t *testing.T) {
	h := newHarness(t, newService(1, 1), daisyroute.LeastOfTwo{})
	arrive := func(account daisyaccount.Name) daisyrequest.ID {
		h.now = h.now.Add(time.Millisecond)
		r := h.request(2)
		r.Account = account
		h.arrive(r)
		return r.ID
	}
	sent := h.send(h.request(2))
	a1, a2, b1, a3, b2 := arrive("a"), arrive("a"), arrive("b"), arrive("a"), arrive("b")
	var order []daisyrequest.ID
	for range 5 {
		h.now = h.now.Add(10 * time.Millisecond)
		sent = single[daisyroute.Send](t, h.answer(sent.Attempt, 200, 10*time.Millisecond))
		order = append(order, sent.Request)
	}
	assert.DeepEqual(t, order, []daisyrequest.ID{a1, b1, a2, b2, a3})
}
