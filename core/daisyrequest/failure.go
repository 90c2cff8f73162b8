package daisyrequest

import "time"

// Failure is why daisyyoke answers a request itself. It is one of Overloaded,
// NoEndpoint, DeadlinePassed and EndpointBroke.
type Failure interface{ failure() }

// Overloaded refuses a request to protect more urgent work or the endpoints; it was not run.
type Overloaded struct{ RetryAfter time.Duration }

// NoEndpoint says that no endpoint can take the request now; it was not run.
type NoEndpoint struct{ RetryAfter time.Duration }

// DeadlinePassed says that the timeout passed. Run says whether an attempt was under
// way; RetryAfter is 0 if one was.
type DeadlinePassed struct {
	Run        Run
	RetryAfter time.Duration
}

// EndpointBroke says that the endpoint broke off before its answer began; it may have run the request.
type EndpointBroke struct{}

func (Overloaded) failure()     {}
func (NoEndpoint) failure()     {}
func (DeadlinePassed) failure() {}
func (EndpointBroke) failure()  {}
