// Package daisycrash finds the requests that crash the endpoints which run them.
//
// Each VM records the crashes that it sees and the requests that the endpoints were
// running, and shares them with the other VMs. A request that comes again and crashes
// endpoint after endpoint is quarantined.
package daisycrash

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
)

// Finding is what a VM has found out about a request. It is one of
// Crash, Verdict and Acquittal.
type Finding interface{ finding() }

// Crash means that an endpoint crashed while it was running the request. Another request
// may have caused the crash.
type Crash struct {
	Request daisyrequest.Fingerprint
	// Service is the service of the endpoint.
	Service  daisyservice.ID
	Endpoint netip.AddrPort
	// Sent is the time at which the request was sent to the endpoint, and At that of the
	// crash, by the clock of this VM.
	Sent, At time.Time
}

// Verdict means that the crashes of a request are too many to be a coincidence.
type Verdict struct {
	Request daisyrequest.Fingerprint
	// Service is the service whose endpoints crashed.
	Service daisyservice.ID
}

// Acquittal means that an endpoint has run the request to its end.
type Acquittal struct{ Request daisyrequest.Fingerprint }

func (Crash) finding()     {}
func (Verdict) finding()   {}
func (Acquittal) finding() {}

// RequestOf returns the request that a finding is about.
func RequestOf(finding Finding) daisyrequest.Fingerprint {
	switch f := finding.(type) {
	case Crash:
		return f.Request
	case Verdict:
		return f.Request
	case Acquittal:
		return f.Request
	}
	return daisyrequest.Fingerprint{}
}
