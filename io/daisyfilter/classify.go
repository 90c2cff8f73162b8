package daisyfilter

import (
	"net/http"
	"time"

	"daisyyoke/core/daisyrank"
)

// Headers that callers set.
const (
	RankHeader    = "Daisy-Rank"
	TimeoutHeader = "Daisy-Timeout"
)

// Classify reads the rank and the timeout of a request.
type Classify struct{}

func (Classify) filter() {}

func (f Classify) apply(call *Call) Verdict {
	rank, ok := f.rank(call)
	if !ok {
		return refuse(http.StatusBadRequest, "The service carries no such rank")
	}
	timeout, ok := f.timeout(call, rank)
	if !ok {
		return refuse(http.StatusBadRequest, TimeoutHeader+" has to be a positive duration, for instance 250ms")
	}
	r := &call.Request
	r.Rank = rank
	r.Arrived = call.Arrived
	r.Deadline = call.Arrived.Add(timeout)
	r.Idempotent = isIdempotent(call.HTTP.Method)
	r.Hedgeable = r.Idempotent && call.HTTP.ContentLength == 0
	return GoOn{}
}

func (Classify) rank(call *Call) (daisyrank.Index, bool) {
	name := call.HTTP.Header.Get(RankHeader)
	if name == "" {
		return call.Service.DefaultRank, true
	}
	return call.Service.FindRank(daisyrank.Name(name))
}

func (Classify) timeout(call *Call, rank daisyrank.Index) (time.Duration, bool) {
	text := call.HTTP.Header.Get(TimeoutHeader)
	if text == "" {
		return call.Service.Ranks[rank].Target, true
	}
	timeout, err := time.ParseDuration(text)
	return timeout, err == nil && timeout > 0
}

// isIdempotent follows RFC 9110, section 9.2.2.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
