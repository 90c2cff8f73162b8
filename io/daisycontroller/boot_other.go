//go:build !linux

package daisycontroller

import "time"

// bootNow returns the current time without a monotonic clock, which would not include the
// time for which the machine was suspended.
func bootNow() time.Time { return time.Now().Round(0) }
