package daisyfilter

import (
	"net/http"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/io/daisyproblem"
)

// configurationRetryAfter is what callers of a VM without a configuration are asked to wait.
const configurationRetryAfter = time.Second

// Configuration says whether one is in force.
type Configuration interface{ Configured() bool }

// AwaitConfiguration refuses requests while no configuration is in force: an
// unknown service can then not be told from one that is not known yet.
type AwaitConfiguration struct{ Configuration Configuration }

func (AwaitConfiguration) filter() {}

func (f AwaitConfiguration) apply() Verdict {
	if f.Configuration.Configured() {
		return GoOn{}
	}
	return Answer{Problem: daisyproblem.Problem{
		Status:     http.StatusServiceUnavailable,
		Title:      "No configuration is in force yet",
		Run:        daisyrequest.NotRun,
		RetryAfter: configurationRetryAfter,
	}}
}
