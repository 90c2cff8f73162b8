package daisyforward

import (
	"context"
	"net/http"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/io/daisyproblem"
)

// attempt is one send to an endpoint.
type attempt struct {
	id       daisyrequest.AttemptID
	cancel   context.CancelFunc
	response *http.Response
	// done is closed when response is set or the attempt has failed.
	done chan struct{}
}

func newAttempt(ctx context.Context, x *exchange, send daisyroute.Send) *attempt {
	ctx, cancel := context.WithDeadline(ctx, send.Deadline)
	a := &attempt{id: send.Attempt, cancel: cancel, done: make(chan struct{})}
	request := x.call.HTTP.Clone(ctx)
	request.URL.Scheme = "http"
	request.URL.Host = send.Endpoint.String()
	request.RequestURI = ""
	go func() {
		start := time.Now()
		response, err := x.forwarder.transport.RoundTrip(request)
		a.response = response
		close(a.done)
		x.ticket.Resolve(a.id, outcomeOf(response, err, time.Since(start)), false)
	}()
	return a
}

func outcomeOf(response *http.Response, err error, took time.Duration) daisyrequest.Outcome {
	if err != nil {
		return daisyrequest.BrokenOff{Cause: err}
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(daisyproblem.RunHeader) == daisyproblem.NotRunValue {
		return daisyrequest.Shed{Took: took}
	}
	return daisyrequest.Answered{Status: response.StatusCode, Took: took}
}
