// Package daisyvm describes the entry VMs and decides which of them callers use.
package daisyvm

import (
	"net/netip"

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
