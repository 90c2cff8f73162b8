package daisyvm_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyvm"
)

// maxDetectionTime is the longest that a dead VM may remain in answers.
const maxDetectionTime = 3 * time.Second

// fault is a failure of the simulated network that can begin and end.
type fault struct {
	name  string
	begin func(n *network, v *simVM)
	end   func(n *network, v *simVM)
}

var faults = []fault{
	{name: "crash and restart", begin: (*network).crash, end: (*network).restart},
	{name: "pause", begin: (*network).pause, end: (*network).resume},
	{name: "loss", begin: func(n *network, _ *simVM) { n.loss = 0.2 }, end: func(n *network, _ *simVM) { n.loss = 0 }},
	{name: "partition", begin: (*network).partition, end: func(n *network, _ *simVM) { n.cut = nil }},
	{name: "one link cut", begin: (*network).cutLink, end: func(n *network, _ *simVM) { n.cut = nil }},
	{name: "leave and cancel", begin: (*network).leave, end: (*network).cancelLeave},
}

func (n *network) partition(*simVM) {
	n.cut = func(a, b *simVM) bool { return n.inFirstHalf(a) != n.inFirstHalf(b) }
}

func (n *network) inFirstHalf(v *simVM) bool { return int(v.vm.Callers.Port()) <= len(n.vms)/2 }

func (n *network) cutLink(v *simVM) {
	other := n.vms[0]
	if v == other {
		other = n.vms[1]
	}
	n.cut = func(a, b *simVM) bool { return a == v && b == other || a == other && b == v }
}

func (n *network) leave(v *simVM) {
	if !v.up || v.paused {
		return
	}
	v.status.Leaving = true
	n.handle(v, daisyvm.SelfChanged{Status: v.status})
}

func (n *network) cancelLeave(v *simVM) {
	if !v.up || v.paused {
		return
	}
	v.status.Leaving = false
	n.handle(v, daisyvm.SelfChanged{Status: v.status})
}

// runFaults injects two faults, which may overlap, and checks all answers every 200 ms.
func runFaults(t *testing.T, seed uint64) {
	t.Helper()
	n := newNetwork(seed, 6)
	n.runUntil(start.Add(2 * time.Second))
	for range 2 {
		f := faults[n.random.IntN(len(faults))]
		v := n.vms[n.random.IntN(len(n.vms))]
		begin := time.Duration(n.random.IntN(2_000)) * time.Millisecond
		end := begin + time.Second + time.Duration(n.random.IntN(6_000))*time.Millisecond
		n.schedule(begin, func() { f.begin(n, v) })
		n.schedule(end, func() { f.end(n, v) })
	}
	for n.now.Before(start.Add(12 * time.Second)) {
		n.runUntil(n.now.Add(200 * time.Millisecond))
		n.checkAnswers(t, seed)
	}
	n.endFaults()
	n.runUntil(n.now.Add(3 * time.Second))
	for _, v := range n.vms {
		assert.Equal(t, len(n.answeredVMs(v)), len(n.vms), "seed %d: %s", seed, v.vm.Name)
	}
}

// endFaults ends the faults that are still in effect after overlapping.
func (n *network) endFaults() {
	n.cut, n.loss = nil, 0
	for _, v := range n.vms {
		if v.paused {
			n.resume(v)
		}
		if !v.up {
			n.restart(v)
		}
		n.cancelLeave(v)
	}
}

func (n *network) checkAnswers(t *testing.T, seed uint64) {
	t.Helper()
	for _, v := range n.vms {
		if !v.up || v.paused || n.now.Sub(v.upSince) < maxDetectionTime {
			continue
		}
		answered := n.answeredVMs(v)
		if len(answered) == 0 {
			t.Fatalf("seed %d: empty answer from %s at %s", seed, v.vm.Name, n.now.Sub(start))
		}
		for o := range answered {
			if (!o.up || o.paused) && n.now.Sub(o.downSince) > maxDetectionTime {
				t.Fatalf("seed %d: %s still names %s at %s", seed, v.vm.Name, o.vm.Name, n.now.Sub(start))
			}
		}
	}
}

func TestAnswersOmitDeadVMsUnderTwoFaults(t *testing.T) {
	const groups = 10
	seeds := uint64(100)
	if testing.Short() {
		seeds = 10
	}
	for group := range uint64(groups) {
		t.Run(fmt.Sprint(group), func(t *testing.T) {
			t.Parallel()
			for seed := group * seeds; seed < (group+1)*seeds; seed++ {
				runFaults(t, seed)
			}
		})
	}
}

func TestAnswersOmitLeavingVMAtOnce(t *testing.T) {
	n := newNetwork(1, 6)
	n.runUntil(start.Add(2 * time.Second))
	n.leave(n.vms[2])
	n.runUntil(n.now.Add(10 * time.Millisecond))
	for _, v := range n.vms {
		assert.Assert(t, !n.answeredVMs(v)[n.vms[2]], "%s", v.vm.Name)
	}
}

func TestPartitionedHalvesNameOnlyTheirOwnVMs(t *testing.T) {
	n := newNetwork(1, 6)
	n.runUntil(start.Add(2 * time.Second))
	n.partition(nil)
	n.runUntil(n.now.Add(maxDetectionTime))
	for _, v := range n.vms {
		answered := n.answeredVMs(v)
		assert.Equal(t, len(answered), 3, "%s", v.vm.Name)
		for o := range answered {
			assert.Equal(t, n.inFirstHalf(o), n.inFirstHalf(v))
		}
	}
}

func TestMessageLossDoesNotMarkVMsDead(t *testing.T) {
	for _, size := range []int{6, 20, 60} {
		// Several seeds run, because without out-of-turn heartbeats only some of them fail:
		// 9 of the first 40 at 60 VMs.
		for seed := range uint64(12) {
			t.Run(fmt.Sprint(size, "/seed-", seed), func(t *testing.T) {
				t.Parallel()
				n := newNetwork(seed, size)
				n.runUntil(start.Add(3 * time.Second))
				n.loss = 0.1
				n.runUntil(n.now.Add(30 * time.Second))
				for _, v := range n.vms {
					assert.Equal(t, len(v.deathsSeen), 0, "seed %d: VMs that %s marked as dead: %v", seed, v.vm.Name, v.deathsSeen)
					assert.Equal(t, len(n.answeredVMs(v)), size, "seed %d: %s", seed, v.vm.Name)
				}
			})
		}
	}
}

func TestCrashIsDetectedByAllOf60VMs(t *testing.T) {
	n := newNetwork(5, 60)
	n.runUntil(start.Add(5 * time.Second))
	n.crash(n.vms[7])
	n.runUntil(n.now.Add(maxDetectionTime))
	for _, v := range n.vms {
		if v.up {
			assert.Assert(t, !n.answeredVMs(v)[n.vms[7]], "%s", v.vm.Name)
			assert.Equal(t, len(v.deathsSeen), 1, "VMs that %s marked as dead: %v", v.vm.Name, v.deathsSeen)
		}
	}
}

func TestLeavingIsLearnedFromPeers(t *testing.T) {
	n := newNetwork(1, 6)
	n.runUntil(start.Add(2 * time.Second))
	n.cutLink(n.vms[2])
	n.runUntil(n.now.Add(time.Second))
	assert.Assert(t, n.answeredVMs(n.vms[0])[n.vms[2]])
	n.leave(n.vms[2])
	n.runUntil(n.now.Add(time.Second))
	assert.Assert(t, !n.answeredVMs(n.vms[0])[n.vms[2]])
}
