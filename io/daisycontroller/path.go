package daisycontroller

import (
	"sync"
	"sync/atomic"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisypath"
)

// Path keeps the routing table by host and path of the configuration in force.
type Path struct {
	*firstConfiguration
	table atomic.Pointer[daisypath.Table]

	mu sync.Mutex
	// longestTimeouts is the longest timeout that a caller has sent, by route name.
	longestTimeouts map[string]time.Duration
}

var _ Controller = (*Path)(nil)

// NewPath returns a controller without routes; Apply sets them.
func NewPath() *Path {
	return &Path{firstConfiguration: newFirstConfiguration(), longestTimeouts: make(map[string]time.Duration)}
}

func (c *Path) controller() {}

// Close does nothing, since the controller has no goroutines.
func (c *Path) Close() {}

// Apply puts the routes of a configuration in force.
func (c *Path) Apply(snapshot *daisyconfig.Snapshot) {
	var routes []daisypath.Route
	for _, f := range snapshot.Intent.Fleets {
		for _, r := range f.Routes {
			r.Revision = uint64(snapshot.Revision)
			routes = append(routes, r)
		}
	}
	c.table.Store(daisypath.NewTable(routes))
	c.noteApplied()
}

// FindRoute returns the route for a host and a path, and reports whether there is one.
func (c *Path) FindRoute(host, path string) (daisypath.Route, bool) {
	table := c.table.Load()
	if table == nil {
		return daisypath.Route{}, false
	}
	return table.Find(host, path)
}

// maxTimeoutRoutes limits the number of routes in longestTimeouts.
const maxTimeoutRoutes = 4096

// Elapsed estimates how long a caller has already waited, for instance because its
// request was refused and it retries. It assumes that all callers of a route start with
// the same timeout, which is the longest one seen on the route, and returns the
// difference to the given timeout. It returns 0 for a caller without a timeout.
func (c *Path) Elapsed(route daisypath.Route, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeout > c.longestTimeouts[route.Name] {
		if len(c.longestTimeouts) >= maxTimeoutRoutes {
			clear(c.longestTimeouts)
		}
		c.longestTimeouts[route.Name] = timeout
	}
	return c.longestTimeouts[route.Name] - timeout
}
