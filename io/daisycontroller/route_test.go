package daisycontroller_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisylog"
)

// countingSender counts the messages sent to each VM.
type countingSender struct {
	mu   sync.Mutex
	sent map[daisyvm.Name]int
}

func (o *countingSender) Send(to daisyvm.Name, _ daisymessage.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[to]++
}

func snapshotOf(names ...string) *daisyconfig.Snapshot {
	fleet := daisyconfig.Fleet{Name: "vigia-lar"}
	for _, n := range names {
		fleet.Services = append(fleet.Services, daisyservice.Service{
			ID:        daisyservice.ID{Fleet: fleet.Name, Name: n},
			Ranks:     []daisyrank.Rank{{Name: "urgent", Target: time.Minute, Worth: 1, Floor: 1}},
			Endpoints: []daisyendpoint.Endpoint{{Slots: 3}},
		})
	}
	return &daisyconfig.Snapshot{Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{fleet}}}
}

func TestServiceDeclaredAfterSetPeersReportsToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &countingSender{sent: make(map[daisyvm.Name]int)}
		self := daisyvm.VM{Name: "vm-1"}
		routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: self, Sender: o})
		defer routes.Close()
		routes.SetPeers([]daisyvm.VM{self, {Name: "vm-2"}}, nil)
		routes.Apply(snapshotOf("a", "b", "c", "d"))
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Assert(t, o.sent["vm-2"] > 0, "%v", o.sent)
	})
}

// reportSender counts the reports of borrowers.
type reportSender struct{ reports atomic.Int64 }

func (o *reportSender) Send(_ daisyvm.Name, m daisymessage.Message) {
	if _, ok := m.(daisymessage.CreditReport); ok {
		o.reports.Add(1)
	}
}

// Guards against a VM that owns both of two services while another one with the same
// capacity owns none, and against a deal that misses services declared later.
func TestServicesAreDealtOverVMsWithCapacity(t *testing.T) {
	vms := []daisyvm.VM{{Name: "vm-1"}, {Name: "vm-2"}}
	for i := range vms {
		vms[i].Capacity = daisyvm.NewCapacity(0.8, 0)
	}
	for i := range 8 {
		synctest.Test(t, func(t *testing.T) {
			owned := 0
			for _, self := range vms {
				o := &reportSender{}
				routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: self, Sender: o, Policy: daisyroute.Credits{Lending: daisycredit.OnDemand{}}})
				defer routes.Close()
				routes.SetPeers(vms, nil)
				routes.Apply(snapshotOf(fmt.Sprint("a-", i)))
				routes.Apply(snapshotOf(fmt.Sprint("a-", i), fmt.Sprint("b-", i)))
				time.Sleep(50 * time.Millisecond)
				synctest.Wait()
				// A VM asks the other one for a term of the service that it does not own.
				if o.reports.Load() > 0 {
					owned++
				}
			}
			assert.Equal(t, owned, 2, "a VM owns both services")
		})
	}
}

// abandon ends a request and its attempts.
func abandon(ticket *daisycontroller.Ticket) {
	ticket.Abandon()
	ticket.Close()
	for {
		select {
		case d := <-ticket.Decisions():
			if s, ok := d.(daisyroute.Send); ok {
				ticket.Resolve(daisycontroller.Resolution{Attempt: s.Attempt, Outcome: daisyrequest.Canceled{}})
			}
		default:
			return
		}
	}
}

// Guards against requests that are refused because their service was removed after they
// were matched, and against shards that stay for good.
func TestRemovedServiceTakesRequestsForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Sender: &countingSender{sent: make(map[daisyvm.Name]int)}})
		defer routes.Close()
		routes.Apply(snapshotOf("a"))
		id := daisyservice.ID{Fleet: "vigia-lar", Name: "a"}
		ticket, err := routes.Begin(daisyrequest.Request{Service: id, Deadline: time.Now().Add(time.Second)})
		assert.NilError(t, err)
		routes.Apply(snapshotOf("b"))
		declared := routes.Services()
		assert.Assert(t, len(declared) == 1 && declared[0].ID.Name == "b")
		matched, err := routes.Begin(daisyrequest.Request{Service: id, Deadline: time.Now().Add(time.Second)})
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		routes.Apply(snapshotOf("b"))
		late, err := routes.Begin(daisyrequest.Request{Service: id, Deadline: time.Now().Add(time.Second)})
		assert.NilError(t, err, "a shard with requests is kept")
		for _, ticket := range []*daisycontroller.Ticket{ticket, matched, late} {
			abandon(ticket)
		}
		routes.Apply(snapshotOf("b"))
		_, err = routes.Begin(daisyrequest.Request{Service: id, Deadline: time.Now().Add(time.Second)})
		assert.ErrorContains(t, err, "no service vigia-lar/a")
	})
}

func TestEndpointChangeIsLogged(t *testing.T) {
	var output bytes.Buffer
	log, err := daisylog.New(daisylog.Options{Output: &output, Level: "info"})
	assert.NilError(t, err)
	routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Sender: &countingSender{sent: make(map[daisyvm.Name]int)}, Log: log})
	routes.Apply(snapshotOf("a"))
	drained := snapshotOf("a")
	drained.Intent.Fleets[0].Services[0].Endpoints[0].Draining = true
	routes.Apply(drained)
	routes.Close()
	log.Close()
	assert.Equal(t, strings.Count(output.String(), "\n"), 1)
	assert.Assert(t, strings.Contains(output.String(), `"@message":"endpoint changed"`), output.String())
	assert.Assert(t, strings.Contains(output.String(), `"condition":"draining"`), output.String())
}

func TestServiceIsUsableOnlyWithEndpointForNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Sender: &countingSender{sent: make(map[daisyvm.Name]int)}})
		defer routes.Close()
		id := daisyservice.ID{Fleet: "vigia-lar", Name: "a"}
		assert.Assert(t, !routes.HasUsableEndpoint(id), "service is not declared yet")
		s := snapshotOf("a")
		routes.Apply(s)
		assert.Assert(t, routes.HasUsableEndpoint(id))
		drained := snapshotOf("a")
		drained.Intent.Fleets[0].Services[0].Endpoints[0].Draining = true
		routes.Apply(drained)
		assert.Assert(t, !routes.HasUsableEndpoint(id), "the only endpoint is draining")
	})
}

func TestSpareIsSlotsMinusOwnRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := daisyvm.VM{Name: "vm-1"}
		routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: self, Sender: &countingSender{sent: make(map[daisyvm.Name]int)}})
		defer routes.Close()
		routes.Apply(snapshotOf("a"))
		// The credits that this VM holds do not matter, so another VM that shares the slots
		// does not change the result.
		routes.SetPeers([]daisyvm.VM{self, {Name: "vm-2"}}, nil)
		request := daisyrequest.Request{
			Service:  daisyservice.ID{Fleet: "vigia-lar", Name: "a"},
			Deadline: time.Now().Add(time.Minute),
		}
		for _, want := range []int{3, 2, 1, 0, 0} {
			assert.Equal(t, routes.Spare(), want)
			ticket, err := routes.Begin(request)
			assert.NilError(t, err)
			defer ticket.Close()
		}
	})
}

// Guards against a service that is declared during a planned stop and takes requests that
// would be aborted at its end.
func TestServiceDeclaredDuringStopRefusesLongRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Sender: &countingSender{sent: make(map[daisyvm.Name]int)}})
		defer routes.Close()
		begun := time.Now()
		routes.LimitRequests(begun.Add(9*time.Second), begun.Add(3*time.Second))
		time.Sleep(4 * time.Second)
		routes.Apply(snapshotOf("a"))
		for _, c := range []struct {
			timeout time.Duration
			refused bool
		}{{12 * time.Second, true}, {4 * time.Second, false}} {
			arrived := time.Now()
			ticket, err := routes.Begin(daisyrequest.Request{Service: daisyservice.ID{Fleet: "vigia-lar", Name: "a"}, Arrived: arrived, Deadline: arrived.Add(c.timeout)})
			assert.NilError(t, err)
			fail, refused := (<-ticket.Decisions()).(daisyroute.Fail)
			assert.Equal(t, refused, c.refused, "timeout %v", c.timeout)
			if refused {
				assert.Equal(t, fail.Cause, daisyroute.Stopping)
			}
			abandon(ticket)
		}
	})
}
