package daisycontroller_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyplatform"
)

type idleProber struct{}

func (idleProber) Probe(context.Context, daisyservice.Service, netip.AddrPort) (daisyendpoint.Report, daisyendpoint.Notice, error) {
	return daisyendpoint.Report{At: time.Now(), Slots: 3}, nil, nil
}

// serveOne routes one request whose endpoint answers immediately. It reports whether
// the request was served.
func serveOne(t *testing.T, routes *daisycontroller.Route) bool {
	t.Helper()
	ticket, err := routes.Begin(daisyrequest.Request{Service: lookups, Arrived: time.Now(), Deadline: time.Now().Add(time.Second)})
	assert.NilError(t, err)
	defer ticket.Close()
	for d := range ticket.Decisions() {
		switch d := d.(type) {
		case daisyroute.Send:
			ticket.Resolve(daisycontroller.Resolution{Attempt: d.Attempt, Outcome: daisyrequest.Answered{Status: 200}})
		case daisyroute.Deliver:
			ticket.Finish(d.Attempt, daisyrequest.BodyComplete)
			return true
		case daisyroute.Fail:
			return false
		}
	}
	return false
}

func TestRequestsAreServedWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := daisyvm.VM{Name: "vm-1"}
		faulty := daisyplatform.NewFaulty(daisyplatform.NewEmbedded(), 1)
		routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: self, Sender: noopSender{}, Prober: idleProber{}})
		defer routes.Close()
		config := daisycontroller.NewConfig(daisycontroller.ConfigOptions{
			Self: self, Platform: faulty, Sender: noopSender{}, Appliers: []daisycontroller.Applier{routes},
		})
		defer config.Close()
		plans := daisycontroller.NewPlan(daisycontroller.PlanOptions{Self: self, Platform: faulty, Config: config})
		defer plans.Close()
		assert.NilError(t, plans.ConfirmFirst(t.Context(), testIntent(3), "ana"))
		time.Sleep(time.Minute)
		faulty.SetFaults(daisyplatform.Down{})
		served := 0
		for range 3600 {
			if serveOne(t, routes) {
				served++
			}
			time.Sleep(time.Second)
		}
		assert.Equal(t, served, 3600)
	})
}
