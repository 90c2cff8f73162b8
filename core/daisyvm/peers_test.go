package daisyvm_test

import (
	"fmt"
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

// TestManyNewVMsAreReportedTogether answers the start of hundreds of VMs at once, which hear
// of each other one by one. A VM that goes is reported at once.
func TestManyNewVMsAreReportedTogether(t *testing.T) {
	const others = 122
	now := time.Unix(1_800_000_000, 0)
	m := daisyvm.NewMembership(daisyvm.VM{Name: "self", Incarnation: 1}, now, rand.New(rand.NewPCG(1, 1)))
	status := daisyvm.Status{Ready: true, Revision: 1}
	changes := 0
	var last daisyvm.PeersChanged
	handle := func(event daisyvm.MemberEvent) {
		for _, d := range m.Handle(now, event) {
			if p, ok := d.(daisyvm.PeersChanged); ok {
				last = p
				changes++
			}
		}
	}
	vm := func(i int) daisyvm.VM {
		return daisyvm.VM{Name: daisyvm.Name(fmt.Sprintf("vm-%03d", i)), Incarnation: 1}
	}
	handle(daisyvm.SelfChanged{Status: status})
	for i := range others {
		now = now.Add(time.Millisecond)
		if !now.Before(m.NextWake()) {
			handle(daisyvm.TimePassed{})
		}
		handle(daisyvm.HeartbeatArrived{VM: vm(i), Sequence: 1, Status: status})
	}
	now = m.NextWake()
	handle(daisyvm.TimePassed{})
	assert.Equal(t, len(last.VMs), others+1)
	// Eight changes and a pause of 50 ms take turns for 122 ms.
	assert.Check(t, changes <= 3*(8+1)+1, "%d changes", changes)
	leaving := status
	leaving.Leaving = true
	handle(daisyvm.HeartbeatArrived{VM: vm(7), Sequence: 2, Status: leaving})
	assert.Equal(t, len(last.Leaving), 1)
}
