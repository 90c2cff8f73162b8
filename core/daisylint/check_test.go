package daisylint_test

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisylint"
	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyservice"
)

var lookups = daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"}

// sound returns a configuration without findings: a service of 6 slots, which serve 24
// requests a second of 250 ms each, a route and an account.
func sound() *daisyconfig.Fleet {
	zone := daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: "lisboa-1"}
	return &daisyconfig.Fleet{
		Name:              "vigia-lar",
		AvailabilityZones: []daisyfleet.AvailabilityZone{{ID: zone}},
		Services: []daisyservice.Service{{ID: lookups, Endpoints: []daisyendpoint.Endpoint{
			{Address: netip.MustParseAddrPort("10.0.0.7:80"), Zone: zone, Slots: 6},
		}}},
		Routes:   []daisypath.Route{route("r-1", "/a/")},
		Accounts: []daisyaccount.Account{{Name: "a-1", Keys: []daisyaccount.Digest{daisyaccount.DigestOf("k-1")}, Quota: daisyaccount.Quota{PerSecond: 24}}},
	}
}

func route(name, prefix string) daisypath.Route {
	return daisypath.Route{
		Name: name, Host: "h.example", Prefix: prefix, Timeout: time.Second, Target: 250 * time.Millisecond, Attempts: 1,
		Parts: []daisypath.Part{{Service: lookups, Weight: 1}},
	}
}

func check(f *daisyconfig.Fleet, options daisylint.Options) []daisylint.Finding {
	s := &daisyconfig.Snapshot{Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{*f}}}
	return daisylint.Check(s, nil, options).Findings
}

// Guards against faults that are not found, against findings in a sound configuration, and
// against warnings that are taken for errors.
func TestCheck(t *testing.T) {
	cases := []struct {
		name    string
		change  func(f *daisyconfig.Fleet)
		options daisylint.Options
		kinds   string
		errors  int
	}{
		{name: "sound", change: func(*daisyconfig.Fleet) {}},
		{name: "hidden", change: func(f *daisyconfig.Fleet) {
			r := route("r-2", "/a/")
			r.Host = "H.Example"
			f.Routes = append(f.Routes, r)
		}, kinds: "[daisylint.RouteHidden]"},
		{name: "longer prefix", change: func(f *daisyconfig.Fleet) { f.Routes = append(f.Routes, route("r-2", "/a/b/")) }},
		{name: "prefix without slash", change: func(f *daisyconfig.Fleet) { f.Routes[0].Prefix = "a/" }, kinds: "[daisylint.RouteUnmatchable]", errors: 1},
		{name: "host with port", change: func(f *daisyconfig.Fleet) { f.Routes[0].Host = "h.example:80" }, kinds: "[daisylint.RouteUnmatchable]", errors: 1},
		{name: "no part", change: func(f *daisyconfig.Fleet) { f.Routes[0].Parts = nil }, kinds: "[daisylint.RouteWithoutService]", errors: 1},
		{name: "weight 0", change: func(f *daisyconfig.Fleet) {
			f.Routes[0].Parts = append(f.Routes[0].Parts, daisypath.Part{Service: lookups})
		}, kinds: "[daisylint.PartUnused]"},
		{name: "negative weight", change: func(f *daisyconfig.Fleet) { f.Routes[0].Parts[0].Weight = -1 }, kinds: "[daisylint.PartUnused daisylint.RouteWithoutService]", errors: 2},
		{name: "timeout", change: func(f *daisyconfig.Fleet) { f.Routes[0].Timeout = 249 * time.Millisecond }, kinds: "[daisylint.TimeoutBelowTarget]"},
		{name: "no timeout", change: func(f *daisyconfig.Fleet) { f.Routes[0].Timeout = 0 }, kinds: "[daisylint.TimeoutBelowTarget]", errors: 1},
		{name: "attempts", change: func(f *daisyconfig.Fleet) { f.Routes[0].Attempts = 2 }, kinds: "[daisylint.AttemptsUnused]"},
		{name: "attempts of an idempotent route", change: func(f *daisyconfig.Fleet) { f.Routes[0].Attempts, f.Routes[0].Idempotent = 2, true }},
		{name: "key twice", change: func(f *daisyconfig.Fleet) {
			f.Accounts = append(f.Accounts, daisyaccount.Account{Name: "a-2", Keys: f.Accounts[0].Keys})
		}, kinds: "[daisylint.KeysHeld]", errors: 1},
		{name: "quota", change: func(f *daisyconfig.Fleet) { f.Accounts[0].Quota.PerSecond = 24.1 }, kinds: "[daisylint.QuotaAboveCapacity]"},
		{name: "quota with a shorter service time", change: func(f *daisyconfig.Fleet) { f.Accounts[0].Quota.PerSecond = 24.1 }, options: daisylint.Options{ServiceTime: 200 * time.Millisecond}},
		{name: "quota without endpoints", change: func(f *daisyconfig.Fleet) {
			f.Accounts[0].Quota.PerSecond = math.MaxFloat64
			f.Services[0].Endpoints, f.AvailabilityZones = nil, nil
		}},
		{name: "evacuated", change: func(f *daisyconfig.Fleet) {
			f.AvailabilityZones[0].Evacuated = true
			f.Services[0].Endpoints[0].Evacuated = true
		}, kinds: "[daisylint.ServiceEvacuated]"},
		{name: "draining", change: func(f *daisyconfig.Fleet) { f.Services[0].Endpoints[0].Draining = true }, kinds: "[daisylint.PlanWarning daisylint.PlanWarning]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := sound()
			c.change(f)
			var kinds []string
			errors := 0
			for _, d := range check(f, c.options) {
				kinds = append(kinds, fmt.Sprintf("%T", d))
				if daisylint.IsError(d) {
					errors++
				}
			}
			assert.Equal(t, fmt.Sprint(kinds), max(c.kinds, "[]"))
			assert.Equal(t, errors, c.errors)
		})
	}
}

// Guards against a comparison that says nothing of routes, accounts and defaults, and against
// differences where only the revision or the order of keys differs.
func TestCheckComparesTraffic(t *testing.T) {
	before, after := sound(), sound()
	first, second := daisyaccount.DigestOf("k-1"), daisyaccount.DigestOf("k-2")
	before.Accounts[0].Keys, after.Accounts[0].Keys = []daisyaccount.Digest{first, second}, []daisyaccount.Digest{second, first}
	after.Routes[0].Revision = 7
	compare := func() []daisyplan.Change {
		base := &daisyconfig.Snapshot{Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{*before}}}
		s := &daisyconfig.Snapshot{Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{*after}}}
		return daisylint.Check(s, base, daisylint.Options{}).Changes
	}
	assert.Equal(t, len(compare()), 0)
	before.Routes = append(before.Routes, route("r-2", "/b/"))
	after.Routes[0].Timeout = 2 * time.Second
	after.Routes = append(after.Routes, route("r-3", "/c/"))
	after.Accounts[0].Keys = []daisyaccount.Digest{first, daisyaccount.DigestOf("k-3")}
	after.Accounts = append(after.Accounts, daisyaccount.Account{Name: "a-2"})
	before.Accounts = append(before.Accounts, daisyaccount.Account{Name: "a-3"})
	after.CallerLimits.HeaderBytes = 1
	after.Services[0].ColdRate = 2
	var kinds []string
	for _, c := range compare() {
		kinds = append(kinds, fmt.Sprintf("%T", c))
		if c, ok := c.(daisyplan.AccountChanged); ok {
			assert.Equal(t, [2]int{c.KeysAdded, c.KeysRemoved}, [2]int{1, 1})
		}
	}
	assert.DeepEqual(t, kinds, []string{
		"daisyplan.ServiceDefaultsChanged", "daisyplan.RouteChanged", "daisyplan.RouteRemoved", "daisyplan.RouteAdded",
		"daisyplan.AccountChanged", "daisyplan.AccountRemoved", "daisyplan.AccountAdded", "daisyplan.CallerLimitsChanged",
	})
}

func ExampleCheck() {
	f := sound()
	f.Routes = append(f.Routes, route("r-2", "/a/"))
	for _, d := range check(f, daisylint.Options{}) {
		if h, ok := d.(daisylint.RouteHidden); ok {
			fmt.Println(h.Route.Name, "is hidden by", h.By.Name)
		}
	}
	// Output: r-2 is hidden by r-1
}
