package daisyroute

import "time"

// pauseTolerance is how late an event may come after the time of NextWake before
// the VM is taken to have been paused.
const pauseTolerance = 200 * time.Millisecond

// noticePause notes that this VM was paused: what it then knows of the attempts
// that were under way says nothing of their endpoints.
func (d *Dispatcher) noticePause(now time.Time) {
	if d.nextWake.IsZero() || now.Sub(d.nextWake) < pauseTolerance {
		return
	}
	d.resumedAt = now
	d.nextWake = time.Time{}
}

// spoiled reports whether a pause fell into an attempt.
func (d *Dispatcher) spoiled(a *attempt) bool { return a.sent.Before(d.resumedAt) }
