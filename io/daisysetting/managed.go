package daisysetting

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyvm"
)

// Managed holds the settings of a daemon on a platform that starts and stops it, assigns
// its addresses, and stores its configuration.
type Managed struct {
	VM   daisyvm.Name
	Zone daisyfleet.ZoneID
	// Callers is the listen address for requests, Directory the one where callers ask
	// which VMs to use.
	Callers   netip.AddrPort
	Directory netip.AddrPort
	// Readiness is the listen address for the readiness checks of the platform.
	Readiness netip.AddrPort
	// Peers is the listen address for other VMs. Seeds are the addresses, for peers, of
	// some of the other VMs.
	Peers netip.AddrPort
	Seeds []netip.AddrPort
	// ColdStart is set if all VMs start at the same time for the first time.
	ColdStart bool
	// Metrics is the listen address for metrics; the zero value for none.
	Metrics netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// GracePeriod is the time from the signal to stop until the platform kills the process.
	GracePeriod time.Duration
	// AcceptAll is how long after that signal the platform expects the VM to accept any
	// request, although it may abort some of them at the end of the grace period.
	AcceptAll time.Duration
	// AnswerTTL is the maximum time for which callers may cache an answer of the directory.
	AnswerTTL time.Duration
	// MaxFileDescriptors is the limit on open file descriptors, MemoryBytes the limit on memory.
	MaxFileDescriptors int
	MemoryBytes        int64
	// RetryShare is the allowed ratio of retries to requests in RetryWindow, and
	// RetryReserve the number of retries allowed in addition. Both apply to all VMs together.
	RetryShare   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// Cores is the processor time that the VM has, as a number of cores; 0 if unknown.
	// LinkBitsPerSecond is the speed of its link; 0 if unknown.
	Cores             float64
	LinkBitsPerSecond float64
	// PropagationTime is the time within which a configuration has to be in force everywhere.
	PropagationTime time.Duration
	// RevocationTime is the time after which no VM may accept a key that was taken away,
	// whatever has happened to that VM; 0 if keys may be accepted for longer.
	RevocationTime time.Duration
	// In any QuotaWindow, all VMs together may pass on the quota of an account times
	// 1 + QuotaOverage, and QuotaSlack requests more.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// In any second, a cold endpoint may get its rate times ColdOver, and ColdSlack requests
	// more, from all VMs together.
	ColdOver  float64
	ColdSlack float64
}
