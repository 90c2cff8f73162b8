package daisyforward

import "time"

// Limits bound what one request may hold.
type Limits struct {
	// Replay is the number of bytes of a request's body that are kept, so that a
	// request that was shed can go to another endpoint.
	Replay int
	// Stall is how long either side may send no byte of a body, or take none.
	Stall time.Duration
}

// DefaultLimits are the limits that a VM uses unless told otherwise.
func DefaultLimits() Limits { return Limits{Replay: 64 << 10, Stall: 30 * time.Second} }

const (
	// headerDelay is how long an answer's header of known length waits for the
	// first byte of its body, to leave in one write with it.
	headerDelay = 2 * time.Millisecond
	// maxInterim bounds the interim answers (1xx) that wait to be passed on.
	maxInterim = 8
)
