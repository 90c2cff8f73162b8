package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

// An event has to be handled with the state of the endpoints at the same moment. A
// retry missed an endpoint whose draining ended just then, because the dispatcher had
// not run the endpoint's timer yet. TestDispatcherInvariants found the fault.
func TestRetryUsesAnEndpointWhoseDrainingEndsAtThatMoment(t *testing.T) {
	h := newHarness(t, newService(2, 1), nil)
	h.handle(daisyroute.ReportReceived{Endpoint: address(1), Report: daisyendpoint.Report{Slots: 1, Draining: true}})
	drained := h.now.Add(5 * time.Second)
	h.advance(4900 * time.Millisecond)
	r := h.request(0)
	s := h.send(r)
	assert.Equal(t, s.Endpoint, address(0))
	h.now = drained
	again := single[daisyroute.Send](t, h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.NotSent{}, Resendable: true}))
	assert.Equal(t, again.Endpoint, address(1))
}
