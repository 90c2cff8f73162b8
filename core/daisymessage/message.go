// Package daisymessage defines the messages between VMs, independent of their encoding.
package daisymessage

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisycrash"
	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyquota"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Message is one of Heartbeat, SnapshotWanted, SnapshotGiven, CreditReport,
// CreditGrant, EndpointNews, EndpointLeaving, CrashFindings, RowsWanted, RowsGiven,
// StopWanted, QuotaRequests and QuotaGrants.
type Message interface{ message() }

// Heartbeat reports that a VM is alive, its configuration in force and its spare capacity.
type Heartbeat struct {
	VM       daisyvm.VM
	Sequence uint64
	Revision daisyconfig.Revision
	Hash     daisyconfig.Hash
	// Spare is the number of additional requests that the VM could start at once.
	Spare uint32
	// Leaving reports whether a planned stop has begun.
	Leaving bool
	// Ready reports whether the VM can serve every service of its configuration.
	Ready bool
	// Stopping reports whether a planned stop has been requested, and waits for its turn,
	// or has begun.
	Stopping bool
	// Sent is the sender's clock, which the receiver echoes to measure the round trip.
	Sent time.Time
	// Echo is the Sent value of the receiver's last heartbeat; zero if none has arrived.
	Echo time.Time
	// EchoHeld is how long before Sent the sender received that heartbeat.
	EchoHeld time.Duration
	// StoreUnavailable reports whether the platform's store is not replying to the sender.
	StoreUnavailable bool
	// Known is the latest change of each topic that the sender knows, indexed by topic.
	Known [daisyfeed.Topics]daisyfeed.Version
	// KnownEras is the era of each version in Known.
	KnownEras [daisyfeed.Topics]daisyfeed.Era
	// Holding reports, for each topic, whether rows of earlier eras are in force.
	Holding [daisyfeed.Topics]bool
	// StoreClock is the highest value that the store's clock may have shown when the sender had
	// held the heartbeat of Echo for EchoHeld, in the era of the configuration in KnownEras; 0
	// if the sender knows no bound.
	StoreClock time.Duration
	// Heard lists the VMs from which the sender recently received a heartbeat directly.
	Heard []daisyvm.HeartbeatReport
	// Introduced describes VMs that the receiver may not know.
	Introduced []daisyvm.VM
}

// SnapshotWanted requests a snapshot.
type SnapshotWanted struct{ Hash daisyconfig.Hash }

// SnapshotGiven is the reply to SnapshotWanted.
type SnapshotGiven struct{ Snapshot daisyconfig.Snapshot }

// CreditReport carries a borrower's report to the owner of a service.
type CreditReport struct{ Report daisycredit.Report }

// CreditGrant carries the owner's grant to a borrower.
type CreditGrant struct{ Grant daisycredit.Grant }

// EndpointNews passes on what a VM has observed about an endpoint.
type EndpointNews struct {
	Service daisyservice.ID
	Address netip.AddrPort
	Report  daisyendpoint.Report
}

// EndpointLeaving passes on that an incarnation of an endpoint said that it is going to stop.
type EndpointLeaving struct {
	Service  daisyservice.ID
	Endpoint daisyendpoint.Identity
}

// CrashFindings passes on what a VM has found out about requests that may crash endpoints.
type CrashFindings struct{ Findings []daisycrash.Finding }

// RowsWanted requests the changes of a topic after a version.
type RowsWanted struct {
	Topic daisyfeed.Topic
	After daisyfeed.Version
	Era   daisyfeed.Era
}

// RowsGiven is the reply to RowsWanted, or sends on changes that were just read.
type RowsGiven struct {
	Topic   daisyfeed.Topic
	Changes daisyfeed.Changes
}

// StopWanted asks a VM to begin a planned stop.
type StopWanted struct {
	// By is the name of the operator.
	By string
}

// QuotaRequests asks the coordinator of some accounts for tokens.
type QuotaRequests struct{ Requests []daisyquota.Request }

// QuotaGrants is the answer to QuotaRequests.
type QuotaGrants struct{ Grants []daisyquota.Grant }

func (Heartbeat) message()       {}
func (SnapshotWanted) message()  {}
func (SnapshotGiven) message()   {}
func (CreditReport) message()    {}
func (CreditGrant) message()     {}
func (EndpointNews) message()    {}
func (EndpointLeaving) message() {}
func (CrashFindings) message()   {}
func (RowsWanted) message()      {}
func (RowsGiven) message()       {}
func (StopWanted) message()      {}
func (QuotaRequests) message()   {}
func (QuotaGrants) message()     {}
