//go:build !linux

package daisycontroller

import (
	"time"

	"daisyyoke/core/daisyerror"
)

// BootClock fails with daisyerror.Unavailable, since only Linux has a clock that is known to
// include the time in which the VM was suspended.
func BootClock() (func() time.Duration, error) {
	return nil, daisyerror.Unavailable.New("the time since boot is known on Linux only")
}
