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
}

// DefaultLimits returns the limits that a VM uses by default.
func DefaultLimits() Limits { return Limits{MaxReplayBytes: 64 << 10, StallTimeout: 30 * time.Second} }

const (
	// headerDelay is the time that the header of a response of known length waits for
	// the first byte of the body, so that both can be sent in one write.
	headerDelay = 2 * time.Millisecond
	// maxInterim is the maximum number of interim responses (1xx) that an attempt
	// stores until they are forwarded.
	maxInterim = 8
)
