// Package daisyvm describes the entry VMs and decides which of them callers use.
package daisyvm

import (
	"hash/fnv"
	"net/netip"
	"strconv"
	"strings"

	"daisyyoke/core/daisyfleet"
)

// Name names a VM. A replaced VM may come back under the same name.
type Name string

// Incarnation numbers the starts of the process on a VM; a later start has a higher number.
type Incarnation uint64

// VM is one entry VM as it describes itself.
type VM struct {
	Name        Name
	Incarnation Incarnation
	Zone        daisyfleet.ZoneID
	// Callers is the address handed out to callers.
	Callers netip.AddrPort
	// Peers is the address for other VMs.
	Peers netip.AddrPort
}

// CompareNames orders VMs by name.
func CompareNames(a, b VM) int { return strings.Compare(string(a.Name), string(b.Name)) }

// Digest stands for a name and an incarnation where room is short. Of 60 VMs,
// two share a digest with a probability of 4 in 10 million.
type Digest uint32

// Digest gives the FNV-1a hash of the name and the incarnation.
func (v VM) Digest() Digest {
	h := fnv.New32a()
	_, _ = h.Write([]byte(v.Name))
	_, _ = h.Write([]byte(strconv.FormatUint(uint64(v.Incarnation), 16)))
	return Digest(h.Sum32())
}

// Heard says that a VM's heartbeat with this sequence has arrived. It is proof
// of life only for who knows no later sequence, so that no old word revives a VM.
type Heard struct {
	VM       Digest
	Sequence uint64
	// Leaving is what that heartbeat said.
	Leaving bool
}
