package daisycredit

import (
	"time"

	"daisyyoke/core/daisywake"
)

// returnTime is how long the slots of an endpoint take to come back after its availability
// zone was evacuated. The VMs learn of the end within 1.5 s, and the endpoints may be cold,
// which a probe tells.
const returnTime = 2 * time.Second

// noteEvacuation records the end of the evacuation of an endpoint. An owner that starts
// later does not know of it, and lends all slots at once.
func (e *endpointState) noteEvacuation(now time.Time, evacuated bool) {
	if e.Evacuated && !evacuated {
		e.returnedAt = now
	}
}

// returnedSlots returns how many slots of an endpoint are back after an evacuation: one at
// first, and all after returnTime. Lending is tried again when there are more.
func (o *Owner) returnedSlots(now time.Time, e *endpointState) int {
	age := now.Sub(e.returnedAt)
	if e.returnedAt.IsZero() || age >= returnTime || e.Slots <= 1 {
		return e.Slots
	}
	step := returnTime / time.Duration(e.Slots)
	back := 1 + int(age/step)
	o.retryAt = daisywake.Sooner(o.retryAt, e.returnedAt.Add(time.Duration(back)*step))
	return min(back, e.Slots)
}
