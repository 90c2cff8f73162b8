// Package daisyproblem writes the answers of daisyyoke's own, as problem
// details (RFC 9457) with the header Daisy-Run.
package daisyproblem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"daisyyoke/core/daisyrequest"
)

// Problem is an answer of daisyyoke's own.
type Problem struct {
	Status int
	Title  string
	Detail string
	Run    daisyrequest.Run
	// RetryAfter is sent in whole seconds, rounded up; 0 sends none.
	RetryAfter time.Duration
	// Allow lists the allowed methods of a 405; empty sends none.
	Allow string
}

// RunHeader is the name of the header that says whether an endpoint may have run the request.
const RunHeader = "Daisy-Run"

// Values of RunHeader.
const (
	NotRunValue  = "not-run"
	UnknownValue = "unknown"
)

type document struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
}

// Writer writes problems in the form that callers understand.
type Writer interface {
	// WriteProblem sends the problem as the whole answer and gives the HTTP status that it has there.
	WriteProblem(w http.ResponseWriter, p Problem) (status int)
}

// Native writes problems with the headers of daisyyoke's own interface.
type Native struct{}

// WriteProblem sends the problem with Daisy-Run and Retry-After.
func (Native) WriteProblem(w http.ResponseWriter, p Problem) (status int) {
	h := w.Header()
	h.Set(RunHeader, runValue(p.Run))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	p.Write(w)
	return p.Status
}

// Write sends the status and the document; the headers that depend on the form come before.
func (p Problem) Write(w http.ResponseWriter) {
	body, err := json.Marshal(document{Type: "about:blank", Title: p.Title, Status: p.Status, Detail: p.Detail})
	if err != nil {
		body = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.Allow != "" {
		h.Set("Allow", p.Allow)
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

func runValue(r daisyrequest.Run) string {
	switch r {
	case daisyrequest.NotRun:
		return NotRunValue
	case daisyrequest.MayHaveRun:
		return UnknownValue
	}
	return UnknownValue
}

// FromFailure gives the answer for a failure of routing.
func FromFailure(failure daisyrequest.Failure) Problem {
	switch f := failure.(type) {
	case daisyrequest.Overloaded:
		return Problem{
			Status:     http.StatusTooManyRequests,
			Title:      "Refused to protect more urgent work or the endpoints",
			Run:        daisyrequest.NotRun,
			RetryAfter: f.RetryAfter,
		}
	case daisyrequest.NoEndpoint:
		return Problem{
			Status:     http.StatusServiceUnavailable,
			Title:      "No endpoint can take the request now",
			Run:        daisyrequest.NotRun,
			RetryAfter: f.RetryAfter,
		}
	case daisyrequest.DeadlinePassed:
		return Problem{Status: http.StatusGatewayTimeout, Title: "The timeout passed", Run: f.Run, RetryAfter: f.RetryAfter}
	case daisyrequest.EndpointFailed:
		return Problem{
			Status: http.StatusBadGateway,
			Title:  "The endpoint broke off before its answer began",
			Run:    daisyrequest.MayHaveRun,
		}
	}
	return Problem{Status: http.StatusInternalServerError, Title: "Unknown failure", Run: daisyrequest.MayHaveRun}
}
