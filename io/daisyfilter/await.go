package daisyfilter

import (
	"net/http"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/io/daisyproblem"
)

// configurationRetryAfter is the Retry-After time if no configuration is in force.
const configurationRetryAfter = time.Second

// Configuration holds the configuration of the VM.
type Configuration interface {
	// Configured reports whether a configuration is in force.
	Configured() bool
}

// AwaitConfiguration rejects requests while no configuration is in force, because
// a service that does not exist cannot then be distinguished from one whose
// declaration has not arrived yet.
type AwaitConfiguration struct{ Configuration Configuration }

func (AwaitConfiguration) filter() {}

func (f AwaitConfiguration) apply() Verdict {
	if f.Configuration.Configured() {
		return Continue{}
	}
	return Reject{Problem: daisyproblem.Problem{
		Status:     http.StatusServiceUnavailable,
		Title:      "No configuration is in force yet",
		Run:        daisyrequest.NotRun,
		RetryAfter: configurationRetryAfter,
	}}
}
