package daisyforward

import (
	"net/http"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyfilter"
	"daisyyoke/io/daisyload"
	"daisyyoke/io/daisyproblem"
)

// Attempt is what an endpoint has to know of one attempt.
type Attempt struct {
	// Left is the time until the attempt is given up.
	Left time.Duration
	// Instance is the incarnation that is meant; empty for any.
	Instance daisyendpoint.Instance
}

// Dialect is what callers, VMs and endpoints tell each other in headers and in
// answers of daisyyoke's own. It encodes and decodes, and decides nothing.
type Dialect interface {
	// EncodeRequest adds what holds for all attempts of a request.
	EncodeRequest(to http.Header, request *http.Request, rank daisyrank.Name)
	// EncodeAttempt adds what holds for one attempt.
	EncodeAttempt(to http.Header, attempt Attempt)
	// EncodeAnswer adds to an endpoint's answer what the caller should see.
	EncodeAnswer(to http.Header, response *http.Response)
	// Outcome says what an endpoint's answer to a request means.
	Outcome(request *http.Request, response *http.Response, responseTime time.Duration) daisyrequest.Outcome
	// Load reads an endpoint's report that arrived at now, or reports false without a valid one.
	Load(now time.Time, header http.Header) (daisyendpoint.Report, bool)
	daisyproblem.Writer
}

// Native is the dialect of daisyyoke's own interface.
type Native struct {
	daisyproblem.Native
	self    daisyvm.Name
	reports *daisyload.Parser
}

// NewNative gives the dialect for a VM, whose name is its pseudonym in Via and Forwarded.
func NewNative(self daisyvm.Name) *Native {
	return &Native{self: self, reports: daisyload.NewParser()}
}

// EncodeRequest adds Daisy-Rank, Via and Forwarded.
func (n *Native) EncodeRequest(to http.Header, request *http.Request, rank daisyrank.Name) {
	to[daisyfilter.RankHeader] = []string{string(rank)}
	to["Via"] = appendListed(to["Via"], via(request.ProtoMajor, request.ProtoMinor, n.self))
	to["Forwarded"] = appendListed(to["Forwarded"], forwarded(request, n.self))
}

// EncodeAttempt adds Daisy-Timeout.
func (n *Native) EncodeAttempt(to http.Header, attempt Attempt) {
	to[daisyfilter.TimeoutHeader] = []string{formatTimeout(attempt.Left)}
}

// EncodeAnswer adds Via.
func (n *Native) EncodeAnswer(to http.Header, response *http.Response) {
	to["Via"] = appendListed(to["Via"], via(response.ProtoMajor, response.ProtoMinor, n.self))
}

// Outcome takes 503 with Daisy-Run: not-run as shed.
func (n *Native) Outcome(_ *http.Request, response *http.Response, responseTime time.Duration) daisyrequest.Outcome {
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(daisyproblem.RunHeader) == daisyproblem.NotRunValue {
		return daisyrequest.Shed{ResponseTime: responseTime}
	}
	return daisyrequest.Answered{Status: response.StatusCode, ResponseTime: responseTime}
}

// Load reads Daisy-Load.
func (n *Native) Load(now time.Time, header http.Header) (daisyendpoint.Report, bool) {
	if len(header[daisyload.Header]) == 0 {
		return daisyendpoint.Report{}, false
	}
	report, err := n.reports.Parse(now, header[daisyload.Header])
	return report, err == nil
}
