package daisystand

import (
	"net/http"
	"time"
)

// Faults are the faults injected into an endpoint. The zero value injects none.
type Faults struct {
	// Slow is the factor on the service time; 0 means 1.
	Slow float64
	// FailFast answers every request with 500 at once.
	FailFast bool
	// ShedAll sheds every request without running it.
	ShedAll bool
	// Draining is the draining flag in the load reports.
	Draining bool
	// Leaving is the leaving flag in the load reports.
	Leaving bool
	// Pause is the Retry-After of shed requests and, while ShedAll, of refused probes; 0
	// names none.
	Pause time.Duration
	// Break is the point at which the connection or stream is aborted.
	Break BreakPoint
	// Freeze blocks every request and probe until it is cleared.
	Freeze bool
	// RateLimit is the number of requests per second that the load reports name as the
	// limit of the endpoint; 0 names none.
	RateLimit float64
}

// BreakPoint is the point at which an endpoint aborts a response.
type BreakPoint int

const (
	// BreakNone sends complete responses.
	BreakNone BreakPoint = iota
	// BreakBeforeHeader starts to run the request and aborts before its service time and
	// the response header.
	BreakBeforeHeader
	// BreakAfterHeader aborts after the response header.
	BreakAfterHeader
	// BreakMidBody aborts after half of the response body.
	BreakMidBody
)

func (e *Endpoint) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// waitUnfrozen blocks while the endpoint is frozen. It reports false if the caller
// canceled the request.
func (e *Endpoint) waitUnfrozen(r *http.Request) bool {
	for {
		e.mu.Lock()
		frozen, changed := e.faults.Freeze, e.faultsChanged
		e.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}
