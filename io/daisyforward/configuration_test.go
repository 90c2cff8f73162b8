package daisyforward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyfilter"
	"daisyyoke/io/daisyforward"
)

// bareReader is a CallReader for requests without a name or a timeout.
type bareReader struct{}

func (bareReader) Timeout(http.Header) (time.Duration, bool) { return 0, true }
func (bareReader) RequestName(http.Header) daisyrequest.Name { return "" }

// routedSnapshot returns a configuration of one service with one route for each rank, the
// most urgent first. The endpoints beyond the first are never used, as they are draining;
// they make the configuration take longer to apply.
func routedSnapshot(revision daisyconfig.Revision, endpoint netip.AddrPort, ranks ...daisyrank.Name) *daisyconfig.Snapshot {
	fleet := daisyconfig.Fleet{Name: "f"}
	service := daisyservice.Service{ID: daisyservice.ID{Fleet: "f", Name: "s"}}
	service.Endpoints = append(service.Endpoints, daisyendpoint.Endpoint{Address: endpoint, Slots: 64, Connections: 100})
	for i := range 200 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), 9)
		service.Endpoints = append(service.Endpoints, daisyendpoint.Endpoint{Address: a, Slots: 1, Connections: 100, Draining: true})
	}
	for _, r := range ranks {
		service.Ranks = append(service.Ranks, daisyrank.Rank{Name: r, Target: time.Second})
		fleet.Routes = append(fleet.Routes, daisypath.Route{
			Name: string(r), Host: "h.example", Prefix: "/" + string(r) + "/", Rank: r, Timeout: 5 * time.Second, Target: time.Second,
			Parts: []daisypath.Part{{Service: service.ID, Weight: 1}},
		})
	}
	fleet.Services = []daisyservice.Service{service}
	return &daisyconfig.Snapshot{Revision: revision, Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{fleet}}}
}

// Guards against a request that is matched with the routes of one configuration and routed
// with the ranks of another one, which ended the process when the other one had none.
func TestRequestIsHandledByOneConfiguration(t *testing.T) {
	endpoint := startEndpoint(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	pool := daisyconnection.NewPool(daisyconnection.DefaultLimits())
	defer pool.Close()
	routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: daisyvm.VM{Name: "vm-1"}})
	defer routes.Close()
	index := daisycontroller.NewIndex()
	forwarder := daisyforward.New(daisyforward.Options{Self: "vm-1", Routes: routes, Pool: pool, Limits: daisyforward.DefaultLimits()})
	defer forwarder.Close()
	chain := daisyfilter.NewChain(daisyfilter.Options{Forwarder: forwarder, Filters: []daisyfilter.Filter{
		daisyfilter.AwaitConfiguration{Configuration: index},
		daisyfilter.Match{Timeouts: daisycontroller.NewTimeout(), Reader: bareReader{}},
	}})
	snapshots := []*daisyconfig.Snapshot{
		routedSnapshot(1, endpoint, "urgent", "bulk"),
		routedSnapshot(2, endpoint),
		routedSnapshot(3, endpoint, "bulk"),
		routedSnapshot(4, endpoint, "new", "urgent", "bulk", "last"),
	}
	apply := func(s *daisyconfig.Snapshot) {
		routes.Apply(s)
		index.Apply(s)
	}
	apply(snapshots[0])

	ctx, stop := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer stop()
	var wg sync.WaitGroup
	var served, missing, others atomic.Int32
	for i := range 16 {
		wg.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				path := []string{"/urgent/x", "/bulk/x", "/last/x"}[n%3]
				w := httptest.NewRecorder()
				chain.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h.example"+path, nil))
				switch w.Code {
				case http.StatusOK:
					served.Add(1)
				case http.StatusNotFound:
					missing.Add(1)
				default:
					others.Add(1)
				}
			}
		})
	}
	for n := 1; ctx.Err() == nil; n++ {
		apply(snapshots[n%len(snapshots)])
	}
	wg.Wait()
	assert.Equal(t, others.Load(), int32(0))
	assert.Assert(t, served.Load() > 0 && missing.Load() > 0, "served %d, without a route %d", served.Load(), missing.Load())
}
