package daisyoperator

import (
	"fmt"
	"strings"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyservice"
)

// describeTrafficChange describes changes of routes, client accounts and limits. Keys are
// only counted.
func describeTrafficChange(change daisyplan.Change) string {
	switch c := change.(type) {
	case daisyplan.RouteAdded:
		return fmt.Sprintf("+ route %s/%s: %s%s, %s", c.Fleet, c.Route.Name, c.Route.Host, c.Route.Prefix, strings.Join(routeWords(c.Route), ", "))
	case daisyplan.RouteRemoved:
		return fmt.Sprintf("- route %s/%s: %s%s", c.Fleet, c.Route.Name, c.Route.Host, c.Route.Prefix)
	case daisyplan.RouteChanged:
		return fmt.Sprintf("~ route %s/%s: %s", c.Fleet, c.After.Name, differences(routeWords(c.Before), routeWords(c.After)))
	case daisyplan.AccountAdded:
		return fmt.Sprintf("+ account %s/%s: %d keys, %s", c.Fleet, c.Account.Name, len(c.Account.Keys), strings.Join(accountWords(c.Account), ", "))
	case daisyplan.AccountRemoved:
		return fmt.Sprintf("- account %s/%s", c.Fleet, c.Account)
	case daisyplan.AccountChanged:
		return fmt.Sprintf("~ account %s/%s: keys: %d added, %d removed%s", c.Fleet, c.After.Name, c.KeysAdded, c.KeysRemoved,
			strings.TrimSuffix("; "+differences(accountWords(c.Before), accountWords(c.After)), "; "))
	case daisyplan.CallerLimitsChanged:
		return fmt.Sprintf("~ fleet %s: limits of callers: %s", c.Fleet, differences(limitWords(c.Before), limitWords(c.After)))
	case daisyplan.ServiceDefaultsChanged:
		return fmt.Sprintf("~ service %s: %s", c.After.ID, differences(defaultWords(c.Before), defaultWords(c.After)))
	}
	return fmt.Sprintf("~ %T", change)
}

// differences describes those of two lists of the same length that differ.
func differences(before, after []string) string {
	var changed []string
	for i := range before {
		if before[i] != after[i] {
			changed = append(changed, before[i]+" to "+after[i])
		}
	}
	return strings.Join(changed, ", ")
}

func routeWords(r daisypath.Route) []string {
	parts := make([]string, 0, len(r.Parts))
	for _, p := range r.Parts {
		parts = append(parts, fmt.Sprintf("%s*%d", p.Service.Name, p.Weight))
	}
	return []string{
		"rank " + string(r.Rank), fmt.Sprintf("idempotent %t", r.Idempotent), fmt.Sprintf("public %t", r.Public),
		"timeout " + r.Timeout.String(), "target " + r.Target.String(), fmt.Sprintf("attempts %d", r.Attempts),
		"services " + strings.Join(parts, "+"),
	}
}

func accountWords(a daisyaccount.Account) []string {
	rank, quota := "rank of the route", "no quota"
	if a.Rank != "" {
		rank = "rank " + string(a.Rank)
	}
	if a.Quota.Limited() {
		quota = fmt.Sprintf("quota of %g a second and a burst of %g", a.Quota.PerSecond, a.Quota.Burst)
	}
	return []string{rank, quota}
}

func limitWords(l daisyconfig.CallerLimits) []string {
	return []string{
		fmt.Sprintf("header %d bytes", l.HeaderBytes), "header time " + l.HeaderTime.String(),
		fmt.Sprintf("body %d bytes", l.BodyBytes), "idle time " + l.IdleTime.String(),
	}
}

func defaultWords(s daisyservice.Service) []string {
	return []string{
		fmt.Sprintf("health path %q", s.HealthPath), fmt.Sprintf("%d connections", s.Connections),
		fmt.Sprintf("cold for %s", s.ColdStart), fmt.Sprintf("%g requests a second while cold", s.ColdRate),
	}
}
