// Package daisyrank defines the priority ranks of a service's requests.
package daisyrank

import "time"

// Name is the name of a rank, for instance "urgent".
type Name string

// Index is the position of a rank among the ranks of its service; 0 is the most urgent.
type Index int

// Rank is the priority class of a request, with its latency target and its guaranteed capacity.
type Rank struct {
	Name Name
	// Target is the time within which a request of the rank should be answered.
	Target time.Duration
	// Worth is the weight of a response of this rank relative to responses of other ranks.
	Worth float64
	// Floor is the share of a service's slots, from 0 to 1, that is guaranteed to the
	// rank while it has requests, whatever the load from other ranks.
	Floor float64
}
