package daisycontroller_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyplatform"
)

type noopLinker struct{ noopSender }

func (noopLinker) Connect(daisyvm.VM) {}

func (noopLinker) Forget(daisyvm.Name) {}

func TestRunningVMStaysOnPlatformList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := daisyplatform.NewEmbedded()
		self := daisyvm.VM{Name: "vm-1", Incarnation: 1, Peers: netip.MustParseAddrPort("127.0.0.1:7001")}
		members := daisycontroller.NewMember(daisycontroller.MemberOptions{Self: self, Linker: noopLinker{}, List: platform})
		for range 60 {
			time.Sleep(time.Minute)
			assert.Equal(t, len(platform.ListVMs(t.Context()).(daisyplatform.VMsListed).VMs), 1)
		}
		members.Close()
		time.Sleep(time.Minute)
		assert.Equal(t, len(platform.ListVMs(t.Context()).(daisyplatform.VMsListed).VMs), 0)
	})
}

// listingPlatform counts the reads of its list, which names VMs that are all live.
type listingPlatform struct {
	daisyplatform.VMs
	reads, announcements atomic.Int64
}

func (p *listingPlatform) ListVMs(ctx context.Context) daisyplatform.Answer {
	p.reads.Add(1)
	return p.VMs.ListVMs(ctx)
}

func (p *listingPlatform) AnnounceVM(ctx context.Context, vm daisyplatform.ListedVM) daisyplatform.Answer {
	p.announcements.Add(1)
	return p.VMs.AnnounceVM(ctx, vm)
}

// The calls of all VMs to the platform do not grow with their number, and a VM that leaves
// does not read the list.
func TestVMsReadThePlatformListTheLessOftenTheMoreThereAre(t *testing.T) {
	for _, c := range []struct {
		vms   int
		reads int64
	}{{4, 13}, {40, 3}, {123, 2}} {
		synctest.Test(t, func(t *testing.T) {
			platform := &listingPlatform{VMs: daisyplatform.NewEmbedded()}
			self := daisyvm.VM{Name: "vm-1", Incarnation: 1, Peers: netip.MustParseAddrPort("127.0.0.1:7001")}
			members := daisycontroller.NewMember(daisycontroller.MemberOptions{
				Self: self, Linker: noopLinker{}, List: platform,
				ListInterval: 30 * time.Second, MaxListInterval: 5 * time.Minute,
			})
			defer members.Close()
			for second := range 320 {
				for i := range c.vms - 1 {
					vm := daisyvm.VM{Name: daisyvm.Name(fmt.Sprintf("other-%d", i)), Incarnation: 1}
					members.Receive(vm.Name, daisymessage.Heartbeat{VM: vm, Sequence: uint64(second) + 1})
				}
				time.Sleep(time.Second)
			}
			reads, announcements := platform.reads.Load(), platform.announcements.Load()
			assert.Assert(t, reads <= c.reads && reads > c.reads/2, "%d VMs: %d reads", c.vms, reads)
			members.SetStopping(true, true)
			synctest.Wait()
			assert.Equal(t, platform.reads.Load(), reads)
			assert.Equal(t, platform.announcements.Load(), announcements+1)
		})
	}
}

func TestVMWithoutPeerAddressIsNotAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := daisyplatform.NewEmbedded()
		members := daisycontroller.NewMember(daisycontroller.MemberOptions{Self: daisyvm.VM{Name: "vm-1", Incarnation: 1}, Linker: noopLinker{}, List: platform})
		defer members.Close()
		time.Sleep(time.Minute)
		assert.Equal(t, len(platform.ListVMs(t.Context()).(daisyplatform.VMsListed).VMs), 0, "other VMs cannot connect to it")
	})
}
