package daisyroute

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisycrash"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyvm"
)

// Decision is an instruction to the driver of a Dispatcher. It is one of Send,
// Deliver, Fail, Cancel, SendMessage, Probe, CheckEndpoint, FindingNoted, EndpointChanged,
// EndpointNoticed, RateLimitChanged and LendingChanged. Each request ends with exactly one
// Deliver or Fail, unless it is abandoned.
type Decision interface{ decision() }

// Send starts an attempt at an endpoint.
type Send struct {
	Request  daisyrequest.ID
	Attempt  daisyrequest.AttemptID
	Endpoint netip.AddrPort
	// Instance is the expected incarnation of the endpoint; empty means any.
	Instance daisyendpoint.Instance
	// Deadline is the time at which the attempt has to be canceled.
	Deadline time.Time
	Reason   Reason
	// Choice is the reason why this endpoint was selected.
	Choice Choice
	// FreeEndpoints is the number of endpoints with a free slot at the time of the choice.
	FreeEndpoints int
	// Considered lists the endpoints that were compared with the selected one.
	Considered []netip.AddrPort
	// Waited is the time since the arrival of the request.
	Waited time.Duration
	// Report is the latest load report of the endpoint; the zero value if there is none.
	Report daisyendpoint.Report
	// RateLimit is the rate limit of the endpoint, and RateUsed the share of it that this
	// VM used of late.
	RateLimit daisyendpoint.RateLimit
	RateUsed  float64
}

// Deliver forwards the response of an attempt to the caller.
type Deliver struct {
	Request daisyrequest.ID
	Attempt daisyrequest.AttemptID
}

// Fail responds to the caller with an error of daisyyoke's own.
type Fail struct {
	Request daisyrequest.ID
	Failure daisyrequest.Failure
	Cause   Cause
	// Waited is the time since the arrival of the request. Remaining is the time until
	// its deadline; it is negative after the deadline.
	Waited, Remaining time.Duration
	// Expected is the expected time until the response, if the request failed because
	// of that estimate.
	Expected time.Duration
}

// Cancel cancels an attempt. The attempt occupies its slot until the driver reports
// its outcome and, if that is Answered, AttemptReleased as well.
type Cancel struct{ Attempt daisyrequest.AttemptID }

// SendMessage sends a message to another VM.
type SendMessage struct {
	To      daisyvm.Name
	Message daisymessage.Message
}

// Probe requests a load report from an endpoint.
type Probe struct{ Endpoint netip.AddrPort }

// CheckEndpoint asks whether a process accepts connections at the address of an endpoint. It
// is answered by EndpointChecked.
type CheckEndpoint struct{ Endpoint netip.AddrPort }

// FindingNoted reports something new about a request that may crash endpoints. If it is
// Own, the other services of this VM have to be told with FindingsReceived.
type FindingNoted struct {
	Finding daisycrash.Finding
	// Crashes is the number of crashes of the request since it was last answered.
	Crashes int
	// Quarantine is how long the request is quarantined from now on; 0 if it is not.
	Quarantine time.Duration
	// Own is set if this dispatcher made the finding.
	Own bool
}

// EndpointChanged reports a new condition of an endpoint. It requires no action.
type EndpointChanged struct {
	Endpoint  netip.AddrPort
	Condition Condition
}

// EndpointNoticed reports what an endpoint asked for. It requires no action.
type EndpointNoticed struct {
	Endpoint netip.AddrPort
	Instance daisyendpoint.Instance
	Notice   daisyendpoint.Notice
	// FromPeer is set if another VM told this one.
	FromPeer bool
}

// RateLimitChanged reports a new rate limit of an endpoint. It requires no action.
type RateLimitChanged struct {
	Endpoint  netip.AddrPort
	RateLimit daisyendpoint.RateLimit
	// VMs is the number of VMs among which the rate is divided.
	VMs int
	// FromPeer is set if another VM told this one.
	FromPeer bool
}

// LendingChanged reports whether this VM gets its credits from an owner or, if no
// owner responds, is in fallback mode and starts attempts without credits, up to an
// even share of the slots. It requires no action.
type LendingChanged struct {
	Owner daisyvm.Name
	// Zone is the availability zone of the endpoints; zero means all of the service.
	Zone       daisyfleet.ZoneID
	InFallback bool
}

func (LendingChanged) decision()   {}
func (EndpointChanged) decision()  {}
func (EndpointNoticed) decision()  {}
func (RateLimitChanged) decision() {}
func (Send) decision()             {}
func (Deliver) decision()          {}
func (Fail) decision()             {}
func (Cancel) decision()           {}
func (SendMessage) decision()      {}
func (Probe) decision()            {}
func (CheckEndpoint) decision()    {}
func (FindingNoted) decision()     {}

// Reason is the reason why an attempt is made.
type Reason int

const (
	// First is the first attempt of a request.
	First Reason = iota
	// Retry is an attempt after a failed one.
	Retry
	// Hedge is an attempt in parallel with one that is slow to respond.
	Hedge
)

// String returns the reason in kebab case.
func (r Reason) String() string {
	switch r {
	case First:
		return "first"
	case Retry:
		return "retry"
	case Hedge:
		return "hedge"
	}
	return "unknown"
}

// Cause is the reason why a Dispatcher failed a request.
type Cause int

const (
	// QueueFull means that too many requests were waiting.
	QueueFull Cause = iota
	// CannotFinish means that no response was expected by the deadline of the request.
	CannotFinish
	// Expired means that the deadline passed.
	Expired
	// NoneUsable means that every endpoint is draining, evacuated or removed, or that a retry
	// has no other usable endpoint to go to.
	NoneUsable
	// AttemptsSpent means that the maximum number of attempts was reached.
	AttemptsSpent
	// BudgetSpent means that the retry budget allowed no further attempt.
	BudgetSpent
	// NotRepeatable means that it is not safe or not possible to send the request again.
	NotRepeatable
	// AllPausing means that every endpoint asked for a pause that ends too late for the
	// request.
	AllPausing
	// Stopping means that this VM stops before a response was expected.
	Stopping
	// CrashesEndpoints means that requests which are the same have crashed endpoints.
	CrashesEndpoints
	// CapacityLost means that the request waited for endpoints of which too few are left
	// after an evacuation.
	CapacityLost
)

// String returns the cause in kebab case.
func (c Cause) String() string {
	switch c {
	case QueueFull:
		return "queue-full"
	case CannotFinish:
		return "cannot-finish"
	case Expired:
		return "expired"
	case NoneUsable:
		return "none-usable"
	case AttemptsSpent:
		return "attempts-spent"
	case BudgetSpent:
		return "budget-spent"
	case NotRepeatable:
		return "not-repeatable"
	case AllPausing:
		return "all-pausing"
	case Stopping:
		return "stopping"
	case CrashesEndpoints:
		return "crashes-endpoints"
	case CapacityLost:
		return "capacity-lost"
	}
	return "unknown"
}
