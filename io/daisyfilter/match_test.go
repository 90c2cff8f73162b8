package daisyfilter

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
)

// fakeTimeouts are Timeouts of callers that have already waited for the time elapsed.
type fakeTimeouts struct{ elapsed time.Duration }

func (f fakeTimeouts) Elapsed(daisypath.Route, time.Duration) time.Duration { return f.elapsed }

type fakeReader struct {
	timeout time.Duration
	invalid bool
}

func (r fakeReader) Timeout(http.Header) (time.Duration, bool) { return r.timeout, !r.invalid }
func (r fakeReader) RequestName(h http.Header) daisyrequest.Name {
	return daisyrequest.Name(h.Get("X-Name"))
}

var matchService = daisyservice.Service{
	ID:    daisyservice.ID{Fleet: "f", Name: "s"},
	Ranks: []daisyrank.Rank{{Name: "priority-0"}, {Name: "priority-1"}},
}

var matchRoute = daisypath.Route{
	Name: "r", Host: "h.example", Prefix: "/a/", Rank: "priority-1", Idempotent: true, Timeout: time.Second, Target: 300 * time.Millisecond, Attempts: 2,
	Parts: []daisypath.Part{{Service: matchService.ID, Weight: 1}},
}

// newMatchCall returns a call that is handled by a configuration with one route and the
// given services.
func newMatchCall(target string, route daisypath.Route, services ...daisyservice.Service) *Call {
	r := httptest.NewRequest(http.MethodGet, target, nil)
	r.Header.Set("X-Name", "r-1")
	return &Call{
		HTTP:    r,
		Arrived: time.Unix(100, 0),
		Config: daisyconfig.NewIndex(&daisyconfig.Snapshot{Revision: 1, Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{
			Name: "f", Routes: []daisypath.Route{route}, Services: services,
		}}}}),
	}
}

func newMatch() Match {
	return Match{Timeouts: fakeTimeouts{}, Reader: fakeReader{timeout: 2 * time.Second}}
}

func TestMatchSetsRequestFieldsFromRoute(t *testing.T) {
	f := newMatch()
	call := newMatchCall("http://h.example:8080/a/", matchRoute, matchService)
	_, ok := f.apply(call).(Continue)
	assert.Assert(t, ok)
	r := call.Request
	assert.Equal(t, r.Name, daisyrequest.Name("r-1"))
	assert.Equal(t, r.Rank, daisyrank.Name("priority-1"))
	assert.Equal(t, r.Attempts, 2)
	assert.Assert(t, r.Idempotent && r.Hedgeable)
	assert.Equal(t, r.Deadline, call.Arrived.Add(time.Second), "the route's timeout is shorter than the caller's")
	assert.Equal(t, r.Target, call.Arrived.Add(300*time.Millisecond))
}

// The time that a caller has already waited, for instance for another VM, counts
// towards the target of its request but not towards the deadline.
func TestMatchSubtractsElapsedTimeFromTarget(t *testing.T) {
	f := newMatch()
	f.Timeouts = fakeTimeouts{elapsed: 200 * time.Millisecond}
	f.Reader = fakeReader{timeout: 400 * time.Millisecond}
	call := newMatchCall("http://h.example/a/", matchRoute, matchService)
	f.apply(call)
	assert.Equal(t, call.Request.Target, call.Arrived.Add(100*time.Millisecond))
	assert.Equal(t, call.Request.Deadline, call.Arrived.Add(400*time.Millisecond))
}

func TestMatchRejectionStatus(t *testing.T) {
	cases := []struct {
		name     string
		target   string
		reader   fakeReader
		route    daisypath.Route
		services []daisyservice.Service
		status   int
	}{
		{name: "no route", target: "http://h.example/none", route: matchRoute, services: []daisyservice.Service{matchService}, status: http.StatusNotFound},
		{name: "another host", target: "http://other.example/a/", route: matchRoute, services: []daisyservice.Service{matchService}, status: http.StatusNotFound},
		{name: "invalid timeout", target: "http://h.example/a/", reader: fakeReader{invalid: true}, route: matchRoute, services: []daisyservice.Service{matchService}, status: http.StatusBadRequest},
		{name: "service not declared", target: "http://h.example/a/", route: matchRoute, status: http.StatusServiceUnavailable},
		{name: "route without parts", target: "http://h.example/a/", route: daisypath.Route{Host: "h.example", Prefix: "/a/"}, status: http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := Match{Timeouts: fakeTimeouts{}, Reader: c.reader}
			a, ok := f.apply(newMatchCall(c.target, c.route, c.services...)).(Reject)
			assert.Assert(t, ok)
			assert.Equal(t, a.Problem.Status, c.status)
			assert.Equal(t, a.Problem.Run, daisyrequest.NotRun)
		})
	}
}
