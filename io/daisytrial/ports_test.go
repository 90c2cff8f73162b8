package daisytrial_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisytrial"
)

func TestPortsAllocateDistinctAddresses(t *testing.T) {
	const addressesPerAllocator = 250
	a, b := daisytrial.NewPorts(), daisytrial.NewPorts()
	defer a.Close()
	defer b.Close()
	seen := make(map[netip.AddrPort]bool)
	for range addressesPerAllocator {
		for _, p := range []*daisytrial.Ports{a, b} {
			address, err := p.Take()
			assert.NilError(t, err)
			assert.Assert(t, !seen[address], "%v was allocated twice", address)
			assert.Assert(t, address.Port() < 32_768, "%v is in the ephemeral port range", address)
			seen[address] = true
		}
	}
}
