package daisyfilter

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
)

type fakeKeys struct{}

func (fakeKeys) Key(h http.Header) (daisyaccount.Digest, bool) {
	return daisyaccount.DigestOf(h.Get("X-Key")), h.Get("X-Key") != ""
}
func (fakeKeys) RemoveAccount(h http.Header) { h.Del("X-Key") }
func (fakeKeys) AccountFields() []string     { return []string{"X-Key"} }
func (fakeKeys) Challenge() string           { return "Key" }

// newKeyCall returns a call that Match has passed, with a key.
func newKeyCall(key string, route daisypath.Route, accounts ...daisyaccount.Account) *Call {
	call := newMatchCall("http://h.example/a/", route, matchService)
	call.HTTP.Header.Set("X-Key", key)
	call.Config = daisyconfig.NewIndex(&daisyconfig.Snapshot{Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{
		Name: "f", Routes: []daisypath.Route{route}, Services: []daisyservice.Service{matchService}, Accounts: accounts,
	}}}})
	call.ConfigAsOf = call.Arrived.Add(-time.Second)
	newMatch().apply(call)
	return call
}

// Guards against requests that run for nobody or for the wrong account, against refusals of
// keys that a stale configuration does not have yet, and against keys that are forwarded.
func TestAuthenticate(t *testing.T) {
	public := matchRoute
	public.Public = true
	cases := []struct {
		name, key string
		route     daisypath.Route
		asOf      time.Duration
		status    int
		account   daisyaccount.Name
		rank      daisyrank.Name
	}{
		{name: "rank of the account", key: "k-1", route: matchRoute, account: "urgent", rank: "priority-0"},
		{name: "rank that the service lacks", key: "k-2", route: matchRoute, account: "odd", rank: "priority-1"},
		{name: "no key", route: matchRoute, status: http.StatusUnauthorized},
		{name: "no key and a stale configuration", route: matchRoute, asOf: -time.Minute, status: http.StatusUnauthorized},
		{name: "unknown key", key: "k-9", route: matchRoute, asOf: -2 * time.Second, status: http.StatusUnauthorized},
		{name: "unknown key and a stale configuration", key: "k-9", route: matchRoute, asOf: -3 * time.Second, status: http.StatusServiceUnavailable},
		{name: "unknown key and a configuration of unknown age", key: "k-9", route: matchRoute, asOf: 1, status: http.StatusServiceUnavailable},
		{name: "known key and a stale configuration", key: "k-1", route: matchRoute, asOf: -time.Minute, account: "urgent", rank: "priority-0"},
		{name: "public", key: "k-1", route: public, rank: "priority-1"},
		{name: "public with an unknown key", key: "k-9", route: public, rank: "priority-1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			call := newKeyCall(c.key, c.route,
				daisyaccount.Account{Name: "urgent", Keys: []daisyaccount.Digest{daisyaccount.DigestOf("k-1")}, Rank: "priority-0"},
				daisyaccount.Account{Name: "odd", Keys: []daisyaccount.Digest{daisyaccount.DigestOf("k-2")}, Rank: "priority-7"})
			if call.ConfigAsOf = call.Arrived.Add(c.asOf); c.asOf > 0 {
				call.ConfigAsOf = time.Time{}
			}
			target := call.Request.Target
			verdict := Authenticate{Reader: fakeKeys{}, MaxAge: 2500 * time.Millisecond}.apply(call)
			assert.Equal(t, call.HTTP.Header.Get("X-Key"), "")
			assert.Equal(t, call.Account.Name, c.account)
			assert.Equal(t, call.Request.Account, c.account)
			if c.status == 0 {
				assert.Equal(t, verdict, Verdict(Continue{}))
				assert.Equal(t, call.Request.Rank, c.rank)
				assert.Equal(t, call.Request.Target, target)
				return
			}
			p := verdict.(Reject).Problem
			assert.Equal(t, p.Status, c.status)
			assert.Equal(t, p.Run, daisyrequest.NotRun)
			assert.Equal(t, p.RetryAfter > 0, c.status == http.StatusServiceUnavailable)
			assert.Equal(t, p.Challenge != "", c.status == http.StatusUnauthorized)
		})
	}
}

// Guards against a deployment without accounts that loses its callers' own fields.
func TestWithoutAccountsTheHeaderRemains(t *testing.T) {
	call := newKeyCall("k-1", matchRoute)
	assert.Equal(t, Authenticate{Reader: fakeKeys{}, MaxAge: time.Second}.apply(call), Verdict(Continue{}))
	assert.Equal(t, call.HTTP.Header.Get("X-Key"), "k-1")
}
