package daisyfilter

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisyproblem"
)

const (
	// currentRetryAfter is the Retry-After time if the configuration may be too old. A VM
	// that hears of the store again has a current one within a second.
	currentRetryAfter = time.Second
	// revocationMargin is the part of the revocation time, as one in revocationMargin, by
	// which the age of the configuration stays below it. The clock of the VM may differ in
	// speed by 1 in 1,000 from the clock that the revocation time is measured with.
	revocationMargin = 50
)

// RequireCurrentOptions are the dependencies and settings of a RequireCurrent filter.
type RequireCurrentOptions struct {
	Age ConfigurationAge
	// RevocationTime is the time after which no request with a revoked key may be accepted;
	// 0 if there is no such limit.
	RevocationTime time.Duration
	Logger         hclog.Logger
	Metrics        *daisymetric.Metrics
}

// RequireCurrent rejects requests with a client account if the configuration may be so old
// that their key was revoked longer ago than allowed. It follows the filter that sets the
// account. A request that it lets pass was sent by its client early enough, however long it
// then waits.
type RequireCurrent struct {
	options RequireCurrentOptions
	maxAge  time.Duration
	// rejecting reports whether the last request was rejected.
	rejecting atomic.Bool
}

// NewRequireCurrent returns a RequireCurrent filter.
func NewRequireCurrent(options RequireCurrentOptions) *RequireCurrent {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	return &RequireCurrent{options: options, maxAge: options.RevocationTime - options.RevocationTime/revocationMargin}
}

func (*RequireCurrent) filter() {}

// apply reads the clock now, after the request was read: the VM may have been suspended
// between the arrival of the request and this moment.
func (f *RequireCurrent) apply(call *Call) Verdict {
	if f.options.RevocationTime <= 0 || call.Account.Name == "" {
		return Continue{}
	}
	age := f.options.Age.Now() - call.ConfigKnownAt
	if call.ConfigKnownAt > 0 && age < f.maxAge {
		if f.rejecting.CompareAndSwap(true, false) {
			f.options.Logger.Info("configuration is current again; serving requests with a client account", "age-bound", age.String())
		}
		return Continue{}
	}
	call.ConfigAgeBound = age
	if call.ConfigKnownAt <= 0 {
		call.ConfigAgeBound = -1
	}
	if f.rejecting.CompareAndSwap(false, true) {
		f.options.Logger.Warn("configuration may be too old; rejecting requests with a client account",
			"known", call.ConfigKnownAt > 0, "age-bound", age.String(), "limit", f.maxAge.String())
	}
	f.options.Metrics.OutdatedRejection()
	return Reject{Problem: daisyproblem.Problem{
		Status:     http.StatusServiceUnavailable,
		Title:      "The configuration may be too old to accept the key",
		Run:        daisyrequest.NotRun,
		RetryAfter: currentRetryAfter,
	}}
}
