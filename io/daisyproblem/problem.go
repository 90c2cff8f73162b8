// Package daisyproblem writes the error responses of daisyyoke's own, as problem
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

// Problem is an error response of daisyyoke's own, as opposed to a response of an endpoint.
type Problem struct {
	Status int
	Title  string
	Detail string
	Run    daisyrequest.Run
	// RetryAfter is sent in whole seconds, rounded up. If it is 0, the header is omitted.
	RetryAfter time.Duration
	// Allow lists the allowed methods for status 405. If it is empty, the header is omitted.
	Allow string
	// Challenge is the value of WWW-Authenticate for status 401. If it is empty, the header is
	// omitted.
	Challenge string
}

// RunHeader is the name of the header that reports whether an endpoint may have run the request.
const RunHeader = "Daisy-Run"

// Values of RunHeader.
const (
	NotRunValue  = "not-run"
	UnknownValue = "unknown"
)

// problemDetails is the JSON object of a problem (RFC 9457, 3).
type problemDetails struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
}

// Writer writes problems in the format of one front end's callers.
type Writer interface {
	// WriteProblem writes the problem as the complete response and returns the HTTP status that it used.
	WriteProblem(w http.ResponseWriter, p Problem) (status int)
}

// Native writes problems with the headers of daisyyoke's own HTTP interface.
type Native struct{}

// WriteProblem writes the problem with the headers Daisy-Run and Retry-After.
func (Native) WriteProblem(w http.ResponseWriter, p Problem) (status int) {
	h := w.Header()
	h.Set(RunHeader, runValue(p.Run))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	p.Write(w)
	return p.Status
}

// Write writes the status and the JSON document. Headers that differ between
// implementations of Writer have to be set before.
func (p Problem) Write(w http.ResponseWriter) {
	body, err := json.Marshal(problemDetails{Type: "about:blank", Title: p.Title, Status: p.Status, Detail: p.Detail})
	if err != nil {
		body = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.Allow != "" {
		h.Set("Allow", p.Allow)
	}
	if p.Challenge != "" {
		h.Set("WWW-Authenticate", p.Challenge)
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

// FromFailure returns the problem for a failure of routing.
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
	case daisyrequest.Quarantined:
		return Problem{
			Status:     http.StatusServiceUnavailable,
			Title:      "Requests like this one have crashed endpoints",
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
