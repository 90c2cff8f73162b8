package daisyfilter

import (
	"net/http"
	"time"

	"daisyyoke/core/daisyrank"
)

// Names of the headers by which callers set the rank and the timeout of a request.
const (
	RankHeader    = "Daisy-Rank"
	TimeoutHeader = "Daisy-Timeout"
)

// Classify determines the rank and the deadline of a request from its headers, or
// from the declaration of its service if the headers are missing, and whether the
// request is idempotent.
type Classify struct{}

func (Classify) filter() {}

func (f Classify) apply(call *Call) Verdict {
	rank, ok := f.rank(call)
	if !ok {
		return reject(http.StatusBadRequest, "The service carries no such rank")
	}
	timeout, ok := f.timeout(call, rank)
	if !ok {
		return reject(http.StatusBadRequest, TimeoutHeader+" has to be a positive duration, for instance 250ms")
	}
	r := &call.Request
	r.Rank = rank.Name
	r.Arrived = call.Arrived
	r.Deadline = call.Arrived.Add(timeout)
	r.Idempotent = isIdempotent(call.HTTP.Method)
	r.Hedgeable = r.Idempotent && call.HTTP.ContentLength == 0
	return Continue{}
}

func (Classify) rank(call *Call) (daisyrank.Rank, bool) {
	values := call.HTTP.Header[RankHeader]
	switch len(values) {
	case 0:
		return call.Service.Default()
	case 1:
		return call.Service.FindRank(daisyrank.Name(values[0]))
	}
	return daisyrank.Rank{}, false
}

func (Classify) timeout(call *Call, rank daisyrank.Rank) (time.Duration, bool) {
	values := call.HTTP.Header[TimeoutHeader]
	switch len(values) {
	case 0:
		return rank.Target, true
	case 1:
		timeout, err := time.ParseDuration(values[0])
		return timeout, err == nil && timeout > 0
	}
	return 0, false
}

// isIdempotent reports whether a method is idempotent by RFC 9110, section 9.2.2.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
