package daisycontroller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
)

func beginRequest(t *testing.T, routes *daisycontroller.Route) *daisycontroller.Ticket {
	t.Helper()
	ticket, err := routes.Begin(daisyrequest.Request{
		Service:  daisyservice.ID{Fleet: "vigia-lar", Name: "a"},
		Arrived:  time.Now(),
		Deadline: time.Now().Add(time.Minute),
	})
	assert.NilError(t, err)
	return ticket
}

// answer takes a request to its delivered answer.
func answer(t *testing.T, routes *daisycontroller.Route) {
	t.Helper()
	ticket := beginRequest(t, routes)
	send, ok := (<-ticket.Decisions()).(daisyroute.Send)
	assert.Assert(t, ok)
	time.Sleep(10 * time.Millisecond)
	ticket.Resolve(daisycontroller.Resolution{Attempt: send.Attempt, Outcome: daisyrequest.Answered{Status: 200, ResponseTime: 10 * time.Millisecond}})
	_, ok = (<-ticket.Decisions()).(daisyroute.Deliver)
	assert.Assert(t, ok)
	ticket.Finish(send.Attempt, daisyrequest.BodyComplete)
}

// Guards against answered requests that go on counting towards the limit of the VM: after as
// many answers as the limit, only one request of a service could wait.
func TestAnsweredRequestsDoNotCountTowardsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, slots = 20, 3
		routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{
			Self:        daisyvm.VM{Name: "vm-1"},
			Sender:      &countingSender{sent: make(map[daisyvm.Name]int)},
			MaxRequests: limit,
			Policy:      daisyroute.LeastOfTwo{},
		})
		defer routes.Close()
		routes.Apply(snapshotOf("a"))
		for range 2 * limit {
			answer(t, routes)
		}
		sent, failed := 0, 0
		var tickets []*daisycontroller.Ticket
		for range limit / 2 {
			ticket := beginRequest(t, routes)
			defer ticket.Close()
			tickets = append(tickets, ticket)
		}
		synctest.Wait()
		for _, ticket := range tickets {
			select {
			case d := <-ticket.Decisions():
				switch d.(type) {
				case daisyroute.Send:
					sent++
				case daisyroute.Fail:
					failed++
				}
			default:
			}
		}
		assert.Equal(t, sent, slots)
		assert.Equal(t, failed, 0, "requests beyond the slots wait")
	})
}
