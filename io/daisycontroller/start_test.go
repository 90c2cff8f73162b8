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

// maxStartTime is the maximum time until a new VM is ready while a peer is up.
const maxStartTime = time.Second

// firstApplyRecorder records when the first configuration is in force on a VM.
type firstApplyRecorder struct {
	member *daisycontroller.Member
	// at receives the time of the first Apply.
	at chan time.Time
}

func (f *firstApplyRecorder) Apply(s *daisyconfig.Snapshot) {
	select {
	case f.at <- time.Now():
	default:
	}
	f.member.Apply(s)
	f.member.SetReady(true)
}

func (s *testNetwork) startConfigVM(i int, platform daisyplatform.Platform) (*configVM, *firstApplyRecorder) {
	vm := memberVM(i)
	link := networkLinker{network: s, self: vm.Name}
	first := &firstApplyRecorder{member: s.start(vm), at: make(chan time.Time, 1)}
	first.member.SetReady(false)
	config := daisycontroller.NewConfig(daisycontroller.ConfigOptions{
		Self: vm, Platform: platform, Sender: link, Seed: uint64(i), Appliers: []daisycontroller.Applier{first},
	})
	plans := daisycontroller.NewPlan(daisycontroller.PlanOptions{Self: vm, Platform: platform, Config: config, Seed: uint64(i)})
	v := &configVM{config: config, plans: plans}
	s.mu.Lock()
	s.configs[vm.Name] = v
	s.mu.Unlock()
	return v, first
}

func TestNewVMStartsFromPeerWhilePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork()
		faulty := daisyplatform.NewFaulty(daisyplatform.NewEmbedded(), 1)
		old, _ := network.startConfigVM(1, faulty)
		assert.NilError(t, old.plans.ConfirmFirst(t.Context(), testIntent(45), "ana"))
		time.Sleep(time.Minute)
		faulty.SetFaults(daisyplatform.Down{})
		begin := time.Now()
		fresh, first := network.startConfigVM(2, faulty)
		// The new VM connects to its seed.
		first.member.LinkOpened(memberVM(1))
		network.find("vm-1").LinkOpened(memberVM(2))
		time.Sleep(maxStartTime)
		took := (<-first.at).Sub(begin)
		assert.Assert(t, took <= maxStartTime, "%s", took)
		assert.Equal(t, fresh.config.InForce().Hash, old.config.InForce().Hash)
		assert.DeepEqual(t, names(network.find("vm-1")), []daisyvm.Name{"vm-1", "vm-2"})
		fresh.Close()
		old.Close()
		network.stop("vm-1")
		network.stop("vm-2")
	})
}
