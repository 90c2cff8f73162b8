// Package daisyvm tracks which entry VMs are alive, picks the owner of each key
// among them, and selects the VMs whose addresses are handed out to callers.
package daisyvm

import (
	"hash/fnv"
	"net/netip"
	"strconv"
	"strings"

	"daisyyoke/core/daisyfleet"
)

// Name identifies a VM. A replacement VM may reuse the name.
type Name string

// Incarnation numbers the process starts on a VM; a later start has a higher number.
type Incarnation uint64

// VM is an entry VM as it describes itself.
type VM struct {
	Name        Name
	Incarnation Incarnation
	Zone        daisyfleet.ZoneID
	// Callers is the address that callers connect to.
	Callers netip.AddrPort
	// Peers is the address that other VMs connect to.
	Peers netip.AddrPort
	// Capacity is what the VM has to serve with; the zero value if it does not say.
	Capacity Capacity
}

// CompareNames orders VMs by name.
func CompareNames(a, b VM) int { return strings.Compare(string(a.Name), string(b.Name)) }

// Digest is a short hash of a VM's name and incarnation that saves space in
// heartbeats. Among 60 VMs, two share a digest with a probability of 4 in 10 million.
type Digest uint32

// Digest returns the 32-bit FNV-1a hash of the name and the incarnation.
func (v VM) Digest() Digest {
	h := fnv.New32a()
	_, _ = h.Write([]byte(v.Name))
	_, _ = h.Write([]byte(strconv.FormatUint(uint64(v.Incarnation), 16)))
	return Digest(h.Sum32())
}

// HeartbeatReport states that a VM's heartbeat with this sequence number has arrived.
// It proves that the VM is alive only to a receiver that knows neither this nor a later
// sequence number, so that an old report does not revive a dead VM.
type HeartbeatReport struct {
	VM       Digest
	Sequence uint64
	// Leaving is the value in that heartbeat.
	Leaving bool
}
