// Package daisyfilter takes callers' requests through a chain of filters.
//
// A filter is a value of a sealed interface. One function takes a request
// through the chain with a type switch and gets back a sealed verdict.
package daisyfilter

import (
	"net/http"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyproblem"
)

// Call is one caller's request on its way through the chain.
type Call struct {
	HTTP    *http.Request
	Arrived time.Time
	// Service is set by Identify.
	Service daisyservice.Service
	// Request is filled in step by step.
	Request daisyrequest.Request
}

// Filter is one step of the chain. It is one of the types of this package.
type Filter interface{ filter() }

// Verdict is what a filter decides. It is one of GoOn, Answer and Forward.
type Verdict interface{ verdict() }

// GoOn passes the request to the next filter.
type GoOn struct{}

// Answer ends the chain with an answer of daisyyoke's own.
type Answer struct{ Problem daisyproblem.Problem }

// Forward ends the chain: the request goes to an endpoint.
type Forward struct{}

func (GoOn) verdict()    {}
func (Answer) verdict()  {}
func (Forward) verdict() {}

// Forwarder sends a request to an endpoint and passes the answer back.
type Forwarder interface {
	Forward(w http.ResponseWriter, call *Call)
}

// Chain is the callers' handler.
type Chain struct {
	filters   []Filter
	forwarder Forwarder
}

// NewChain gives a chain that runs the filters in order.
func NewChain(forwarder Forwarder, filters ...Filter) *Chain {
	return &Chain{filters: filters, forwarder: forwarder}
}

// ServeHTTP takes one request through the chain.
func (c *Chain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := &Call{HTTP: r, Arrived: time.Now()}
	switch v := c.judge(call).(type) {
	case Answer:
		v.Problem.Write(w)
	case Forward, GoOn:
		c.forwarder.Forward(w, call)
	}
}

func (c *Chain) judge(call *Call) Verdict {
	for _, f := range c.filters {
		v := apply(f, call)
		if _, ok := v.(GoOn); !ok {
			return v
		}
	}
	return Forward{}
}

func apply(filter Filter, call *Call) Verdict {
	switch f := filter.(type) {
	case Identify:
		return f.apply(call)
	case Classify:
		return f.apply(call)
	}
	return GoOn{}
}
