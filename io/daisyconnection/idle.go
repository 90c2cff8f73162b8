package daisyconnection

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveMargin is how much sooner than the endpoint the pool closes an unused
// connection: if a request is sent while the endpoint closes the connection, it is
// unknown whether the endpoint ran it. The margin is more than a second because
// the endpoint states its timeout in whole seconds, which may be rounded up.
const keepAliveMargin = 1500 * time.Millisecond

// parseKeepAlive returns how long a connection may be unused: the parameter timeout of
// the header Keep-Alive (RFC 2068, 19.7.1.1) less keepAliveMargin. It reports false
// if the endpoint states no valid timeout.
func parseKeepAlive(header http.Header) (time.Duration, bool) {
	for _, v := range header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			seconds, err := strconv.Atoi(value)
			if err != nil || seconds < 0 {
				return 0, false
			}
			return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0), true
		}
	}
	return 0, false
}

// setIdleTimeout sets how long a connection may be unused, as stated by the endpoint
// but at most maxIdleTimeout.
func (e *endpoint) setIdleTimeout(c *connection, timeout time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.idleTimeout = min(timeout, maxIdleTimeout)
}

// maxIdleTimeout limits how long an unused connection is kept, regardless of what the
// endpoint allows, because it occupies memory on both sides.
const maxIdleTimeout = 30 * time.Second

// closeIdle closes the connections whose idle timeout has passed.
func (e *endpoint) closeIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idleTimer = nil
	now := time.Now()
	for i := len(e.connections) - 1; i >= 0; i-- {
		c := e.connections[i]
		if c.requests == 0 && now.Sub(c.lastUsed) >= c.idleTimeout {
			e.closeAt(i)
		}
	}
	if len(e.connections) > 0 && !e.closed {
		e.scheduleIdleCheck()
	}
}

// scheduleIdleCheck schedules closeIdle for when the first idle timeout passes, but
// after Limits.IdleTimeout at the latest, unless it is scheduled already.
func (e *endpoint) scheduleIdleCheck() {
	if e.idleTimer != nil || e.limits.IdleTimeout <= 0 {
		return
	}
	next := e.limits.IdleTimeout
	now := time.Now()
	for _, c := range e.connections {
		if c.requests == 0 {
			next = min(next, max(c.idleTimeout-now.Sub(c.lastUsed), minIdleCheckInterval))
		}
	}
	e.idleTimer = time.AfterFunc(next, e.closeIdle)
}

// minIdleCheckInterval is the minimum time between two checks for idle connections.
const minIdleCheckInterval = 50 * time.Millisecond
