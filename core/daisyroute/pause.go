package daisyroute

import "time"

// pauseTolerance is the delay of an event after the time of NextWake from which the
// VM is assumed to have been paused.
const pauseTolerance = 200 * time.Millisecond

// detectPause records that this VM was paused. The response times of attempts that
// were under way are then no evidence about their endpoints.
func (d *Dispatcher) detectPause(now time.Time) {
	if d.nextWake.IsZero() || now.Sub(d.nextWake) < pauseTolerance {
		return
	}
	d.resumedAt = now
	d.nextWake = time.Time{}
}

// spansPause reports whether the VM was paused during an attempt.
func (d *Dispatcher) spansPause(a *attempt) bool { return a.sent.Before(d.resumedAt) }
