// Package daisyfilter takes callers' requests through a chain of filters.
//
// A filter is a value of a sealed interface. One function takes a request
// through the chain with a type switch and gets back a sealed verdict.
package daisyfilter

import (
	"net/http"
	"strconv"
	"time"

	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisylog"
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisyproblem"
)

// Call is one caller's request on its way through the chain.
type Call struct {
	HTTP    *http.Request
	Arrived time.Time
	// Service is set by Identify or Match.
	Service daisyservice.Service
	// Route is set by Match.
	Route daisypath.Route
	// Request is filled in step by step.
	Request daisyrequest.Request
}

// Filter is one step of the chain. It is one of the types of this package.
type Filter interface{ filter() }

// Verdict is what a filter decides. It is one of GoOn, Answer, Reply and Forward.
type Verdict interface{ verdict() }

// GoOn passes the request to the next filter.
type GoOn struct{}

// Answer ends the chain with an answer of daisyyoke's own.
type Answer struct{ Problem daisyproblem.Problem }

// Reply ends the chain with a document of daisyyoke's own.
type Reply struct {
	ContentType string
	// MaxAge is how long the caller may keep it.
	MaxAge time.Duration
	Body   []byte
}

// Forward ends the chain: the request goes to an endpoint.
type Forward struct{}

func (GoOn) verdict()    {}
func (Answer) verdict()  {}
func (Reply) verdict()   {}
func (Forward) verdict() {}

// Forwarder sends a request to an endpoint and passes the answer back.
type Forwarder interface {
	Forward(w http.ResponseWriter, call *Call)
}

// Options are what a Chain depends on.
type Options struct {
	Forwarder Forwarder
	// Filters run in this order.
	Filters []Filter
	// Problems is the form of daisyyoke's own interface when it is nil.
	Problems daisyproblem.Writer
	// Stall is how long the unread body of a refused request, or its caller, may
	// keep the connection busy without a byte.
	Stall time.Duration
	// Log gets the requests that end in the chain; nil writes none.
	Log *daisylog.Log
	// Metrics count the refused requests; nil counts nothing.
	Metrics *daisymetric.Metrics
}

// Chain is the callers' handler.
type Chain struct{ options Options }

// NewChain gives a chain.
func NewChain(options Options) *Chain {
	if options.Problems == nil {
		options.Problems = daisyproblem.Native{}
	}
	return &Chain{options: options}
}

// ServeHTTP takes one request through the chain.
func (c *Chain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := &Call{HTTP: r, Arrived: time.Now()}
	if r.ProtoMajor == 1 {
		// The deadline of the last answer on the connection has no meaning for this one.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	}
	verdict, passed := c.judge(call)
	defer c.leave(passed)
	switch v := verdict.(type) {
	case Answer:
		c.options.Metrics.Refused(v.Problem.Status)
		c.limit(w, r)
		status := c.options.Problems.WriteProblem(w, v.Problem)
		c.options.Log.Write(daisylog.Rejected{
			Name:   call.Request.Name,
			Host:   r.Host,
			Path:   r.URL.Path,
			Status: status,
			Why:    v.Problem.Title,
		})
	case Reply:
		c.limit(w, r)
		v.write(w)
	case Forward, GoOn:
		c.options.Forwarder.Forward(w, call)
	}
}

// judge gives the verdict and the number of filters that let the request pass.
func (c *Chain) judge(call *Call) (Verdict, int) {
	for i, f := range c.options.Filters {
		v := apply(f, call)
		if _, ok := v.(GoOn); !ok {
			return v, i
		}
	}
	return Forward{}, len(c.options.Filters)
}

func apply(filter Filter, call *Call) Verdict {
	switch f := filter.(type) {
	case *Admit:
		return f.apply()
	case Screen:
		return f.apply(call)
	case Addresses:
		return f.apply(call)
	case AwaitConfiguration:
		return f.apply()
	case Identify:
		return f.apply(call)
	case Classify:
		return f.apply(call)
	case Match:
		return f.apply(call)
	}
	return GoOn{}
}

// leave tells the filters that let the request pass that it has ended.
func (c *Chain) leave(passed int) {
	for _, f := range c.options.Filters[:passed] {
		switch f := f.(type) {
		case *Admit:
			f.leave()
		case Screen, Addresses, AwaitConfiguration, Identify, Classify, Match:
		}
	}
}

// limit bounds the time that an answer of daisyyoke's own may take.
func (c *Chain) limit(w http.ResponseWriter, r *http.Request) {
	if c.options.Stall <= 0 {
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(c.options.Stall))
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(time.Now().Add(c.options.Stall))
	}
}

func (v Reply) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", v.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(v.Body)))
	h.Set("Cache-Control", "max-age="+strconv.Itoa(int(v.MaxAge.Seconds())))
	_, _ = w.Write(v.Body)
}
