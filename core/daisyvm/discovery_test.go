package daisyvm_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyvm"
)

// knowsAll reports whether a VM has heard from every other one and considers none dead.
func (n *network) knowsAll(v *simVM) bool {
	heard := 0
	for _, m := range v.members.All() {
		if m.State == daisyvm.Live || m.State == daisyvm.Suspect {
			heard++
		}
	}
	return heard == len(n.vms)-1
}

// VMs that know a single peer at their start discover all others within seconds. Each
// is described to another VM by a few VMs only: if all described all others to all, the
// number of descriptions would grow with the cube of the number of VMs.
func TestVMsDiscoverEachOtherWithFewDescriptions(t *testing.T) {
	const size, maxPerPair = 60, 8
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(seed, size)
			n.runUntil(start.Add(5 * time.Second))
			for _, v := range n.vms {
				assert.Assert(t, n.knowsAll(v), "seed %d: %s knows %d other VMs", seed, v.vm.Name, len(v.members.All()))
			}
			assert.Assert(t, n.descriptions <= size*size*maxPerPair, "seed %d: %d descriptions, %.1f for each pair of VMs", seed, n.descriptions, float64(n.descriptions)/size/size)
		})
	}
}

// A VM that restarts later, knowing a single peer and without the platform's list,
// discovers all others.
func TestRestartedVMDiscoversAllOthers(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(seed, 60)
			n.runUntil(start.Add(5 * time.Second))
			v := n.vms[len(n.vms)-1]
			n.crash(v)
			n.runUntil(n.now.Add(3 * time.Second))
			n.restart(v)
			n.runUntil(n.now.Add(5 * time.Second))
			assert.Assert(t, n.knowsAll(v), "seed %d: knows %d other VMs", seed, len(v.members.All()))
		})
	}
}
