// Package daisyrank describes the ranks of work that a service carries.
package daisyrank

import "time"

// Name names a rank, for instance "urgent".
type Name string

// Index is the place of a rank in its service's order of urgency; 0 is the most urgent.
type Index int

// Rank is one rank of work.
type Rank struct {
	Name Name
	// Target is the time within which a request of the rank should be answered.
	Target time.Duration
	// Worth weighs an answer of this rank against answers of other ranks.
	Worth float64
	// Floor is the share of a service's slots, from 0 to 1, that the rank keeps
	// under any flood of other ranks while it has work.
	Floor float64
}
