package daisyquota

import (
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyvm"
)

// RequestID identifies a request of a caller within the process.
type RequestID uint64

// Event is an input of a Shard. It is one of Arrived, WaitPassed, Canceled, TokenSent,
// TokenReturned, RequestReceived, GrantReceived, PeersChanged, VMsListed, QuotasChanged and
// TimePassed.
type Event interface{ event() }

// Arrived means that a request of an account needs a token.
type Arrived struct {
	ID      RequestID
	Account Key
	// Quota applies if QuotasChanged has named none for the account.
	Quota daisyaccount.Quota
}

// WaitPassed means that the time of a Wait decision has come.
type WaitPassed struct {
	ID      RequestID
	Account Key
}

// Canceled means that a request no longer waits.
type Canceled struct {
	ID      RequestID
	Account Key
}

// TokenSent means that a request was sent to an endpoint. Again reports whether it was sent
// before, which uses another token.
type TokenSent struct {
	Token Token
	Again bool
}

// TokenReturned means that a token was not used: the request was not sent or, if Sent is set,
// a send of it has not run.
type TokenReturned struct {
	Token Token
	Sent  bool
}

// RequestReceived is a request for tokens from a VM.
type RequestReceived struct {
	From    daisyvm.Name
	Request Request
}

// GrantReceived is the answer of a VM.
type GrantReceived struct {
	From  daisyvm.Name
	Grant Grant
}

// PeersChanged carries the VMs among which the accounts are divided, and those that still
// have requests but are leaving.
type PeersChanged struct{ VMs, Leaving []daisyvm.VM }

// VMsListed carries the number of VMs, this one included, in a list of all that have started
// and not left as planned. It may have VMs that are gone.
type VMsListed struct{ Count int }

// QuotasChanged carries the quotas of all accounts of a configuration.
type QuotasChanged struct{ Quotas map[Key]daisyaccount.Quota }

// TimePassed occurs every TickInterval.
type TimePassed struct{}

// TickInterval is the time between two TimePassed events.
const TickInterval = 50 * time.Millisecond

func (Arrived) event()         {}
func (VMsListed) event()       {}
func (WaitPassed) event()      {}
func (Canceled) event()        {}
func (TokenSent) event()       {}
func (TokenReturned) event()   {}
func (RequestReceived) event() {}
func (GrantReceived) event()   {}
func (PeersChanged) event()    {}
func (QuotasChanged) event()   {}
func (TimePassed) event()      {}

// Decision is an output of a Shard. It is one of Admit, Refuse, Wait, SendRequest, SendGrant
// and LimitChanged.
type Decision interface{ decision() }

// Admit lets a request pass with a token.
type Admit struct {
	ID    RequestID
	Token Token
}

// Refuse refuses a request.
type Refuse struct {
	ID RequestID
	// RetryAfter is when the account is expected to have capacity.
	RetryAfter time.Duration
}

// Wait lets a request wait for a token.
type Wait struct {
	ID    RequestID
	Until time.Time
}

// SendRequest asks another VM for tokens. A request that is not urgent may wait for the next
// tick, to share a message with others.
type SendRequest struct {
	To      daisyvm.Name
	Request Request
	Urgent  bool
}

// SendGrant answers another VM.
type SendGrant struct {
	To    daisyvm.Name
	Grant Grant
}

// LimitChanged reports that this VM begins or ends to refuse requests of an account.
type LimitChanged struct {
	Account Key
	Limited bool
	// Refused is the number of requests refused, at the end.
	Refused int
	// Silent reports whether the coordinator does not answer.
	Silent bool
}

func (Admit) decision()        {}
func (Refuse) decision()       {}
func (Wait) decision()         {}
func (SendRequest) decision()  {}
func (SendGrant) decision()    {}
func (LimitChanged) decision() {}
