// Package daisypath matches requests to routes by host and path prefix.
package daisypath

import (
	"strings"
	"time"

	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// Route configures the handling of requests for one host whose paths begin with a prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Rank   daisyrank.Name
	// Idempotent reports whether executing a request twice has the same effect as executing it once.
	Idempotent bool
	// Timeout is the default time limit of a request, and the longest that a caller may set.
	Timeout time.Duration
	// Target is the latency up to which a response has its full worth.
	Target time.Duration
	// Attempts is the maximum number of attempts of one request that an endpoint may
	// have executed. The dispatcher's own limit on all attempts applies too; 0 means
	// only that limit.
	Attempts int
	// Public routes need no key of a client account.
	Public bool
	// Parts are the services among which the requests are split.
	Parts []Part
	// Revision is the revision of the configuration that the route belongs to.
	Revision uint64
}

// Part is one of the services among which the requests of a route are split.
type Part struct {
	Service daisyservice.ID
	// Weight is the part's share of the requests, relative to the weights of the other parts.
	Weight int
}

// Part returns the part selected by draw, a random number in [0, 1), in proportion
// to the weights. It reports false if no part has a weight above 0.
func (r Route) Part(draw float64) (Part, bool) {
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	remaining := draw * float64(total)
	for _, p := range r.Parts {
		if remaining < float64(p.Weight) {
			return p, true
		}
		remaining -= float64(p.Weight)
	}
	return Part{}, false
}

// Table is an immutable index of the routes of a configuration.
type Table struct {
	// hosts maps each host, in lower case, to its routes, ordered from the longest prefix to the shortest.
	hosts map[string][]Route
}

// NewTable returns a Table of the given routes. If several routes have the same host
// and prefix, the first is kept.
func NewTable(routes []Route) *Table {
	t := &Table{hosts: make(map[string][]Route)}
	for _, r := range routes {
		t.add(r)
	}
	return t
}

func (t *Table) add(route Route) {
	host := strings.ToLower(route.Host)
	routes := t.hosts[host]
	index := len(routes)
	for i, r := range routes {
		if r.Prefix == route.Prefix {
			return
		}
		if len(r.Prefix) < len(route.Prefix) {
			index = min(index, i)
		}
	}
	routes = append(routes, Route{})
	copy(routes[index+1:], routes[index:])
	routes[index] = route
	t.hosts[host] = routes
}

// Find returns the route of the host with the longest prefix that matches the path.
func (t *Table) Find(host, path string) (Route, bool) {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}
