package daisyrequest

import "time"

// Outcome is the result of one attempt, known when the response header arrives or
// the attempt fails. It is one of Answered, Shed, Misdirected, NotSent, BrokenOff,
// TimedOut and Canceled.
type Outcome interface{ outcome() }

// Answered means that the endpoint's response header arrived.
type Answered struct {
	Status int
	// ResponseTime is the time from sending the request to the arrival of the response header.
	ResponseTime time.Duration
}

const (
	// tooManyRequests is the status code by which an endpoint limits a caller (RFC 6585, 4).
	tooManyRequests = 429
	// minServerError is the lowest status code of the class of server errors (RFC 9110, 15.6).
	minServerError = 500
)

// ServerError reports whether the status code is a server error.
func (a Answered) ServerError() bool { return a.Status >= minServerError }

// Ran reports whether the status code shows that the endpoint has run the request: it may
// limit a caller, or fail, before it begins to.
func (a Answered) Ran() bool { return a.Status != tooManyRequests && !a.ServerError() }

// Shed means that the endpoint refused the request under load and did not run it.
type Shed struct{ ResponseTime time.Duration }

// Misdirected means that a different endpoint now uses the address, and that it
// did not run the request.
type Misdirected struct{}

// NotSent means that no byte of the request was sent, for instance because no
// connection could be established.
type NotSent struct{ Cause error }

// BrokenOff means that the connection broke after some of the request may have
// been sent and before a response began. The endpoint may have run the request.
type BrokenOff struct {
	Cause error
	// Closed reports whether the endpoint closed or reset the connection, as it does when it
	// crashes. Otherwise daisyyoke gave up on it.
	Closed bool
}

// TimedOut means that the deadline passed before a response began. The endpoint
// may have run the request.
type TimedOut struct{}

// Canceled means that daisyyoke or the caller canceled the attempt.
type Canceled struct{}

func (Answered) outcome()    {}
func (Shed) outcome()        {}
func (Misdirected) outcome() {}
func (NotSent) outcome()     {}
func (BrokenOff) outcome()   {}
func (TimedOut) outcome()    {}
func (Canceled) outcome()    {}

// Run is whether an endpoint may have run a request.
type Run int

const (
	// NotRun guarantees that no endpoint has run the request or will run it.
	NotRun Run = iota
	// MayHaveRun means that an endpoint may have run the request.
	MayHaveRun
)

// RunOf returns whether the endpoint may have run the request, given the outcome of
// its attempt.
func RunOf(o Outcome) Run {
	switch o.(type) {
	case Shed, Misdirected, NotSent:
		return NotRun
	case Answered, BrokenOff, TimedOut, Canceled:
		return MayHaveRun
	}
	return MayHaveRun
}
