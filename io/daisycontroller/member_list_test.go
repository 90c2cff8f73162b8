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

type noLinks struct{ silence }

func (noLinks) Connect(daisyvm.VM) {}

func (noLinks) Forget(daisyvm.Name) {}

func TestAVMStaysOnThePlatformsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := daisyplatform.NewEmbedded()
		self := daisyvm.VM{Name: "vm-1", Incarnation: 1, Peers: netip.MustParseAddrPort("127.0.0.1:7001")}
		members := daisycontroller.NewMember(daisycontroller.MemberOptions{Self: self, Linker: noLinks{}, List: platform})
		for range 60 {
			time.Sleep(time.Minute)
			assert.Equal(t, len(platform.ListVMs(t.Context()).(daisyplatform.VMsListed).VMs), 1)
		}
		members.Close()
		time.Sleep(time.Minute)
		assert.Equal(t, len(platform.ListVMs(t.Context()).(daisyplatform.VMsListed).VMs), 0)
	})
}

func TestAVMWithoutAPeersAddressIsNotAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := daisyplatform.NewEmbedded()
		members := daisycontroller.NewMember(daisycontroller.MemberOptions{Self: daisyvm.VM{Name: "vm-1", Incarnation: 1}, Linker: noLinks{}, List: platform})
		defer members.Close()
		time.Sleep(time.Minute)
		assert.Equal(t, len(platform.ListVMs(t.Context()).(daisyplatform.VMsListed).VMs), 0, "other VMs cannot connect to it")
	})
}
