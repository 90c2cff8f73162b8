package daisyforward

import (
	"context"
	"time"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/io/daisylog"
	"daisyyoke/io/daisyresponse"
)

// subject returns the fields that identify the request in log lines.
func (x *exchange) subject() daisylog.Subject {
	r := x.ticket.Request()
	return daisylog.Subject{
		Service:  r.Service,
		Rank:     x.rank,
		Request:  r.ID,
		Name:     r.Name,
		Route:    x.call.Route.Name,
		Revision: x.call.Route.Revision,
		Account:  r.Account,
	}
}

func (x *exchange) logSend(d daisyroute.Send) {
	if x.forwarder.log == nil {
		return
	}
	now := time.Now()
	age, _ := x.call.ConfigAge()
	x.forwarder.log.Write(daisylog.Sent{
		Subject:       x.subject(),
		Attempt:       d.Attempt,
		Endpoint:      d.Endpoint,
		Instance:      d.Instance,
		Reason:        d.Reason.String(),
		Choice:        d.Choice.String(),
		Considered:    d.Considered,
		FreeEndpoints: d.FreeEndpoints,
		Report:        d.Report,
		ReportAge:     now.Sub(d.Report.At),
		RateLimit:     d.RateLimit,
		RateUsed:      d.RateUsed,
		Waited:        d.Waited,
		Remaining:     d.Deadline.Sub(now),
		ConfigAge:     age,
	})
}

func (x *exchange) logAttemptFailed(a *attempt, outcome daisyrequest.Outcome, responseTime time.Duration) {
	if x.forwarder.log == nil {
		return
	}
	kind, cause := describe(outcome)
	x.forwarder.log.Write(daisylog.AttemptFailed{
		Subject:      x.subject(),
		Attempt:      a.send.Attempt,
		Endpoint:     a.send.Endpoint,
		Outcome:      kind,
		Cause:        cause,
		ResponseTime: responseTime,
		Fingerprint:  x.fingerprint(),
	})
}

// countMalformed counts a response that is not valid, if one led to err.
func (x *exchange) countMalformed(err error) {
	if kind := daisyresponse.KindOf(err); kind != "" {
		x.forwarder.metrics.MalformedResponse(x.call.Service.ID, kind)
	}
}

// describe returns the kind of an outcome in kebab case and the text of the error
// that caused it.
func describe(outcome daisyrequest.Outcome) (kind, cause string) {
	switch o := outcome.(type) {
	case daisyrequest.Answered:
		return "answered", ""
	case daisyrequest.Shed:
		return "shed", ""
	case daisyrequest.Misdirected:
		return "misdirected", ""
	case daisyrequest.NotSent:
		return "not-sent", daisyerror.Text(o.Cause)
	case daisyrequest.BrokenOff:
		return "broken-off", daisyerror.Text(o.Cause)
	case daisyrequest.TimedOut:
		return "timed-out", ""
	case daisyrequest.Canceled:
		return "canceled", ""
	}
	return "unknown", ""
}

// logAnswered logs the end of a response, and the cause if it broke off.
func (x *exchange) logAnswered(a *attempt, status int, err error) {
	if x.forwarder.log == nil {
		return
	}
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	if reason := context.Cause(a.ctx); err != nil && reason != nil {
		cause = reason.Error()
	}
	x.forwarder.log.Write(daisylog.Answered{
		Subject:  x.subject(),
		Attempt:  a.send.Attempt,
		Endpoint: a.send.Endpoint,
		Status:   status,
		Complete: err == nil,
		Cause:    cause,
		Attempts: len(x.attempts),
		Duration: time.Since(x.call.Arrived),
	})
}

func (x *exchange) logFail(d daisyroute.Fail, status int, retryAfter time.Duration) {
	if x.forwarder.log == nil {
		return
	}
	x.forwarder.log.Write(daisylog.Refused{
		Subject:    x.subject(),
		Cause:      d.Cause.String(),
		Status:     status,
		Attempts:   len(x.attempts),
		Waited:     d.Waited,
		Remaining:  d.Remaining,
		Expected:   d.Expected,
		RetryAfter: retryAfter,
	})
}

func (x *exchange) logAbandoned() {
	if x.forwarder.log == nil {
		return
	}
	x.forwarder.log.Write(daisylog.Abandoned{
		Subject:  x.subject(),
		Attempts: len(x.attempts),
		Duration: time.Since(x.call.Arrived),
	})
}

func (x *exchange) logCancel(a *attempt) {
	if x.forwarder.log == nil {
		return
	}
	x.forwarder.log.Write(daisylog.Canceled{Subject: x.subject(), Attempt: a.send.Attempt, Endpoint: a.send.Endpoint})
}
