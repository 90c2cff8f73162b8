package daisyfilter

import (
	"net/http"
	"sync/atomic"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/io/daisyproblem"
)

// admitRetryAfter is the Retry-After time if too many requests are in flight.
const admitRetryAfter = time.Second

// Admit limits the number of requests in flight, over all services together.
type Admit struct {
	limit    int64
	inFlight atomic.Int64
}

// NewAdmit returns a filter that admits up to limit requests at a time.
func NewAdmit(limit int) *Admit { return &Admit{limit: int64(limit)} }

func (*Admit) filter() {}

func (f *Admit) apply() Verdict {
	if f.inFlight.Add(1) <= f.limit {
		return Continue{}
	}
	f.release()
	return Reject{Problem: daisyproblem.Problem{
		Status:     http.StatusTooManyRequests,
		Title:      "Too many requests are in hand",
		Run:        daisyrequest.NotRun,
		RetryAfter: admitRetryAfter,
	}}
}

func (f *Admit) release() { f.inFlight.Add(-1) }

// InFlight returns the number of requests in flight.
func (f *Admit) InFlight() int { return int(f.inFlight.Load()) }
