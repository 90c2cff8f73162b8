package daisyroute_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

// Guards against a process that ends because a request that was matched with the previous
// configuration arrives at a service that has lost its ranks.
func TestRequestOfRemovedRankIsRouted(t *testing.T) {
	service := newService(2, 1)
	h := newHarness(t, service, nil)
	service.Ranks = nil
	h.handle(daisyroute.ServiceChanged{Service: service})
	send := h.send(h.request(0))
	delivered := h.handle(daisyroute.AttemptResolved{Attempt: send.Attempt, Outcome: daisyrequest.Answered{Status: 200}})
	assert.Equal(t, len(ofType[daisyroute.Deliver](delivered)), 1)
}
