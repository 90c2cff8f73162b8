package daisycontroller

import "time"

// wakeTimer is a timer that any goroutine may reset. It signals on its own channel
// instead of the one of time.Timer: with the latter, Go 1.26.8 crashes under the race
// detector in virtual time when the timer expires while a select evaluates the channel.
type wakeTimer struct {
	timer *time.Timer
	// fired is buffered with one element; expirations that were not received yet coalesce.
	fired chan struct{}
}

// newWakeTimer returns a timer that fires immediately.
func newWakeTimer() *wakeTimer {
	t := &wakeTimer{fired: make(chan struct{}, 1)}
	t.timer = time.AfterFunc(0, t.fire)
	return t
}

func (t *wakeTimer) fire() {
	select {
	case t.fired <- struct{}{}:
	default:
	}
}

// reset schedules the next expiration; a time in the past fires the timer immediately.
func (t *wakeTimer) reset(at time.Time) { t.timer.Reset(time.Until(at)) }

func (t *wakeTimer) stop() { t.timer.Stop() }
