package daisymetric

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// Outcome is how a request ended.
type Outcome int

const (
	// Served means that an endpoint's complete response was forwarded.
	Served Outcome = iota
	// Interrupted means that the response broke off after it had begun.
	Interrupted
	// Refused means a response of daisyyoke's own with status 429.
	Refused
	// NoEndpoint means a response of daisyyoke's own with status 503.
	NoEndpoint
	// Quarantined means a response of daisyyoke's own with status 503, because requests
	// that are the same have crashed endpoints.
	Quarantined
	// TimedOut means a response of daisyyoke's own with status 504.
	TimedOut
	// EndpointFailed means a response of daisyyoke's own with status 502.
	EndpointFailed
	// Abandoned means that the caller canceled the request before a response.
	Abandoned
	outcomes int = iota
)

var outcomeNames = [outcomes]string{"served", "cut", "refused", "no-endpoint", "quarantined", "timed-out", "endpoint-broke", "abandoned"}

// String returns the outcome in kebab case.
func (o Outcome) String() string { return outcomeNames[o] }

// Rank holds the metrics of one rank of a service. Its methods do nothing on a nil pointer.
type Rank struct {
	requests [outcomes]*metrics.Counter
	attempts map[string]*metrics.Counter
	canceled *metrics.Counter
	inFlight *metrics.Gauge
	waiting  *metrics.Gauge
	duration *metrics.Histogram
	waited   *metrics.Histogram
	added    *metrics.Histogram
}

// attemptReasons are the names of daisyroute.Reason.
var attemptReasons = []string{"first", "retry", "hedge"}

func newRank(set *metrics.Set, service daisyservice.ID, rank daisyrank.Name) *Rank {
	labels := fmt.Sprintf("fleet=%q,service=%q,rank=%q", string(service.Fleet), service.Name, string(rank))
	name := func(metric string) string { return "daisyyoke_" + metric + "{" + labels + "}" }
	r := &Rank{
		attempts: make(map[string]*metrics.Counter),
		canceled: set.GetOrCreateCounter(name("attempts_canceled_total")),
		inFlight: set.GetOrCreateGauge(name("requests_in_flight"), nil),
		waiting:  set.GetOrCreateGauge(name("requests_waiting"), nil),
		duration: set.GetOrCreateHistogram(name("request_duration_seconds")),
		waited:   set.GetOrCreateHistogram(name("request_waited_seconds")),
		added:    set.GetOrCreateHistogram(name("request_added_seconds")),
	}
	for i, o := range outcomeNames {
		r.requests[i] = set.GetOrCreateCounter(fmt.Sprintf("daisyyoke_requests_total{%s,outcome=%q}", labels, o))
	}
	for _, a := range attemptReasons {
		r.attempts[a] = set.GetOrCreateCounter(fmt.Sprintf("daisyyoke_attempts_total{%s,reason=%q}", labels, a))
	}
	return r
}

// Begin counts a request that was passed to routing.
func (r *Rank) Begin() {
	if r != nil {
		r.inFlight.Inc()
		r.waiting.Inc()
	}
}

// Attempt counts an attempt by the name of its reason. Waited is the time that the
// request waited for a slot; it is recorded for the first attempt only.
func (r *Rank) Attempt(reason string, waited time.Duration) {
	if r == nil {
		return
	}
	if c := r.attempts[reason]; c != nil {
		c.Inc()
	}
	if reason == attemptReasons[0] {
		r.waiting.Dec()
		r.waited.Update(seconds(waited))
	}
}

// Cancel counts an attempt that was canceled.
func (r *Rank) Cancel() {
	if r != nil {
		r.canceled.Inc()
	}
}

// End counts a request by its outcome and records its duration. Sent reports whether it
// had an attempt.
func (r *Rank) End(outcome Outcome, sent bool, duration time.Duration) {
	if r == nil {
		return
	}
	r.inFlight.Dec()
	if !sent {
		r.waiting.Dec()
	}
	r.requests[outcome].Inc()
	r.duration.Update(seconds(duration))
}

// AddedLatency records the latency that daisyyoke added to a request: the time from its arrival
// to the response header, less the wait for a slot and the endpoint's response time.
func (r *Rank) AddedLatency(added time.Duration) {
	if r != nil {
		r.added.Update(seconds(added))
	}
}
