package daisyvm_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyvm"
)

// deadBound is the longest that a dead VM may stay in answers.
const deadBound = 3 * time.Second

// fault begins at its moment and ends by itself.
type fault struct {
	name  string
	begin func(n *network, v *simVM)
	end   func(n *network, v *simVM)
}

var faults = []fault{
	{name: "crash and return", begin: (*network).crash, end: (*network).restart},
	{name: "pause", begin: (*network).pause, end: (*network).resume},
	{name: "loss", begin: func(n *network, _ *simVM) { n.loss = 0.2 }, end: func(n *network, _ *simVM) { n.loss = 0 }},
	{name: "half cut off", begin: (*network).halve, end: func(n *network, _ *simVM) { n.cut = nil }},
	{name: "one pair cut", begin: (*network).cutPair, end: func(n *network, _ *simVM) { n.cut = nil }},
	{name: "leaving and back", begin: (*network).leave, end: (*network).stay},
}

func (n *network) halve(*simVM) {
	n.cut = func(a, b *simVM) bool { return n.half(a) != n.half(b) }
}

func (n *network) half(v *simVM) bool { return int(v.vm.Callers.Port()) <= len(n.vms)/2 }

func (n *network) cutPair(v *simVM) {
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

func (n *network) stay(v *simVM) {
	if !v.up || v.paused {
		return
	}
	v.status.Leaving = false
	n.handle(v, daisyvm.SelfChanged{Status: v.status})
}

// runFaults runs two faults at a time on a network and checks all answers every 200 ms.
func runFaults(t *testing.T, seed uint64) {
	t.Helper()
	n := newNetwork(seed, 6)
	n.runUntil(start.Add(2 * time.Second))
	for range 2 {
		f := faults[n.random.IntN(len(faults))]
		v := n.vms[n.random.IntN(len(n.vms))]
		begin := time.Duration(n.random.IntN(2_000)) * time.Millisecond
		end := begin + time.Second + time.Duration(n.random.IntN(6_000))*time.Millisecond
		n.later(begin, func() { f.begin(n, v) })
		n.later(end, func() { f.end(n, v) })
	}
	for n.now.Before(start.Add(12 * time.Second)) {
		n.runUntil(n.now.Add(200 * time.Millisecond))
		n.checkAnswers(t, seed)
	}
	n.repair()
	n.runUntil(n.now.Add(3 * time.Second))
	for _, v := range n.vms {
		assert.Equal(t, len(n.answers(v)), len(n.vms), "seed %d: %s", seed, v.vm.Name)
	}
}

// repair ends what overlapping faults may have left behind.
func (n *network) repair() {
	n.cut, n.loss = nil, 0
	for _, v := range n.vms {
		if v.paused {
			n.resume(v)
		}
		if !v.up {
			n.restart(v)
		}
		n.stay(v)
	}
}

func (n *network) checkAnswers(t *testing.T, seed uint64) {
	t.Helper()
	for _, v := range n.vms {
		if !v.up || v.paused || n.now.Sub(v.back) < deadBound {
			continue
		}
		named := n.answers(v)
		if len(named) == 0 {
			t.Fatalf("seed %d: empty answer of %s at %s", seed, v.vm.Name, n.now.Sub(start))
		}
		for o := range named {
			if (!o.up || o.paused) && n.now.Sub(o.gone) > deadBound {
				t.Fatalf("seed %d: %s names %s at %s", seed, v.vm.Name, o.vm.Name, n.now.Sub(start))
			}
		}
	}
}

func TestDeadVMsLeaveTheAnswersUnderTwoFaults(t *testing.T) {
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

func TestLeavingVMIsLeftOutAtOnce(t *testing.T) {
	n := newNetwork(1, 6)
	n.runUntil(start.Add(2 * time.Second))
	n.leave(n.vms[2])
	n.runUntil(n.now.Add(10 * time.Millisecond))
	for _, v := range n.vms {
		assert.Assert(t, !n.answers(v)[n.vms[2]], "%s", v.vm.Name)
	}
}

func TestHalvesServeOnWithThoseTheyHear(t *testing.T) {
	n := newNetwork(1, 6)
	n.runUntil(start.Add(2 * time.Second))
	n.halve(nil)
	n.runUntil(n.now.Add(deadBound))
	for _, v := range n.vms {
		named := n.answers(v)
		assert.Equal(t, len(named), 3, "%s", v.vm.Name)
		for o := range named {
			assert.Equal(t, n.half(o), n.half(v))
		}
	}
}

func TestLossKillsNobody(t *testing.T) {
	for _, size := range []int{6, 20, 60} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			// One seed tells little: with all heartbeats in turn 9 of the first 40 fail at 60 VMs.
			for seed := range uint64(12) {
				n := newNetwork(seed, size)
				n.runUntil(start.Add(3 * time.Second))
				n.loss = 0.1
				n.runUntil(n.now.Add(30 * time.Second))
				for _, v := range n.vms {
					assert.Equal(t, len(v.deaths), 0, "seed %d: %s saw %v die", seed, v.vm.Name, v.deaths)
					assert.Equal(t, len(n.answers(v)), size, "seed %d: %s", seed, v.vm.Name)
				}
			}
		})
	}
}

func TestDeathIsSeenByAllOfManyVMs(t *testing.T) {
	n := newNetwork(5, 60)
	n.runUntil(start.Add(5 * time.Second))
	n.crash(n.vms[7])
	n.runUntil(n.now.Add(deadBound))
	for _, v := range n.vms {
		if v.up {
			assert.Assert(t, !n.answers(v)[n.vms[7]], "%s", v.vm.Name)
			assert.Equal(t, len(v.deaths), 1, "%s saw %v die", v.vm.Name, v.deaths)
		}
	}
}

func TestLeavingIsKnownByTheWordOfPeers(t *testing.T) {
	n := newNetwork(1, 6)
	n.runUntil(start.Add(2 * time.Second))
	n.cutPair(n.vms[2])
	n.runUntil(n.now.Add(time.Second))
	assert.Assert(t, n.answers(n.vms[0])[n.vms[2]])
	n.leave(n.vms[2])
	n.runUntil(n.now.Add(time.Second))
	assert.Assert(t, !n.answers(n.vms[0])[n.vms[2]])
}
