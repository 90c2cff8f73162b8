package daisycontroller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisystop"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyplatform"
)

// slowCallers is a callers' server whose shutdown takes a fixed time.
type slowCallers struct {
	leaving      bool
	shutdownTime time.Duration
}

func (b *slowCallers) SetLeaving(leaving bool) { b.leaving = leaving }

func (b *slowCallers) Shutdown(context.Context) error {
	time.Sleep(b.shutdownTime)
	return nil
}

type stoppingVM struct {
	member  *daisycontroller.Member
	leases  *daisycontroller.Lease
	stop    *daisycontroller.Stop
	callers *slowCallers
}

func (s *testNetwork) startStopping(i int, platform daisyplatform.Platform) *stoppingVM {
	vm := memberVM(i)
	v := &stoppingVM{member: s.start(vm), callers: &slowCallers{shutdownTime: 3 * time.Second}}
	v.leases = daisycontroller.NewLease(daisycontroller.LeaseOptions{Self: vm, Platform: platform, Seed: uint64(i)})
	v.stop = daisycontroller.NewStop(daisycontroller.StopOptions{
		Member: v.member, Leases: v.leases, Sender: networkLinker{network: s, self: vm.Name}, Callers: v.callers,
	})
	return v
}

func (v *stoppingVM) close() {
	v.stop.Close()
	v.leases.Close()
	v.member.Close()
}

func TestPlannedStopsRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork()
		platform := daisyplatform.NewEmbedded()
		var vms []*stoppingVM
		for i := 1; i <= 3; i++ {
			v := network.startStopping(i, platform)
			if i > 1 {
				v.member.LinkOpened(memberVM(1))
			}
			vms = append(vms, v)
		}
		time.Sleep(time.Second)
		vms[0].stop.RequestStop("signal")
		time.Sleep(time.Second)
		assert.Equal(t, vms[0].stop.Phase(), daisystop.Leaving)
		assert.Assert(t, vms[0].callers.leaving)
		assert.DeepEqual(t, names(vms[1].member), []daisyvm.Name{"vm-2", "vm-3"})
		vms[1].stop.RequestStop("ana")
		time.Sleep(2 * time.Second)
		assert.Equal(t, vms[1].stop.Phase(), daisystop.Waiting)
		<-vms[0].stop.Finished()
		vms[0].close()
		<-vms[1].stop.Finished()
		vms[1].close()
		assert.DeepEqual(t, names(vms[2].member), []daisyvm.Name{"vm-3"})
		vms[2].close()
	})
}

func TestDrainReachesAnotherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork()
		platform := daisyplatform.NewEmbedded()
		a, b := network.startStopping(1, platform), network.startStopping(2, platform)
		b.member.LinkOpened(memberVM(1))
		network.stoppers[memberVM(2).Name] = b.stop
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		assert.NilError(t, a.stop.Drain(ctx, "vm-2", "ana"))
		<-b.stop.Finished()
		assert.Equal(t, a.stop.Phase(), daisystop.Serving)
		assert.ErrorContains(t, a.stop.Drain(ctx, "vm-9", "ana"), "no VM")
		a.close()
		b.close()
	})
}
