package daisycontroller_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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

func TestVMWithoutPeerAddressIsNotAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := daisyplatform.NewEmbedded()
		members := daisycontroller.NewMember(daisycontroller.MemberOptions{Self: daisyvm.VM{Name: "vm-1", Incarnation: 1}, Linker: noopLinker{}, List: platform})
		defer members.Close()
		time.Sleep(time.Minute)
		assert.Equal(t, len(platform.ListVMs(t.Context()).(daisyplatform.VMsListed).VMs), 0, "other VMs cannot connect to it")
	})
}
