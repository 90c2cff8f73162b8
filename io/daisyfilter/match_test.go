package daisyfilter

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
)

// fakeRoutes is a RouteFinder with a single route, whose callers have already
// waited for the time elapsed.
type fakeRoutes struct {
	route   daisypath.Route
	elapsed time.Duration
}

func (r fakeRoutes) FindRoute(host, path string) (daisypath.Route, bool) {
	return r.route, host == "h.example" && path != "/none"
}

func (r fakeRoutes) Elapsed(daisypath.Route, time.Duration) time.Duration { return r.elapsed }

type fakeServices map[string]daisyservice.Service

func (s fakeServices) FindService(id daisyservice.ID) (daisyservice.Service, bool) {
	v, ok := s[id.Name]
	return v, ok
}

type fakeReader struct {
	timeout time.Duration
	invalid bool
}

func (r fakeReader) Timeout(http.Header) (time.Duration, bool) { return r.timeout, !r.invalid }
func (r fakeReader) RequestName(h http.Header) daisyrequest.Name {
	return daisyrequest.Name(h.Get("X-Name"))
}

func newMatchCall(target string) *Call {
	r := httptest.NewRequest(http.MethodGet, target, nil)
	r.Header.Set("X-Name", "r-1")
	return &Call{HTTP: r, Arrived: time.Unix(100, 0)}
}

func newMatch() Match {
	id := daisyservice.ID{Fleet: "f", Name: "s"}
	ranks := []daisyrank.Rank{{Name: "priority-0"}, {Name: "priority-1"}}
	return Match{
		Routes: fakeRoutes{route: daisypath.Route{
			Name: "r", Rank: "priority-1", Idempotent: true, Timeout: time.Second, Target: 300 * time.Millisecond, Attempts: 2,
			Parts: []daisypath.Part{{Service: id, Weight: 1}},
		}},
		Services: fakeServices{"s": {ID: id, Ranks: ranks}},
		Reader:   fakeReader{timeout: 2 * time.Second},
	}
}

func TestMatchSetsRequestFieldsFromRoute(t *testing.T) {
	f := newMatch()
	call := newMatchCall("http://h.example:8080/a")
	_, ok := f.apply(call).(Continue)
	assert.Assert(t, ok)
	r := call.Request
	assert.Equal(t, r.Name, daisyrequest.Name("r-1"))
	assert.Equal(t, r.Rank, daisyrank.Index(1))
	assert.Equal(t, r.Attempts, 2)
	assert.Assert(t, r.Idempotent && r.Hedgeable)
	assert.Equal(t, r.Deadline, call.Arrived.Add(time.Second), "the route's timeout is shorter than the caller's")
	assert.Equal(t, r.Target, call.Arrived.Add(300*time.Millisecond))
}

// The time that a caller has already waited, for instance for another VM, counts
// towards the target of its request but not towards the deadline.
func TestMatchSubtractsElapsedTimeFromTarget(t *testing.T) {
	f := newMatch()
	f.Routes = fakeRoutes{route: f.Routes.(fakeRoutes).route, elapsed: 200 * time.Millisecond}
	f.Reader = fakeReader{timeout: 400 * time.Millisecond}
	call := newMatchCall("http://h.example/a")
	f.apply(call)
	assert.Equal(t, call.Request.Target, call.Arrived.Add(100*time.Millisecond))
	assert.Equal(t, call.Request.Deadline, call.Arrived.Add(400*time.Millisecond))
}

func TestMatchRejectionStatus(t *testing.T) {
	cases := []struct {
		name   string
		target string
		change func(*Match)
		status int
	}{
		{"no route", "http://h.example/none", func(*Match) {}, http.StatusNotFound},
		{"another host", "http://other.example/a", func(*Match) {}, http.StatusNotFound},
		{"invalid timeout", "http://h.example/a", func(f *Match) { f.Reader = fakeReader{invalid: true} }, http.StatusBadRequest},
		{"service not known yet", "http://h.example/a", func(f *Match) { f.Services = fakeServices{} }, http.StatusServiceUnavailable},
		{"route without parts", "http://h.example/a", func(f *Match) { f.Routes = fakeRoutes{} }, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newMatch()
			c.change(&f)
			a, ok := f.apply(newMatchCall(c.target)).(Reject)
			assert.Assert(t, ok)
			assert.Equal(t, a.Problem.Status, c.status)
			assert.Equal(t, a.Problem.Run, daisyrequest.NotRun)
		})
	}
}
