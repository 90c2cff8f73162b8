package daisycontroller

import (
	"time"

	"golang.org/x/sys/unix"

	"daisyyoke/core/daisyerror"
)

// BootClock returns a function that returns the time since the VM booted, including the time
// in which it was suspended. It fails with daisyerror.Unavailable.
func BootClock() (func() time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return nil, daisyerror.Unavailable.Wrap(err, "reading the time since boot")
	}
	return func() time.Duration {
		var t unix.Timespec
		// The only errors are those of the first call.
		_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
		return time.Duration(t.Nano())
	}, nil
}
