package daisyforward_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyfilter"
	"daisyyoke/io/daisyforward"
)

// newVM gives the callers' handler of a VM that serves lookups.vigia-lar from one endpoint.
func newVM(t *testing.T, endpoint http.Handler) http.Handler {
	t.Helper()
	server := httptest.NewServer(endpoint)
	t.Cleanup(server.Close)
	routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: daisyvm.VM{Name: "vm-1"}})
	t.Cleanup(routes.Close)
	routes.Apply(&daisyconfig.Snapshot{Revision: 1, Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{
		Name: "vigia-lar",
		Services: []daisyservice.Service{{
			ID:        daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"},
			Ranks:     []daisyrank.Rank{{Name: "urgent", Target: time.Minute}},
			Endpoints: []daisyendpoint.Endpoint{{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 2}},
		}},
	}}}})
	pool := daisyconnection.NewPool(daisyconnection.DefaultLimits())
	t.Cleanup(pool.Close)
	forwarder := daisyforward.New(daisyforward.Options{Self: "vm-1", Routes: routes, Pool: pool, Limits: daisyforward.DefaultLimits()})
	t.Cleanup(forwarder.Close)
	return daisyfilter.NewChain(daisyfilter.Options{
		Forwarder: forwarder,
		Filters:   []daisyfilter.Filter{daisyfilter.NewAdmit(100), daisyfilter.Screen{}, daisyfilter.Identify{Services: routes}, daisyfilter.Classify{}},
	})
}

func TestRequestIsServedFromEndToEnd(t *testing.T) {
	vm := newVM(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Endpoint", "yes")
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write(append([]byte(r.URL.Path+" "), body...))
	}))
	cases := []struct {
		name, host, rank, timeout string
		status                    int
		body                      string
	}{
		{name: "served", host: "lookups.vigia-lar", status: http.StatusAccepted, body: "/visits hello"},
		{name: "port ignored", host: "lookups.vigia-lar:80", status: http.StatusAccepted, body: "/visits hello"},
		{name: "bare service", host: "lookups", status: http.StatusBadRequest},
		{name: "unknown fleet", host: "lookups.elsewhere", status: http.StatusNotFound},
		{name: "unknown rank", host: "lookups.vigia-lar", rank: "bulk", status: http.StatusBadRequest},
		{name: "bad timeout", host: "lookups.vigia-lar", timeout: "-1s", status: http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/visits", strings.NewReader("hello"))
			r.Host = c.host
			if c.rank != "" {
				r.Header.Set("Daisy-Rank", c.rank)
			}
			if c.timeout != "" {
				r.Header.Set("Daisy-Timeout", c.timeout)
			}
			w := httptest.NewRecorder()
			vm.ServeHTTP(w, r)
			assert.Equal(t, w.Code, c.status)
			if c.body != "" {
				assert.Equal(t, w.Body.String(), c.body)
				return
			}
			assert.Equal(t, w.Header().Get("Daisy-Run"), "not-run")
			assert.Equal(t, w.Header().Get("Content-Type"), "application/problem+json")
		})
	}
}
