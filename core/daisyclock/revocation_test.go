package daisyclock_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxNormalBound is the bound below which all VMs are without a fault.
const maxNormalBound = 2 * time.Second

// Guards against VMs whose bound is high without a fault, so that an outage of the store makes
// them reject requests early: each hears of the others in turn, and the clock of the store is
// known the less precisely the longer nothing has changed.
func TestBoundIsLowWithoutFaults(t *testing.T) {
	for _, c := range []struct {
		size   int
		length time.Duration
	}{{5, 10 * time.Minute}, {46, 2 * time.Minute}, {98, 30 * time.Second}, {300, 30 * time.Second}} {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			if testing.Short() {
				c.length /= 10
			}
			t.Parallel()
			s := newSim(1, c.size)
			s.run(3 * time.Second)
			s.maxBound = 0
			s.run(c.length)
			assert.Equal(t, s.accepting(), c.size)
			t.Logf("highest bound %v", s.maxBound)
			assert.Assert(t, s.maxBound < maxNormalBound, "bound %v", s.maxBound)
		})
	}
}

// faults are what may happen to the store, the links and the VMs, with one VM chosen.
var faults = []struct {
	name string
	// begin begins the fault, and end ends it.
	begin, end func(s *sim, v *simVM)
}{
	{"links delayed", func(s *sim, v *simVM) { s.delayAll(v, 4*time.Second) }, (*sim).endDelay},
	{"links and store delayed for long", func(s *sim, _ *simVM) { s.delayAll(nil, 9*time.Second) }, (*sim).endDelay},
	{"VM cut off from the others", func(s *sim, v *simVM) { s.delayAll(v, -1) }, (*sim).endDelay},
	{"store down", func(s *sim, _ *simVM) { s.storeDown = func(*simVM) bool { return true } }, (*sim).endDown},
	{"store down for a VM", func(s *sim, v *simVM) { s.storeDown = func(o *simVM) bool { return o == v } }, (*sim).endDown},
	{"store refuses all but a VM", func(s *sim, v *simVM) { s.storeDown = func(o *simVM) bool { return o != v } }, (*sim).endDown},
	{"suspended", func(s *sim, v *simVM) { v.suspend(time.Duration(s.random.IntN(12_000)) * time.Millisecond) }, func(*sim, *simVM) {}},
	{"restarted", func(s *sim, v *simVM) { v.up = false; s.updateReaders() }, func(_ *sim, v *simVM) { v.start() }},
	{"store restored", func(s *sim, _ *simVM) { s.restore(min(s.revision, s.random.IntN(2))) }, func(s *sim, _ *simVM) { s.revoke() }},
}

// delayAll delays the messages from and to a VM, or all and the replies of the store if it is
// nil; a negative delay means that messages are lost.
func (s *sim) delayAll(v *simVM, d time.Duration) {
	s.delay = func(from, to *simVM) time.Duration {
		if from == to && v != nil || v != nil && from != v && to != v {
			return time.Millisecond
		}
		return d
	}
}

func (s *sim) endDelay(*simVM) {
	s.delay = func(_, _ *simVM) time.Duration { return time.Millisecond }
}
func (s *sim) endDown(*simVM) { s.storeDown = func(*simVM) bool { return false } }

// Guards against a request that is accepted with a configuration that was revoked longer ago
// than allowed, under up to two faults at a time, and against VMs that never accept any again.
func TestRevokedConfigurationIsNotAcceptedUnderFaults(t *testing.T) {
	seeds := uint64(600)
	if testing.Short() {
		seeds = 60
	}
	for first := range faults {
		t.Run(faults[first].name, func(t *testing.T) {
			t.Parallel()
			var accepted time.Duration
			for seed := range seeds / uint64(len(faults)) {
				s := newSim(seed, 6)
				s.run(2 * time.Second)
				for _, f := range []int{first, s.random.IntN(len(faults))} {
					v := s.vms[s.random.IntN(len(s.vms))]
					s.after(time.Duration(s.random.IntN(3000))*time.Millisecond, func() { faults[f].begin(s, v) })
					s.after(time.Duration(3000+s.random.IntN(9000))*time.Millisecond, func() { faults[f].end(s, v) })
				}
				for range 14 {
					s.run(time.Duration(s.random.IntN(2000)) * time.Millisecond)
					s.revoke()
				}
				assert.Assert(t, s.accepted < revocationTime, "seed %d: accepted %v after the revocation", seed, s.accepted)
				accepted = max(accepted, s.accepted)
				s.run(12 * time.Second)
				assert.Equal(t, s.accepting(), len(s.vms), "seed %d", seed)
				assert.Assert(t, s.accepted < revocationTime, "seed %d: accepted %v after the revocation", seed, s.accepted)
			}
			t.Logf("accepted at most %v after the revocation", accepted)
		})
	}
}

// Guards against a VM that rejects requests although it could prove that its configuration is
// current: one that the store refuses, or that starts without it, goes by the other VMs.
func TestVMWithoutTheStoreServesByWayOfOthers(t *testing.T) {
	s := newSim(2, 46)
	s.run(3 * time.Second)
	v := s.vms[7]
	s.storeDown = func(o *simVM) bool { return o == v }
	v.up = false
	s.updateReaders()
	s.run(time.Second)
	v.start()
	s.run(3 * time.Second)
	assert.Equal(t, s.accepting(), len(s.vms))
	s.maxBound = 0
	s.run(10 * time.Second)
	assert.Assert(t, s.maxBound < maxNormalBound, "bound %v", s.maxBound)
}

// Guards against VMs that go on to accept requests when nobody reaches the store, that stop
// within the 0.6 of the time for which they shall go on, or that do not begin again.
func TestVMsStopInTimeWhenNobodyReachesTheStore(t *testing.T) {
	s := newSim(3, 46)
	s.run(3 * time.Second)
	s.storeDown = func(*simVM) bool { return true }
	s.run(revocationTime * 6 / 10)
	assert.Equal(t, s.accepting(), len(s.vms))
	s.run(revocationTime * 4 / 10)
	assert.Equal(t, s.accepting(), 0)
	s.endDown(nil)
	s.run(3 * time.Second)
	assert.Equal(t, s.accepting(), len(s.vms))
}

// Guards against a VM that was suspended or has started since, and takes what a restored store
// has for the newest configuration, although the others know that it was revoked.
func TestRevocationThatTheStoreLostStaysInForce(t *testing.T) {
	for seed := range uint64(40) {
		s := newSim(seed, 6)
		s.run(2 * time.Second)
		v := s.vms[s.random.IntN(len(s.vms))]
		restart := seed%2 == 0
		v.up = !restart
		s.updateReaders()
		if !restart {
			v.suspend(10 * time.Second)
		}
		s.revoke()
		s.run(2 * time.Second)
		s.restore(1)
		s.run(7 * time.Second)
		if restart {
			v.start()
		}
		s.run(6 * time.Second)
		assert.Assert(t, s.accepted < revocationTime, "seed %d: accepted %v after the revocation", seed, s.accepted)
		assert.Equal(t, s.accepting(), len(s.vms), "seed %d", seed)
	}
}
