package daisyfilter

import (
	"net/http"
	"sync/atomic"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/io/daisyproblem"
)

// admitRetryAfter is what a caller is asked to wait when too many requests are in hand.
const admitRetryAfter = time.Second

// Admit bounds the requests that are in hand at a time, of all services together.
type Admit struct {
	limit   int64
	running atomic.Int64
}

// NewAdmit gives a filter that lets up to limit requests in.
func NewAdmit(limit int) *Admit { return &Admit{limit: int64(limit)} }

func (*Admit) filter() {}

func (f *Admit) apply() Verdict {
	if f.running.Add(1) <= f.limit {
		return GoOn{}
	}
	f.leave()
	return Answer{Problem: daisyproblem.Problem{
		Status:     http.StatusTooManyRequests,
		Title:      "Too many requests are in hand",
		Run:        daisyrequest.NotRun,
		RetryAfter: admitRetryAfter,
	}}
}

func (f *Admit) leave() { f.running.Add(-1) }

// Running gives the number of requests in hand.
func (f *Admit) Running() int { return int(f.running.Load()) }
