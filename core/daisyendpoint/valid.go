package daisyendpoint

import "net/netip"

// MaxSlots is the largest number of slots that an endpoint may declare. It is far beyond any
// machine, and sums over all endpoints of a service fit an int.
const MaxSlots = 100_000

// ValidAddress reports whether requests can be sent to an address. Connections to the
// unspecified address would reach this VM itself.
func ValidAddress(address netip.AddrPort) bool {
	ip := address.Addr().Unmap()
	return address.IsValid() && address.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast()
}
