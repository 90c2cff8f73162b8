package daisyforward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyfilter"
	"daisyyoke/io/daisyload"
	"daisyyoke/io/daisyproblem"
)

// Attempt is the information about one attempt that is sent to the endpoint.
type Attempt struct {
	// Remaining is the time until the deadline of the attempt.
	Remaining time.Duration
	// Instance is the expected incarnation of the endpoint; empty means any.
	Instance daisyendpoint.Instance
}

// Dialect encodes and decodes the headers and error responses that callers, VMs and
// endpoints exchange. It makes no routing decisions.
type Dialect interface {
	// EncodeRequest adds the header fields that are the same for all attempts of a request.
	EncodeRequest(to http.Header, request *http.Request, rank daisyrank.Name)
	// EncodeAccount adds the client account that a request belongs to.
	EncodeAccount(to http.Header, account daisyaccount.Name)
	// EncodeAttempt adds the header fields that are specific to one attempt.
	EncodeAttempt(to http.Header, attempt Attempt)
	// EncodeResponse adds header fields for the caller to an endpoint's response.
	EncodeResponse(to http.Header, response *http.Response)
	// Outcome returns the outcome that an endpoint's response to a request stands for.
	Outcome(request *http.Request, response *http.Response, responseTime time.Duration) daisyrequest.Outcome
	// Load returns the load report in an endpoint's header, which arrived at now. It
	// returns false if there is no valid report.
	Load(now time.Time, header http.Header) (daisyendpoint.Report, bool)
	// RateLimit returns the rate limit that an endpoint named in the header of a response
	// to a request; nil if the response does not say whether there is one.
	RateLimit(header http.Header) daisyendpoint.RateLimit
	// Notice returns what the endpoint asks for in a response with this status and header,
	// which arrived at now; nil means nothing.
	Notice(now time.Time, status int, header http.Header) daisyendpoint.Notice
	daisyproblem.Writer
}

// attemptHeader names one attempt. An endpoint that echoes it shows which request its
// response belongs to.
const attemptHeader = "Daisy-Attempt"

// Native is daisyyoke's own dialect.
type Native struct {
	daisyproblem.Native
	self   daisyvm.Name
	parser *daisyload.Parser
}

// NewNative returns the dialect for the VM named self, which is its pseudonym in Via
// and Forwarded.
func NewNative(self daisyvm.Name) *Native {
	return &Native{self: self, parser: daisyload.NewParser()}
}

// EncodeRequest adds Daisy-Rank, Via and Forwarded.
func (n *Native) EncodeRequest(to http.Header, request *http.Request, rank daisyrank.Name) {
	to[daisyfilter.RankHeader] = []string{string(rank)}
	to["Via"] = appendCopy(to["Via"], via(request.ProtoMajor, request.ProtoMinor, n.self))
	to["Forwarded"] = appendCopy(to["Forwarded"], forwarded(request, n.self))
}

// EncodeAccount adds nothing: services of daisyyoke's own interface have no client accounts.
func (n *Native) EncodeAccount(http.Header, daisyaccount.Name) {}

// EncodeAttempt adds Daisy-Timeout and a new Daisy-Attempt.
func (n *Native) EncodeAttempt(to http.Header, attempt Attempt) {
	values := [...]string{formatTimeout(attempt.Remaining), strconv.FormatUint(rand.Uint64(), 36)}
	to[daisyfilter.TimeoutHeader], to[attemptHeader] = values[:1:1], values[1:]
}

// EncodeResponse adds Via and removes Daisy-Attempt, which concerns endpoint and VM only.
func (n *Native) EncodeResponse(to http.Header, response *http.Response) {
	delete(to, attemptHeader)
	to["Via"] = appendCopy(to["Via"], via(response.ProtoMajor, response.ProtoMinor, n.self))
}

// Outcome returns Shed for 503 with Daisy-Run: not-run, and Answered for any other response.
func (n *Native) Outcome(_ *http.Request, response *http.Response, responseTime time.Duration) daisyrequest.Outcome {
	if n.Refuses(response) {
		return daisyrequest.Shed{ResponseTime: responseTime}
	}
	return daisyrequest.Answered{Status: response.StatusCode, ResponseTime: responseTime}
}

// Verify returns an error if a response names another attempt than the request, or refuses
// the request without naming it although earlier responses on the connection named theirs.
func (n *Native) Verify(request *http.Request, response *http.Response, named bool) error {
	echoed := response.Header.Get(attemptHeader)
	switch {
	case echoed == request.Header.Get(attemptHeader):
		return nil
	case echoed != "" || named && n.Refuses(response):
		return daisyerror.InvalidRequest.New("response to the attempt %q, want %q", echoed, request.Header.Get(attemptHeader))
	}
	return nil
}

// Names reports whether the response echoes the attempt of the request.
func (n *Native) Names(request *http.Request, response *http.Response) bool {
	echoed := response.Header.Get(attemptHeader)
	return echoed != "" && echoed == request.Header.Get(attemptHeader)
}

// Refuses reports whether a response is 503 with Daisy-Run: not-run.
func (n *Native) Refuses(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(daisyproblem.RunHeader) == daisyproblem.NotRunValue
}

// Load parses Daisy-Load.
func (n *Native) Load(now time.Time, header http.Header) (daisyendpoint.Report, bool) {
	if len(header[daisyload.Header]) == 0 {
		return daisyendpoint.Report{}, false
	}
	report, err := n.parser.Parse(now, header[daisyload.Header])
	return report, err == nil
}

// Notice returns Leaving if Daisy-Load says so, and else the pause that the Retry-After of
// a 503 asks for.
func (n *Native) Notice(now time.Time, status int, header http.Header) daisyendpoint.Notice {
	return daisyload.ParseNotice(now, status, header)
}

// RateLimit returns the limit in Daisy-Load.
func (n *Native) RateLimit(header http.Header) daisyendpoint.RateLimit {
	report, _ := n.Load(time.Time{}, header)
	return report.RateLimit
}
