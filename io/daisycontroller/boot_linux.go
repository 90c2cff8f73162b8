package daisycontroller

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootNow returns the time since the machine started, as the time since the epoch. Unlike
// that of now, it includes the time for which the machine was suspended.
func bootNow() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel since 2.6.39 has this clock.
		return time.Now()
	}
	return time.Unix(0, t.Nano())
}
