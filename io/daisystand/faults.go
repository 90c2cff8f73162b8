package daisystand

import "net/http"

// Faults are what is wrong with an endpoint. The zero value is a sound one.
type Faults struct {
	// Slow multiplies the service time; 0 stands for 1.
	Slow float64
	// FailFast answers 500 at once.
	FailFast bool
	// ShedAll refuses every request without running it.
	ShedAll bool
	// Draining is reported with every answer.
	Draining bool
	// Break is where the connection or stream is broken off.
	Break BreakPoint
	// Freeze keeps every request and probe waiting until it is taken away.
	Freeze bool
}

// BreakPoint is where an endpoint breaks off.
type BreakPoint int

const (
	// BreakNowhere answers whole.
	BreakNowhere BreakPoint = iota
	// BreakBeforeHeader runs the request and breaks off before the answer's header.
	BreakBeforeHeader
	// BreakAfterHeader breaks off after the answer's header.
	BreakAfterHeader
	// BreakMidBody breaks off in the answer's body.
	BreakMidBody
)

func (e *Endpoint) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// thaw waits while the endpoint is frozen. It reports false when the caller has gone.
func (e *Endpoint) thaw(r *http.Request) bool {
	for {
		e.mu.Lock()
		frozen, changed := e.faults.Freeze, e.changed
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
