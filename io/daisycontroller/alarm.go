package daisycontroller

import "time"

// alarm is a timer that any goroutine may reset. It signals on its own channel
// instead of the one of time.Timer: with the latter, Go 1.26.8 crashes under the race
// detector in virtual time when the timer expires while a select evaluates the channel.
type alarm struct {
	timer *time.Timer
	// rung is buffered with one element; expirations that were not received yet coalesce.
	rung chan struct{}
}

// newAlarm returns a timer that fires immediately.
func newAlarm() *alarm {
	a := &alarm{rung: make(chan struct{}, 1)}
	a.timer = time.AfterFunc(0, a.ring)
	return a
}

func (a *alarm) ring() {
	select {
	case a.rung <- struct{}{}:
	default:
	}
}

// set schedules the next expiration; a time in the past fires the timer immediately.
func (a *alarm) set(at time.Time) { a.timer.Reset(time.Until(at)) }

func (a *alarm) stop() { a.timer.Stop() }
