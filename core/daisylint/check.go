package daisylint

import (
	"slices"
	"strings"
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyservice"
)

// Check checks a configuration, and compares it with the base, which may be nil.
func Check(candidate, base *daisyconfig.Snapshot, options Options) Result {
	var r Result
	for _, a := range candidate.Adjustments {
		r.Findings = append(r.Findings, Adjusted{Adjustment: a})
	}
	r.Findings = append(r.Findings, checkRoutes(candidate.Intent)...)
	for _, f := range candidate.Intent.Fleets {
		r.Findings = append(r.Findings, checkKeys(f)...)
		r.Findings = append(r.Findings, checkQuotas(f, options)...)
		for _, s := range f.Services {
			r.Findings = append(r.Findings, checkEvacuation(s)...)
		}
	}
	plan := daisyplan.New(base, candidate.Intent, time.Time{})
	for _, w := range plan.Warnings {
		if worthReporting(candidate, w) {
			r.Findings = append(r.Findings, PlanWarning{Warning: w})
		}
	}
	if base != nil {
		r.Changes, r.Impacts = plan.Changes, plan.Impacts
	}
	return r
}

// worthReporting reports whether a warning of the plan is a finding of its own: a service
// without any endpoint may have them registered elsewhere, and an evacuated one has a finding.
func worthReporting(candidate *daisyconfig.Snapshot, warning daisyplan.Warning) bool {
	switch w := warning.(type) {
	case daisyplan.NothingChanges:
		return false
	case daisyplan.ServiceLeftEmpty:
		s, _ := candidate.FindService(w.Service)
		return len(s.Endpoints) > 0 && len(checkEvacuation(s)) == 0
	case daisyplan.FloorsOverOne, daisyplan.ZoneLeftEmpty, daisyplan.CapacityDropped, daisyplan.AddressUsedTwice:
	}
	return true
}

// checkRoutes checks the routes of all fleets together, because they share one table.
func checkRoutes(intent daisyconfig.Intent) []Finding {
	type match struct{ host, prefix string }
	var findings []Finding
	first := make(map[match]daisypath.Route)
	for _, f := range intent.Fleets {
		for _, r := range f.Routes {
			m := match{host: strings.ToLower(r.Host), prefix: r.Prefix}
			if by, ok := first[m]; ok {
				findings = append(findings, RouteHidden{Route: r, By: by})
			} else {
				first[m] = r
			}
			findings = append(findings, checkRoute(r)...)
		}
	}
	return findings
}

func checkRoute(r daisypath.Route) []Finding {
	var findings []Finding
	// Hosts are matched without their port. A host with several colons is an IPv6 address.
	if strings.Count(r.Host, ":") == 1 || r.Prefix != "" && r.Prefix[0] != '/' {
		findings = append(findings, RouteUnmatchable{Route: r})
	}
	usable := false
	for _, p := range r.Parts {
		usable = usable || p.Weight > 0
		if p.Weight <= 0 {
			findings = append(findings, PartUnused{Route: r, Part: p})
		}
	}
	if !usable {
		findings = append(findings, RouteWithoutService{Route: r})
	}
	if r.Timeout <= 0 || r.Timeout < r.Target {
		findings = append(findings, TimeoutBelowTarget{Route: r})
	}
	if r.Attempts > 1 && !r.Idempotent {
		findings = append(findings, AttemptsUnused{Route: r})
	}
	return findings
}

func checkKeys(f daisyconfig.Fleet) []Finding {
	var findings []Finding
	table := daisyaccount.NewTable(f.Accounts)
	for _, a := range f.Accounts {
		held := KeysHeld{Fleet: f.Name, Account: a.Name, Total: len(a.Keys)}
		for _, k := range a.Keys {
			if holder, _ := table.Find(k); holder.Name != a.Name {
				held.Holder = holder.Name
				held.Held++
			}
		}
		if held.Held > 0 {
			findings = append(findings, held)
		}
	}
	return findings
}

func checkQuotas(f daisyconfig.Fleet, options Options) []Finding {
	capacity, known := accountCapacity(f, options)
	if !known {
		return nil
	}
	var findings []Finding
	for _, a := range f.Accounts {
		if a.Quota.Limited() && a.Quota.PerSecond > capacity {
			findings = append(findings, QuotaAboveCapacity{Fleet: f.Name, Account: a.Name, Quota: a.Quota, Capacity: capacity})
		}
	}
	return findings
}

// accountCapacity returns the number of requests a second that the slots of the services can
// serve to which routes that need a key lead. It is not known if one of these services has no
// endpoints, which may be registered elsewhere, or a request's time is not known.
func accountCapacity(f daisyconfig.Fleet, options Options) (float64, bool) {
	times := make(map[daisyservice.ID]time.Duration)
	for _, r := range f.Routes {
		for _, p := range r.Parts {
			if r.Public || p.Weight <= 0 {
				continue
			}
			t := r.Target
			if options.ServiceTime > 0 {
				t = options.ServiceTime
			}
			if shortest, ok := times[p.Service]; !ok || t < shortest {
				times[p.Service] = t
			}
		}
	}
	capacity, known := 0.0, len(times) > 0
	for _, s := range f.Services {
		t, ok := times[s.ID]
		if !ok {
			continue
		}
		known = known && t > 0 && len(s.Endpoints) > 0
		capacity += float64(s.Slots()) / t.Seconds()
	}
	return capacity, known
}

func checkEvacuation(s daisyservice.Service) []Finding {
	if len(s.Endpoints) == 0 || s.OpenEndpoints() > 0 {
		return nil
	}
	var zones []daisyfleet.ZoneID
	for _, e := range s.Endpoints {
		if !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	return []Finding{ServiceEvacuated{Service: s.ID, Zones: zones}}
}
