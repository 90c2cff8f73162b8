package daisyvm_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyvm"
)

// vmsWith returns VMs with the given numbers of cores.
func vmsWith(cores ...float64) []daisyvm.VM {
	var vms []daisyvm.VM
	for i, c := range cores {
		vms = append(vms, daisyvm.VM{Name: daisyvm.Name(fmt.Sprintf("vm-%d", i)), Incarnation: 1, Capacity: daisyvm.NewCapacity(c, 0)})
	}
	return vms
}

// TestOwnersHaveHalfOfTheLargestCapacity guards against owners that cannot serve the
// messages of their service: with owners of 0.16 of a core, a deployment with six VMs of 0.8
// had two thirds of the worth.
func TestOwnersHaveHalfOfTheLargestCapacity(t *testing.T) {
	cases := []struct {
		name   string
		cores  []float64
		owners []daisyvm.Name
	}{
		{"two sizes", []float64{0.16, 0.8, 0.16, 0.8, 0.16}, []daisyvm.Name{"vm-1", "vm-3"}},
		{"just half", []float64{0.4, 0.8, 0.399}, []daisyvm.Name{"vm-0", "vm-1"}},
		{"all large ones lost", []float64{0.16, 0.16, 0.16}, []daisyvm.Name{"vm-0", "vm-1", "vm-2"}},
		{"earlier builds are left out", []float64{0, 0.16, 0}, []daisyvm.Name{"vm-1"}},
		{"no capacity is known", []float64{0, 0, 0}, []daisyvm.Name{"vm-0", "vm-1", "vm-2"}},
		{"invalid capacities are unknown", []float64{math.NaN(), math.Inf(1), -1}, []daisyvm.Name{"vm-0", "vm-1", "vm-2"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			owned := make(map[daisyvm.Name]int)
			for i := range 300 {
				owned[daisyvm.Owner(vmsWith(c.cores...), fmt.Sprintf("vigia-lar/service-%d", i))]++
			}
			for _, n := range c.owners {
				assert.Assert(t, owned[n] > 300/len(c.owners)/2, "%s owns %d", n, owned[n])
			}
			assert.Equal(t, len(owned), len(c.owners), "%v", owned)
		})
	}
}

// TestCapacityIsLearnedAfterADescriptionWithout guards against owners that differ between VMs
// while some run an earlier build, which describes others without their capacity.
func TestCapacityIsLearnedAfterADescriptionWithout(t *testing.T) {
	self := vmAt("vm-1", 1, 1, "a")
	m := daisyvm.NewMembership(self, start, rand.New(rand.NewPCG(1, 1)))
	small := vmAt("vm-2", 1, 2, "a")
	large := small
	large.Capacity = daisyvm.NewCapacity(0.8, 200e6)
	m.Handle(start, daisyvm.HeartbeatArrived{VM: vmAt("vm-3", 1, 3, "a"), Sequence: 1, Introduced: []daisyvm.VM{small}})
	m.Handle(start, daisyvm.HeartbeatArrived{VM: small, Sequence: 1})
	var peers daisyvm.PeersChanged
	for _, d := range m.Handle(start, daisyvm.HeartbeatArrived{VM: large, Sequence: 2}) {
		if p, ok := d.(daisyvm.PeersChanged); ok {
			peers = p
		}
	}
	assert.Equal(t, len(peers.VMs), 3)
	assert.Equal(t, peers.VMs[1], large)
	m.Handle(start, daisyvm.HeartbeatArrived{VM: vmAt("vm-3", 1, 3, "a"), Sequence: 2, Introduced: []daisyvm.VM{small}})
	assert.Equal(t, m.All()[0].VM, large)
}
