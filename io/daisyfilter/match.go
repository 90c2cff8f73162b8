package daisyfilter

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/io/daisyproblem"
)

// Timeouts knows the timeouts that callers send.
type Timeouts interface {
	// Elapsed estimates how long a caller has already waited, given that it will
	// wait for timeout from now on.
	Elapsed(route daisypath.Route, timeout time.Duration) time.Duration
}

// CallReader reads the properties of a request that callers set in its header.
type CallReader interface {
	// Timeout returns how long the caller will wait, or 0 if it sets no timeout. It
	// reports false if the value is invalid.
	Timeout(header http.Header) (time.Duration, bool)
	// RequestName returns the caller's own identifier for the request, or an empty
	// name if it gives none.
	RequestName(header http.Header) daisyrequest.Name
}

// matchRetryAfter is the Retry-After time if a route leads to no service.
const matchRetryAfter = 250 * time.Millisecond

// Match finds the route of a request by its host and path, selects one of the
// route's services, and sets the rank, the deadline and the other properties of
// the request from the route. The caller's timeout applies if it is shorter than
// the route's.
type Match struct {
	Timeouts Timeouts
	Reader   CallReader
}

func (Match) filter() {}

func (f Match) apply(call *Call) Verdict {
	call.Request.Name = f.Reader.RequestName(call.HTTP.Header)
	route, ok := call.Config.FindRoute(hostName(call.HTTP.Host), call.HTTP.URL.EscapedPath())
	if !ok {
		return reject(http.StatusNotFound, "No route for this host and path")
	}
	timeout, ok := f.Reader.Timeout(call.HTTP.Header)
	if !ok {
		return reject(http.StatusBadRequest, "The time to wait has to be a positive number")
	}
	elapsed := f.Timeouts.Elapsed(route, timeout)
	if timeout == 0 || timeout > route.Timeout {
		timeout = route.Timeout
	}
	part, ok := route.Part(rand.Float64())
	if !ok {
		return f.unknownService()
	}
	service, ok := call.Config.FindService(part.Service)
	if !ok {
		return f.unknownService()
	}
	call.Service = service
	call.Route = route
	r := &call.Request
	r.Service = part.Service
	r.Rank = route.Rank
	r.Arrived = call.Arrived
	r.Deadline = call.Arrived.Add(timeout)
	r.Target = call.Arrived.Add(route.Target - elapsed)
	r.Attempts = route.Attempts
	r.Idempotent = route.Idempotent
	r.Hedgeable = route.Idempotent && call.HTTP.ContentLength == 0
	return Continue{}
}

// unknownService rejects a request with Retry-After, because the declaration of
// the service may still arrive.
func (Match) unknownService() Verdict {
	return Reject{Problem: daisyproblem.Problem{
		Status:     http.StatusServiceUnavailable,
		Title:      "The service of the route is not known yet",
		Run:        daisyrequest.NotRun,
		RetryAfter: matchRetryAfter,
	}}
}

// hostName returns the value of a Host header without the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
