package daisyplan

import (
	"reflect"
	"slices"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyservice"
)

// RouteAdded is a Change that adds a route to a fleet.
type RouteAdded struct {
	Fleet daisyfleet.Name
	Route daisypath.Route
}

// RouteRemoved is a Change that removes a route from a fleet.
type RouteRemoved struct {
	Fleet daisyfleet.Name
	Route daisypath.Route
}

// RouteChanged is a Change of a route whose name, host and prefix stay.
type RouteChanged struct {
	Fleet         daisyfleet.Name
	Before, After daisypath.Route
}

// AccountAdded is a Change that adds a client account to a fleet.
type AccountAdded struct {
	Fleet   daisyfleet.Name
	Account daisyaccount.Account
}

// AccountRemoved is a Change that removes a client account, whose keys are then unknown.
type AccountRemoved struct {
	Fleet   daisyfleet.Name
	Account daisyaccount.Name
}

// AccountChanged is a Change of the keys, the rank or the quota of a client account.
type AccountChanged struct {
	Fleet         daisyfleet.Name
	Before, After daisyaccount.Account
	// KeysAdded and KeysRemoved are the numbers of keys that are new or gone.
	KeysAdded, KeysRemoved int
}

// CallerLimitsChanged is a Change of the limits of callers' requests.
type CallerLimitsChanged struct {
	Fleet         daisyfleet.Name
	Before, After daisyconfig.CallerLimits
}

// ServiceDefaultsChanged is a Change of the health path, the default connections or the
// cold time or rate of a service.
type ServiceDefaultsChanged struct{ Before, After daisyservice.Service }

func (RouteAdded) change()             {}
func (RouteRemoved) change()           {}
func (RouteChanged) change()           {}
func (AccountAdded) change()           {}
func (AccountRemoved) change()         {}
func (AccountChanged) change()         {}
func (CallerLimitsChanged) change()    {}
func (ServiceDefaultsChanged) change() {}

// routeKey includes what a route matches, because names of routes need not be unique.
func routeKey(r daisypath.Route) [3]string                { return [3]string{r.Name, r.Host, r.Prefix} }
func accountKey(a daisyaccount.Account) daisyaccount.Name { return a.Name }

// compareTraffic returns the changes of how a fleet takes requests.
func compareTraffic(before, after daisyconfig.Fleet) []Change {
	var changes []Change
	fleet := after.Name
	if fleet == "" {
		fleet = before.Name
	}
	for _, p := range matchByKey(before.Routes, after.Routes, routeKey) {
		switch {
		case p.before == nil:
			changes = append(changes, RouteAdded{Fleet: fleet, Route: *p.after})
		case p.after == nil:
			changes = append(changes, RouteRemoved{Fleet: fleet, Route: *p.before})
		case !sameRoute(*p.before, *p.after):
			changes = append(changes, RouteChanged{Fleet: fleet, Before: *p.before, After: *p.after})
		}
	}
	for _, p := range matchByKey(before.Accounts, after.Accounts, accountKey) {
		changes = append(changes, compareAccount(fleet, p)...)
	}
	if before.Name == after.Name && before.CallerLimits != after.CallerLimits {
		changes = append(changes, CallerLimitsChanged{Fleet: fleet, Before: before.CallerLimits, After: after.CallerLimits})
	}
	return changes
}

func sameRoute(a, b daisypath.Route) bool {
	a.Revision = b.Revision
	return reflect.DeepEqual(a, b)
}

func compareAccount(fleet daisyfleet.Name, p pair[daisyaccount.Account]) []Change {
	switch {
	case p.before == nil:
		return []Change{AccountAdded{Fleet: fleet, Account: *p.after}}
	case p.after == nil:
		return []Change{AccountRemoved{Fleet: fleet, Account: p.before.Name}}
	}
	c := AccountChanged{
		Fleet: fleet, Before: *p.before, After: *p.after,
		KeysAdded: countNew(p.before.Keys, p.after.Keys), KeysRemoved: countNew(p.after.Keys, p.before.Keys),
	}
	if c.KeysAdded == 0 && c.KeysRemoved == 0 && c.Before.Rank == c.After.Rank && c.Before.Quota == c.After.Quota {
		return nil
	}
	return []Change{c}
}

// countNew returns the number of keys in after that before does not have.
func countNew(before, after []daisyaccount.Digest) int {
	n := 0
	for _, k := range after {
		if !slices.Contains(before, k) {
			n++
		}
	}
	return n
}

func compareDefaults(before, after daisyservice.Service) []Change {
	if before.HealthPath == after.HealthPath && before.Connections == after.Connections &&
		before.ColdStart == after.ColdStart && before.ColdRate == after.ColdRate {
		return nil
	}
	return []Change{ServiceDefaultsChanged{Before: before, After: after}}
}
