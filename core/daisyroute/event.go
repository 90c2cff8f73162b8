// Package daisyroute routes the requests of one service on one VM: it decides which
// endpoint gets which request and when, and which requests fail.
//
// A Dispatcher is a state machine: its input is events and the time, its output
// decisions. It does no I/O, starts no goroutine and reads no clock. It is not safe
// for concurrent use: its driver, the code that passes it events and carries out
// its decisions, protects it with the lock of its shard.
package daisyroute

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisycrash"
	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Event is an input of a Dispatcher. It is one of RequestArrived, RequestAbandoned,
// AttemptResolved, AttemptReleased, ReportReceived, ProbeFailed, EndpointChecked,
// PeerMessage, FindingsReceived, ServiceChanged, PeersChanged, StopBegan and TimePassed.
type Event interface{ event() }

// RequestArrived means that a caller's request has to be sent to an endpoint.
type RequestArrived struct {
	Request daisyrequest.Request
	// Capacity is the number of further requests of all services that the VM can hold;
	// 0 means any number.
	Capacity int
}

// RequestAbandoned means that the caller no longer waits for the response.
type RequestAbandoned struct{ Request daisyrequest.ID }

// AttemptResolved means that the response header arrived or that the attempt failed.
// An attempt with the outcome Answered occupies its slot until AttemptReleased, even
// if it was canceled before; with any other outcome it occupies its slot no longer.
type AttemptResolved struct {
	Attempt daisyrequest.AttemptID
	Outcome daisyrequest.Outcome
	// Resendable means that the whole request can be sent again: none of its body
	// was consumed, or all that was consumed is still buffered.
	Resendable bool
	// RateLimit is the rate limit that the endpoint named in its response; nil if the
	// response says nothing about it.
	RateLimit daisyendpoint.RateLimit
	// Notice is what the endpoint asked for in its response; nil means nothing.
	Notice daisyendpoint.Notice
	// Fingerprint identifies the request with its body. It is not complete if the body
	// is not known, and then leaves that of the request as it is.
	Fingerprint daisyrequest.Fingerprint
}

// AttemptReleased means that the transfer of the response body has ended, completely
// or not.
type AttemptReleased struct {
	Attempt daisyrequest.AttemptID
	Ending  daisyrequest.Ending
}

// ReportReceived contains a load report that an endpoint sent with a response or as
// the answer to a probe.
type ReportReceived struct {
	Endpoint netip.AddrPort
	Report   daisyendpoint.Report
	// Notice is what the endpoint asked for in its answer to a probe; nil means nothing.
	Notice daisyendpoint.Notice
}

// ProbeFailed means that an endpoint did not answer a probe with a load report.
type ProbeFailed struct {
	Endpoint netip.AddrPort
	// Notice is what the endpoint asked for in its answer, if it gave one.
	Notice daisyendpoint.Notice
}

// EndpointChecked is the result of a CheckEndpoint.
type EndpointChecked struct {
	Endpoint     netip.AddrPort
	Reachability daisyendpoint.Reachability
}

// FindingsReceived contains what other VMs, or other services of this VM, have found out
// about requests that may crash endpoints.
type FindingsReceived struct{ Findings []daisycrash.Finding }

// PeerMessage contains a message from another VM about the service.
type PeerMessage struct {
	From    daisyvm.Name
	Message daisymessage.Message
}

// ServiceChanged contains a newly confirmed declaration of the service.
type ServiceChanged struct{ Service daisyservice.Service }

// PeersChanged contains the live VMs that share the service, including this VM.
type PeersChanged struct {
	VMs []daisyvm.VM
	// Leaving are the VMs that are shutting down as planned, possibly including this
	// one. None of them owns the service; they keep credits until their last request
	// has ended.
	Leaving []daisyvm.VM
	// Owners has the owners of all services among VMs; nil chooses that of each by its hash.
	Owners *daisycredit.Owners
}

// StopBegan means that this VM stops and has to answer all requests by a time.
type StopBegan struct {
	AnswerBy time.Time
	// AcceptUntil is until when any request is accepted. One that arrives later is refused
	// unless its deadline is no later than AnswerBy, as it might be aborted otherwise.
	AcceptUntil time.Time
}

// TimePassed means that the time returned by NextWake has come.
type TimePassed struct{}

func (RequestArrived) event()   {}
func (RequestAbandoned) event() {}
func (AttemptResolved) event()  {}
func (AttemptReleased) event()  {}
func (ReportReceived) event()   {}
func (ProbeFailed) event()      {}
func (EndpointChecked) event()  {}
func (FindingsReceived) event() {}
func (PeerMessage) event()      {}
func (ServiceChanged) event()   {}
func (PeersChanged) event()     {}
func (StopBegan) event()        {}
func (TimePassed) event()       {}
