package daisycontroller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyplatform"
)

// startBound is the maximum time until a new VM is ready while a peer is up.
const startBound = time.Second

// firstInForce records when the first configuration is in force on a VM.
type firstInForce struct {
	member *daisycontroller.Member
	// at receives the time of the first Apply.
	at chan time.Time
}

func (f *firstInForce) Apply(s *daisyconfig.Snapshot) {
	select {
	case f.at <- time.Now():
	default:
	}
	f.member.Apply(s)
	f.member.SetReady(true)
}

func (s *switchboard) startState(i int, platform daisyplatform.Platform) (*stateVM, *firstInForce) {
	vm := memberVM(i)
	link := port{board: s, self: vm.Name}
	first := &firstInForce{member: s.start(vm), at: make(chan time.Time, 1)}
	first.member.SetReady(false)
	config := daisycontroller.NewConfig(daisycontroller.ConfigOptions{
		Self: vm, Platform: platform, Sender: link, Seed: uint64(i), Appliers: []daisycontroller.Applier{first},
	})
	plans := daisycontroller.NewPlan(daisycontroller.PlanOptions{Self: vm, Platform: platform, Config: config, Seed: uint64(i)})
	v := &stateVM{config: config, plans: plans}
	s.mu.Lock()
	s.states[vm.Name] = v
	s.mu.Unlock()
	return v, first
}

func TestNewVMStartsFromAPeerWhileThePlatformIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := newSwitchboard()
		faulty := daisyplatform.NewFaulty(daisyplatform.NewEmbedded(), 1)
		old, _ := board.startState(1, faulty)
		assert.NilError(t, old.plans.ConfirmFirst(t.Context(), testIntent(45), "ana"))
		time.Sleep(time.Minute)
		faulty.SetFaults(daisyplatform.Down{})
		begin := time.Now()
		fresh, first := board.startState(2, faulty)
		// The new VM connects to its seed.
		first.member.LinkOpened(memberVM(1))
		board.find("vm-1").LinkOpened(memberVM(2))
		time.Sleep(startBound)
		took := (<-first.at).Sub(begin)
		assert.Assert(t, took <= startBound, "%s", took)
		assert.Equal(t, fresh.config.InForce().Hash, old.config.InForce().Hash)
		assert.DeepEqual(t, names(board.find("vm-1")), []daisyvm.Name{"vm-1", "vm-2"})
		fresh.Close()
		old.Close()
		board.stop("vm-1")
		board.stop("vm-2")
	})
}
