// Package daisyforward sends requests to endpoints and passes their answers back.
package daisyforward

import (
	"context"
	"io"
	"net/http"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyfilter"
	"daisyyoke/io/daisyproblem"
)

// Forwarder carries out what routing decides on each request.
type Forwarder struct {
	routes    *daisycontroller.Route
	transport http.RoundTripper
}

// New gives a forwarder that asks routes and sends over transport.
func New(routes *daisycontroller.Route, transport http.RoundTripper) *Forwarder {
	return &Forwarder{routes: routes, transport: transport}
}

// Forward takes one request to its end.
func (f *Forwarder) Forward(w http.ResponseWriter, call *daisyfilter.Call) {
	ticket, err := f.routes.Begin(call.Request)
	if err != nil {
		daisyproblem.FromFailure(daisyrequest.NoEndpoint{}).Write(w)
		return
	}
	defer ticket.Close()
	x := &exchange{forwarder: f, ticket: ticket, call: call, writer: w, answers: make(map[daisyrequest.AttemptID]*attempt)}
	x.run(call.HTTP.Context())
}

// exchange is one request with its attempts.
type exchange struct {
	forwarder *Forwarder
	ticket    *daisycontroller.Ticket
	call      *daisyfilter.Call
	writer    http.ResponseWriter
	answers   map[daisyrequest.AttemptID]*attempt
}

func (x *exchange) run(ctx context.Context) {
	for {
		select {
		case d := <-x.ticket.Decisions():
			if x.carryOut(ctx, d) {
				return
			}
		case <-ctx.Done():
			x.ticket.Abandon()
			return
		}
	}
}

func (x *exchange) carryOut(ctx context.Context, decision daisyroute.Decision) (ended bool) {
	switch d := decision.(type) {
	case daisyroute.Send:
		x.answers[d.Attempt] = newAttempt(ctx, x, d)
	case daisyroute.Deliver:
		x.deliver(x.answers[d.Attempt])
		return true
	case daisyroute.Fail:
		daisyproblem.FromFailure(d.Failure).Write(x.writer)
		return true
	case daisyroute.Cancel:
		x.answers[d.Attempt].cancel()
	case daisyroute.Tell, daisyroute.Probe:
	}
	return false
}

func (x *exchange) deliver(a *attempt) {
	<-a.done
	defer a.cancel()
	header := x.writer.Header()
	for k, v := range a.response.Header {
		header[k] = v
	}
	x.writer.WriteHeader(a.response.StatusCode)
	_, err := io.Copy(x.writer, a.response.Body)
	x.ticket.Release(a.id, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
