package daisylog

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Line is one line of the log. It is one of Sent, AttemptFailed, Answered, Refused,
// Rejected, Abandoned, Canceled, EndpointChanged, EndpointNoticed, RateLimitChanged,
// Probed, EndpointCrashed, RequestQuarantined, RequestAcquitted, FindingDropped,
// LendingChanged, DivisionChanged and QuotaChanged, or a message of Logger.
type Line interface{ line() }

// Subject identifies the request that a decision concerns.
type Subject struct {
	Service daisyservice.ID
	Rank    daisyrank.Name
	Request daisyrequest.ID
	// Name is the name that the caller gave the request; empty if it gave none.
	Name daisyrequest.Name
	// Route is the name of the route that matched the request, in the configuration
	// with this Revision; empty if the configuration has no routes.
	Route    string
	Revision uint64
	// Account is the client account of the request; empty if it has none.
	Account daisyaccount.Name
}

// Sent records to which endpoint an attempt was sent and why.
type Sent struct {
	Subject
	Attempt daisyrequest.AttemptID
	// Endpoint is the selected endpoint.
	Endpoint netip.AddrPort
	Instance daisyendpoint.Instance
	// Reason is the reason for the attempt, Choice the reason why this endpoint was selected.
	Reason string
	Choice string
	// Considered lists the endpoints that were compared with the selected one.
	Considered []netip.AddrPort
	// FreeEndpoints is the number of endpoints with a free slot at the time of the choice.
	FreeEndpoints int
	// Report is the latest load report of the endpoint; the zero value if there is none.
	// ReportAge is its age.
	Report    daisyendpoint.Report
	ReportAge time.Duration
	// RateLimit is the rate limit of the endpoint, and RateUsed the share of it that this
	// VM used of late.
	RateLimit daisyendpoint.RateLimit
	RateUsed  float64
	// Waited is the time since the arrival of the request, Remaining the time until its deadline.
	Waited, Remaining time.Duration
	// ConfigAge is for how long the configuration had not been known to be the newest when the
	// request arrived; 0 if that is not known.
	ConfigAge time.Duration
}

// AttemptFailed records why an attempt gave no response that could be forwarded.
type AttemptFailed struct {
	Subject
	Attempt  daisyrequest.AttemptID
	Endpoint netip.AddrPort
	// Outcome is the kind of the outcome, for instance "broken-off". Cause is the
	// underlying error, if any.
	Outcome string
	Cause   string
	// ResponseTime is the time from the start of the attempt to its outcome.
	ResponseTime time.Duration
	// Fingerprint identifies the request on all VMs, also when a caller sends it again.
	Fingerprint daisyrequest.Fingerprint
}

// Answered records that an endpoint's response was forwarded to the caller.
type Answered struct {
	Subject
	Attempt  daisyrequest.AttemptID
	Endpoint netip.AddrPort
	Status   int
	// Complete reports whether the complete response was forwarded.
	Complete bool
	// Cause is why the response broke off; empty if it did not.
	Cause string
	// Attempts is the number of attempts, Duration the time since the arrival of the request.
	Attempts int
	Duration time.Duration
}

// Refused records why daisyyoke responded to a request with an error of its own.
type Refused struct {
	Subject
	Cause string
	// Status is the HTTP status of the response.
	Status int
	// Attempts is the number of attempts before.
	Attempts int
	// Waited is the time since the arrival of the request, Remaining the time until its
	// deadline; it is negative after the deadline.
	Waited, Remaining time.Duration
	// Expected is the estimated time until the response, if the request was refused because of
	// that estimate; otherwise 0.
	Expected time.Duration
	// RetryAfter is the time after which the caller was asked to retry; 0 if it was not asked.
	RetryAfter time.Duration
}

// Rejected records why a filter rejected a request before routing.
type Rejected struct {
	Name   daisyrequest.Name
	Host   string
	Path   string
	Status int
	Reason string
	// ConfigAge is as in Sent.
	ConfigAge time.Duration
	// ConfigAgeBound is the upper bound of the age of the configuration for which the request
	// was rejected; 0 if it was for another reason, and negative if there was no bound.
	ConfigAgeBound time.Duration
	// Account is as in Subject.
	Account daisyaccount.Name
}

// Abandoned records that the caller canceled the request before the response.
type Abandoned struct {
	Subject
	Attempts int
	Duration time.Duration
}

// Canceled records that an attempt was canceled.
type Canceled struct {
	Subject
	Attempt  daisyrequest.AttemptID
	Endpoint netip.AddrPort
}

// EndpointChanged records that this VM changed how it uses an endpoint.
type EndpointChanged struct {
	Service  daisyservice.ID
	Endpoint netip.AddrPort
	// Condition is the new condition of the endpoint, for instance "ejected-slow".
	Condition string
}

// EndpointNoticed records what an endpoint asked for in an answer.
type EndpointNoticed struct {
	Service  daisyservice.ID
	Endpoint netip.AddrPort
	Instance daisyendpoint.Instance
	Notice   daisyendpoint.Notice
	// FromPeer reports whether another VM told this one.
	FromPeer bool
}

// RateLimitChanged records that the rate limit of an endpoint changed.
type RateLimitChanged struct {
	Service   daisyservice.ID
	Endpoint  netip.AddrPort
	RateLimit daisyendpoint.RateLimit
	// VMs is the number of VMs among which the rate is divided.
	VMs int
	// FromPeer reports whether another VM told this one.
	FromPeer bool
	// ColdFor is how long the endpoint stays cold; 0 if it is not cold.
	ColdFor time.Duration
}

// Probed records that an endpoint with a rate limit was probed.
type Probed struct {
	Service  daisyservice.ID
	Endpoint netip.AddrPort
}

// EndpointCrashed records that an endpoint crashed while it was running a request.
type EndpointCrashed struct {
	Service     daisyservice.ID
	Endpoint    netip.AddrPort
	Fingerprint daisyrequest.Fingerprint
	// Crashes is the number of crashes of the request since it was last answered.
	Crashes int
	// Quarantine is how long the request is refused from now on; 0 if it is not.
	Quarantine time.Duration
	// FromPeer reports whether another VM told this one.
	FromPeer bool
}

// RequestQuarantined records that this VM quarantines a request on the verdict of another one.
type RequestQuarantined struct {
	Service     daisyservice.ID
	Fingerprint daisyrequest.Fingerprint
	// Crashes and Quarantine are as in EndpointCrashed.
	Crashes    int
	Quarantine time.Duration
}

// RequestAcquitted records that a request under which endpoints had crashed was answered.
type RequestAcquitted struct {
	Service     daisyservice.ID
	Fingerprint daisyrequest.Fingerprint
}

// FindingDropped records that a finding about a request was not shared with the other
// services of the VM, because too many waited.
type FindingDropped struct{}

// LendingChanged records whether the owner of a service lends its slots to this VM, or this
// VM is in fallback mode.
type LendingChanged struct {
	Service daisyservice.ID
	Owner   daisyvm.Name
	// Zone is the availability zone of the endpoints; zero means all of the service.
	Zone daisyfleet.ZoneID
	// InFallback reports whether this VM is in fallback mode because the owner does not respond.
	InFallback bool
}

// DivisionChanged records whether the endpoints of each availability zone of a service have
// an owner of their own, as the owner of the service stated.
type DivisionChanged struct {
	Service daisyservice.ID
	Owner   daisyvm.Name
	Divided bool
}

// QuotaChanged records that this VM begins or ends to refuse requests of a client account
// because of its quota.
type QuotaChanged struct {
	Fleet   daisyfleet.Name
	Account daisyaccount.Name
	Limited bool
	// Refused is the number of requests refused meanwhile, at the end.
	Refused int
	// CoordinatorSilent reports whether the VM that lends tokens does not answer.
	CoordinatorSilent bool
}

// message is an encoded line of Logger, which is not a decision.
type message struct{ text []byte }

func (Sent) line()               {}
func (AttemptFailed) line()      {}
func (Answered) line()           {}
func (Refused) line()            {}
func (Rejected) line()           {}
func (Abandoned) line()          {}
func (Canceled) line()           {}
func (EndpointChanged) line()    {}
func (EndpointNoticed) line()    {}
func (RateLimitChanged) line()   {}
func (Probed) line()             {}
func (EndpointCrashed) line()    {}
func (RequestQuarantined) line() {}
func (RequestAcquitted) line()   {}
func (FindingDropped) line()     {}
func (LendingChanged) line()     {}
func (DivisionChanged) line()    {}
func (QuotaChanged) line()       {}
func (message) line()            {}
