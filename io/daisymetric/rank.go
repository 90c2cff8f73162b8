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
	// Served passed an endpoint's whole answer on.
	Served Outcome = iota
	// Cut broke an answer off that had begun.
	Cut
	// Refused is an answer 429.
	Refused
	// NoEndpoint is an answer 503.
	NoEndpoint
	// TimedOut is an answer 504.
	TimedOut
	// EndpointBroke is an answer 502.
	EndpointBroke
	// Abandoned was given up by its caller.
	Abandoned
	outcomes int = iota
)

var outcomeNames = [outcomes]string{"served", "cut", "refused", "no-endpoint", "timed-out", "endpoint-broke", "abandoned"}

// String gives the outcome in kebab case.
func (o Outcome) String() string { return outcomeNames[o] }

// Rank holds the metrics of one rank of a service. Its methods do nothing on a nil pointer.
type Rank struct {
	requests [outcomes]*metrics.Counter
	attempts map[string]*metrics.Counter
	canceled *metrics.Counter
	inFlight *metrics.Gauge
	waiting  *metrics.Gauge
	latency  *metrics.Histogram
	waited   *metrics.Histogram
	added    *metrics.Histogram
}

// attemptReasons are those of daisyroute.Reason.
var attemptReasons = []string{"first", "retry", "hedge"}

func newRank(set *metrics.Set, service daisyservice.ID, rank daisyrank.Name) *Rank {
	labels := fmt.Sprintf("fleet=%q,service=%q,rank=%q", string(service.Fleet), service.Name, string(rank))
	name := func(metric string) string { return "daisyyoke_" + metric + "{" + labels + "}" }
	r := &Rank{
		attempts: make(map[string]*metrics.Counter),
		canceled: set.GetOrCreateCounter(name("attempts_canceled_total")),
		inFlight: set.GetOrCreateGauge(name("requests_in_flight"), nil),
		waiting:  set.GetOrCreateGauge(name("requests_waiting"), nil),
		latency:  set.GetOrCreateHistogram(name("request_duration_seconds")),
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

// Begin counts a request that was handed to routing.
func (r *Rank) Begin() {
	if r != nil {
		r.inFlight.Inc()
		r.waiting.Inc()
	}
}

// Attempt counts a send, with the reason's name and how long the request waited for it.
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

// Cancel counts an attempt that was given up.
func (r *Rank) Cancel() {
	if r != nil {
		r.canceled.Inc()
	}
}

// End counts how a request ended. Sent says that it had an attempt.
func (r *Rank) End(outcome Outcome, sent bool, took time.Duration) {
	if r == nil {
		return
	}
	r.inFlight.Dec()
	if !sent {
		r.waiting.Dec()
	}
	r.requests[outcome].Inc()
	r.latency.Update(seconds(took))
}

// Added counts the time from the arrival to the answer's header less the wait
// for a slot and the endpoint's own time.
func (r *Rank) Added(added time.Duration) {
	if r != nil {
		r.added.Update(seconds(added))
	}
}
