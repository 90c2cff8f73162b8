package daisyforward

import "time"

// Limits limits the memory and the time that one request can use.
type Limits struct {
	// MaxReplayBytes is the number of bytes of a request's body that are kept so that the
	// request can be sent to another endpoint after it was shed.
	MaxReplayBytes int
	// StallTimeout is the maximum time during which a caller or an endpoint may send or
	// accept no byte of a body.
	StallTimeout time.Duration
	// MaxResponseBytes limits the body of a response. A response that is longer, or that
	// takes longer than MaxResponseTime, is broken off; 0 means no limit.
	MaxResponseBytes int64
	// MaxResponseTime limits the time from the header of a response to its end; 0 means no
	// limit.
	MaxResponseTime time.Duration
}

// DefaultLimits returns the limits that a VM uses by default.
func DefaultLimits() Limits {
	return Limits{
		MaxReplayBytes:   64 << 10,
		StallTimeout:     30 * time.Second,
		MaxResponseBytes: 1 << 30,
		MaxResponseTime:  10 * time.Minute,
	}
}

// headerDelay is the time that the header of a response of known length waits for the
// first byte of the body, so that both can be sent in one write.
const headerDelay = 2 * time.Millisecond
