package daisyendpoint

import "time"

// Notice is what an endpoint asks of a VM in an answer, beside the load that it reports.
// It is one of Leaving, Pausing and Malformed; nil asks for nothing.
type Notice interface{ notice() }

// Leaving means that the incarnation that sent the answer is going to stop: it takes no
// new work until a later incarnation is declared.
type Leaving struct{}

// Pausing means that the endpoint wants no request, probe or trial from the VM for a time.
type Pausing struct {
	For time.Duration
	// Asked is the time that the endpoint named, which may be longer than For.
	Asked time.Duration
}

// Malformed means that the endpoint asked for something that cannot be read.
type Malformed struct{ Text string }

func (Leaving) notice()   {}
func (Pausing) notice()   {}
func (Malformed) notice() {}

// maxPause is the longest pause that is kept: after it a single request finds out
// whether an endpoint that named a longer one by mistake can be used.
const maxPause = 10 * time.Minute

// NewPause returns the notice of an endpoint that wants nothing for a time. It returns
// nil if the time has passed already.
func NewPause(asked time.Duration) Notice {
	if asked <= 0 {
		return nil
	}
	return Pausing{For: min(asked, maxPause), Asked: asked}
}
