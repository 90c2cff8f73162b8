package daisyvm_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyvm"
)

func TestLeavingVMsAreListedApartFromPeers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := daisyvm.VM{Name: "a", Incarnation: 1}
	b := daisyvm.VM{Name: "b", Incarnation: 1}
	m := daisyvm.NewMembership(a, now, rand.New(rand.NewPCG(1, 1)))
	status := daisyvm.Status{Ready: true, Revision: 1}
	var last daisyvm.PeersChanged
	handle := func(event daisyvm.MemberEvent) {
		now = now.Add(10 * time.Millisecond)
		for _, d := range m.Handle(now, event) {
			if p, ok := d.(daisyvm.PeersChanged); ok {
				last = p
			}
		}
	}
	check := func(want daisyvm.PeersChanged) {
		t.Helper()
		assert.Assert(t, slices.Equal(last.VMs, want.VMs) && slices.Equal(last.Leaving, want.Leaving), "%v", last)
	}
	handle(daisyvm.SelfChanged{Status: status})
	handle(daisyvm.HeartbeatArrived{VM: b, Sequence: 1, Status: status})
	check(daisyvm.PeersChanged{VMs: []daisyvm.VM{a, b}})
	leaving := status
	leaving.Leaving, leaving.Stopping = true, true
	handle(daisyvm.HeartbeatArrived{VM: b, Sequence: 2, Status: leaving})
	check(daisyvm.PeersChanged{VMs: []daisyvm.VM{a}, Leaving: []daisyvm.VM{b}})
	handle(daisyvm.HeartbeatArrived{VM: b, Sequence: 3, Status: status})
	handle(daisyvm.SelfChanged{Status: leaving})
	check(daisyvm.PeersChanged{VMs: []daisyvm.VM{b}, Leaving: []daisyvm.VM{a}})
}
