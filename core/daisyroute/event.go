// Package daisyroute decides, for one service on one VM, which endpoint gets
// which request and when.
//
// A Dispatcher is a state machine: events and the time go in, decisions come
// out. It does no I/O, starts no goroutine and reads no clock, and it is not safe
// for concurrent use: its holder guards it with the lock of its shard.
package daisyroute

import (
	"net/netip"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Event is something that happened. It is one of RequestArrived,
// RequestAbandoned, AttemptResolved, AttemptReleased, ReportReceived,
// ProbeFailed, PeerMessage, ServiceChanged, PeersChanged and TimePassed.
type Event interface{ event() }

// RequestArrived says that a caller's request wants an endpoint.
type RequestArrived struct {
	Request daisyrequest.Request
	// Room is how many further requests the VM can hold, of all services; 0 stands for any number.
	Room int
}

// RequestAbandoned says that the caller of a request has gone.
type RequestAbandoned struct{ Request daisyrequest.ID }

// AttemptResolved says that an answer's header arrived or that the attempt failed.
// An attempt with any outcome but Answered holds its slot no longer; one that is
// Answered holds it until AttemptReleased, also when it was canceled before.
type AttemptResolved struct {
	Attempt daisyrequest.AttemptID
	Outcome daisyrequest.Outcome
	// Resendable says that the whole request could be sent again: none of its
	// body was consumed, or all that was consumed is still held.
	Resendable bool
}

// AttemptReleased says that the body of an answered attempt has ended, whole or broken off.
type AttemptReleased struct {
	Attempt daisyrequest.AttemptID
	Ending  daisyrequest.Ending
}

// ReportReceived says what an endpoint reported with an answer, to a probe, or to another VM.
type ReportReceived struct {
	Endpoint netip.AddrPort
	Report   daisyendpoint.Report
}

// ProbeFailed says that a probe got no report.
type ProbeFailed struct{ Endpoint netip.AddrPort }

// PeerMessage brings a message of another VM that concerns the service.
type PeerMessage struct {
	From    daisyvm.Name
	Message daisymessage.Message
}

// ServiceChanged brings a newly confirmed declaration of the service.
type ServiceChanged struct{ Service daisyservice.Service }

// PeersChanged brings the live VMs that share the service, this VM among them.
type PeersChanged struct {
	VMs []daisyvm.VM
	// Leaving are the VMs in a planned stop, maybe this one: none of them owns the
	// service, and they hold credits until their last request has ended.
	Leaving []daisyvm.VM
}

// TimePassed says that the time of NextWake has come.
type TimePassed struct{}

func (RequestArrived) event()   {}
func (RequestAbandoned) event() {}
func (AttemptResolved) event()  {}
func (AttemptReleased) event()  {}
func (ReportReceived) event()   {}
func (ProbeFailed) event()      {}
func (PeerMessage) event()      {}
func (ServiceChanged) event()   {}
func (PeersChanged) event()     {}
func (TimePassed) event()       {}
