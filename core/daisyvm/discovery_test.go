package daisyvm_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyvm"
)

// knowsAll reports whether a VM has heard every other one; it may doubt one for a moment.
func (n *network) knowsAll(v *simVM) bool {
	heard := 0
	for _, m := range v.members.All() {
		if m.State == daisyvm.Live || m.State == daisyvm.Suspect {
			heard++
		}
	}
	return heard == len(n.vms)-1
}

// VMs that know one other at their start come to know all within seconds, and are
// told of each by few: what all tell all of all grows with the cube of their number.
func TestManyVMsGetToKnowEachOtherWithFewDescriptions(t *testing.T) {
	const size, mostEach = 60, 8
	for seed := range uint64(5) {
		n := newNetwork(seed, size)
		n.runUntil(start.Add(5 * time.Second))
		for _, v := range n.vms {
			assert.Assert(t, n.knowsAll(v), "seed %d: %s knows %d", seed, v.vm.Name, len(v.members.All()))
		}
		assert.Assert(t, n.introduced <= size*size*mostEach, "seed %d: %d descriptions, %.1f of each VM to each", seed, n.introduced, float64(n.introduced)/size/size)
	}
}

// A VM that starts later and knows one other, without the platform's list, gets to know all.
func TestANewVMAmongManyGetsToKnowThem(t *testing.T) {
	for seed := range uint64(20) {
		n := newNetwork(seed, 60)
		n.runUntil(start.Add(5 * time.Second))
		v := n.vms[len(n.vms)-1]
		n.crash(v)
		n.runUntil(n.now.Add(3 * time.Second))
		n.restart(v)
		n.runUntil(n.now.Add(5 * time.Second))
		assert.Assert(t, n.knowsAll(v), "seed %d: knows %d", seed, len(v.members.All()))
	}
}
