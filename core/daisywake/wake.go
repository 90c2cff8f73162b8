// Package daisywake compares the wake-up times of state machines.
package daisywake

import "time"

// Sooner returns the earlier of two times, where the zero time means never.
func Sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
