package daisyrequest

import "time"

// Failure is the reason why daisyyoke responds to a request with an error of its
// own. It is one of Overloaded, NoEndpoint, Quarantined, DeadlinePassed and EndpointFailed.
type Failure interface{ failure() }

// Overloaded means that the request was rejected to protect more urgent requests
// or the endpoints. It was not run.
type Overloaded struct{ RetryAfter time.Duration }

// NoEndpoint means that no endpoint ran the request and that it is not sent again: no
// endpoint is usable, or no retry is possible or allowed.
type NoEndpoint struct{ RetryAfter time.Duration }

// Quarantined means that requests which are the same have crashed endpoints, and that this
// one was not run.
type Quarantined struct{ RetryAfter time.Duration }

// DeadlinePassed means that the request timed out. Run is whether an endpoint may
// have run the request; RetryAfter is 0 if one may have.
type DeadlinePassed struct {
	Run        Run
	RetryAfter time.Duration
}

// EndpointFailed means that the endpoint failed before its response began. It may
// have run the request.
type EndpointFailed struct{}

func (Overloaded) failure()     {}
func (NoEndpoint) failure()     {}
func (Quarantined) failure()    {}
func (DeadlinePassed) failure() {}
func (EndpointFailed) failure() {}
