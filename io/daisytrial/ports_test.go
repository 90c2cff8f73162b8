package daisytrial_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisytrial"
)

func TestTwoPortsNeverGiveTheSameAddress(t *testing.T) {
	const each = 250
	a, b := daisytrial.NewPorts(), daisytrial.NewPorts()
	defer a.Close()
	defer b.Close()
	seen := make(map[netip.AddrPort]bool)
	for range each {
		for _, p := range []*daisytrial.Ports{a, b} {
			address, err := p.Take()
			assert.NilError(t, err)
			assert.Assert(t, !seen[address], "%v was given twice", address)
			assert.Assert(t, address.Port() < 32_768, "%v may be given to an outgoing connection", address)
			seen[address] = true
		}
	}
}
