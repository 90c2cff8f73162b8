package daisycontroller

import (
	"sync"
	"time"

	"daisyyoke/core/daisypath"
)

// Timeout keeps the timeouts that callers send.
type Timeout struct {
	mu sync.Mutex
	// longest is the longest timeout that a caller has sent, by route name.
	longest map[string]time.Duration
}

var _ Controller = (*Timeout)(nil)

// NewTimeout returns a controller that has seen no timeouts.
func NewTimeout() *Timeout { return &Timeout{longest: make(map[string]time.Duration)} }

func (c *Timeout) controller() {}

// Close does nothing, since the controller has no goroutines.
func (c *Timeout) Close() {}

// maxTimeoutRoutes limits the number of routes in Timeout.longest.
const maxTimeoutRoutes = 4096

// Elapsed estimates how long a caller has already waited, for instance because its
// request was refused and it retries. It assumes that all callers of a route start with
// the same timeout, which is the longest one seen on the route, and returns the
// difference to the given timeout. It returns 0 for a caller without a timeout.
func (c *Timeout) Elapsed(route daisypath.Route, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeout > c.longest[route.Name] {
		if len(c.longest) >= maxTimeoutRoutes {
			clear(c.longest)
		}
		c.longest[route.Name] = timeout
	}
	return c.longest[route.Name] - timeout
}
