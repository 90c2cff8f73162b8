// Package daisyfilter passes callers' requests through a chain of filters.
//
// Filter and Verdict are sealed interfaces. A type switch applies each filter in
// turn, and the first verdict other than Continue ends the chain.
package daisyfilter

import (
	"net/http"
	"strconv"
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisylog"
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisyproblem"
)

// Call is a caller's request and what the filters have found out about it.
type Call struct {
	HTTP *http.Request
	// Arrived is the time at which the chain received the request.
	Arrived time.Time
	// Config is the configuration that the request is handled by, set by AwaitConfiguration.
	Config *daisyconfig.Index
	// ConfigAsOf is the latest time at which Config was known to be the newest; the zero time
	// if it is not known of any.
	ConfigAsOf time.Time
	// ConfigKnownAt is a time since boot before which Config was not outdated; 0 if none is
	// known. AwaitConfiguration sets it where RequireCurrent needs it.
	ConfigKnownAt time.Duration
	// ConfigAgeBound is the upper bound of the age of Config for which RequireCurrent rejected
	// the request; 0 if it did not, and negative if there was none.
	ConfigAgeBound time.Duration
	// Service is the declaration in Config, set by Identify or Match.
	Service daisyservice.Service
	// Route is the route in Config, set by Match.
	Route daisypath.Route
	// Account is the client account whose key the request has; its zero value if the request
	// needs none.
	Account daisyaccount.Account
	// WithheldTrailers are the names of the trailers that are not forwarded to endpoints. The
	// trailers arrive with the end of the body, after the filters.
	WithheldTrailers []string
	// Token is the request's token of the quota of Account, set by Quota; nil if it needs none.
	Token *daisycontroller.QuotaToken
	// Request is filled in by the filters, each setting some of the fields.
	Request daisyrequest.Request
}

// ConfigAge returns for how long Config had not been known to be the newest when the request
// arrived. It reports false if that is not known.
func (c *Call) ConfigAge() (time.Duration, bool) {
	if c.ConfigAsOf.IsZero() {
		return 0, false
	}
	return max(0, c.Arrived.Sub(c.ConfigAsOf)), true
}

// Filter is one step of the chain. It is one of *Admit, RejectUnsupported, Addresses,
// AwaitConfiguration, Identify, Classify, Match, Authenticate, *RequireCurrent and Quota.
type Filter interface{ filter() }

// Verdict is the decision of a filter. It is one of Continue, Reject, Reply and Forward.
type Verdict interface{ verdict() }

// Continue passes the request to the next filter.
type Continue struct{}

// Reject ends the chain: daisyyoke itself responds with a problem document.
type Reject struct{ Problem daisyproblem.Problem }

// Reply ends the chain: daisyyoke itself responds with status 200 and a body.
type Reply struct {
	ContentType string
	// MaxAge is how long the caller may cache the response.
	MaxAge time.Duration
	Body   []byte
}

// Forward ends the chain: the request is sent to an endpoint.
type Forward struct{}

func (Continue) verdict() {}
func (Reject) verdict()   {}
func (Reply) verdict()    {}
func (Forward) verdict()  {}

// Forwarder sends a request to an endpoint and passes the response back to the caller.
type Forwarder interface {
	Forward(w http.ResponseWriter, call *Call)
}

// Options configures a Chain.
type Options struct {
	Forwarder Forwarder
	// Filters are applied in this order.
	Filters []Filter
	// Problems writes the responses to rejected requests; nil means daisyproblem.Native.
	Problems daisyproblem.Writer
	// StallTimeout limits the time for writing a response of daisyyoke's own and for
	// reading the rest of the request's body, so that neither can occupy the
	// connection for longer; 0 means no limit.
	StallTimeout time.Duration
	// Log receives an entry for each rejected request; nil disables logging.
	Log *daisylog.Log
	// Metrics counts the rejected requests; nil disables counting.
	Metrics *daisymetric.Metrics
}

// Chain is the http.Handler for callers' requests.
type Chain struct{ options Options }

// NewChain returns a Chain with the given options.
func NewChain(options Options) *Chain {
	if options.Problems == nil {
		options.Problems = daisyproblem.Native{}
	}
	return &Chain{options: options}
}

// ServeHTTP applies the filters to a request and carries out the verdict.
func (c *Chain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := &Call{HTTP: r, Arrived: time.Now()}
	if r.ProtoMajor == 1 {
		// Clear the write deadline, which may still be set from the previous response
		// on the same connection.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	}
	verdict, passed := c.runFilters(call)
	defer c.release(call, passed)
	age, known := call.ConfigAge()
	if known {
		c.options.Metrics.ConfigAge(age)
	}
	switch v := verdict.(type) {
	case Reject:
		c.options.Metrics.FilterResponse(v.Problem.Status)
		c.setDeadlines(w, r)
		status := c.options.Problems.WriteProblem(w, v.Problem)
		c.options.Log.Write(daisylog.Rejected{
			Name:   call.Request.Name,
			Host:   r.Host,
			Path:   r.URL.Path,
			Status: status,
			Reason: v.Problem.Title,

			ConfigAge:      age,
			ConfigAgeBound: call.ConfigAgeBound,
			Account:        call.Account.Name,
		})
	case Reply:
		c.setDeadlines(w, r)
		v.write(w)
	case Forward, Continue:
		c.options.Forwarder.Forward(w, call)
	}
}

// runFilters returns the verdict and the number of filters that let the request pass.
func (c *Chain) runFilters(call *Call) (Verdict, int) {
	for i, f := range c.options.Filters {
		v := apply(f, call)
		if _, ok := v.(Continue); !ok {
			return v, i
		}
	}
	return Forward{}, len(c.options.Filters)
}

func apply(filter Filter, call *Call) Verdict {
	switch f := filter.(type) {
	case *Admit:
		return f.apply()
	case RejectUnsupported:
		return f.apply(call)
	case Addresses:
		return f.apply(call)
	case AwaitConfiguration:
		return f.apply(call)
	case Identify:
		return f.apply(call)
	case Classify:
		return f.apply(call)
	case Match:
		return f.apply(call)
	case Authenticate:
		return f.apply(call)
	case *RequireCurrent:
		return f.apply(call)
	case Quota:
		return f.apply(call)
	}
	return Continue{}
}

// release notifies the filters that let the request pass, the first passed ones of
// the chain, that the request has ended.
func (c *Chain) release(call *Call, passed int) {
	for _, f := range c.options.Filters[:passed] {
		switch f := f.(type) {
		case *Admit:
			f.release()
		case Quota:
			f.release(call)
		case RejectUnsupported, Addresses, AwaitConfiguration, Identify, Classify, Match, Authenticate, *RequireCurrent:
		}
	}
}

// setDeadlines limits the time for a response of daisyyoke's own, as described for
// Options.StallTimeout.
func (c *Chain) setDeadlines(w http.ResponseWriter, r *http.Request) {
	if c.options.StallTimeout <= 0 {
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(c.options.StallTimeout))
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(time.Now().Add(c.options.StallTimeout))
	}
}

func (v Reply) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", v.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(v.Body)))
	h.Set("Cache-Control", "max-age="+strconv.Itoa(int(v.MaxAge.Seconds())))
	_, _ = w.Write(v.Body)
}
