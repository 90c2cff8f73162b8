package daisyroute

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisybudget"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

func TestSharedBudgetsDivideTheReserves(t *testing.T) {
	l := daisybudget.Limits{Share: 0.2, Reserve: 60, HedgeFraction: 0.6, HedgeReserve: 30}
	assert.Equal(t, PerVM{Limits: l}.limits(6), l)
	assert.Equal(t, Shared{Limits: l}.limits(6), daisybudget.Limits{Share: 0.2, Reserve: 10, HedgeFraction: 0.6, HedgeReserve: 5})
}

// TestVMsThatFellSilentKeepTheirShareOfTheBudget cuts a VM off from the five others, which
// may still send: with the whole reserve at each VM, their retries would add up to six times
// the budget.
func TestVMsThatFellSilentKeepTheirShareOfTheBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	service := daisyservice.Service{ID: daisyservice.ID{Fleet: "f", Name: "s"}, Ranks: []daisyrank.Rank{{Name: "urgent", Target: time.Minute, Worth: 1}}}
	for i := range 8 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		service.Endpoints = append(service.Endpoints, daisyendpoint.Endpoint{Address: address, Slots: 50, Connections: 50})
	}
	var vms []daisyvm.VM
	for _, name := range []daisyvm.Name{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5"} {
		vms = append(vms, daisyvm.VM{Name: name, Incarnation: 1})
	}
	d := NewDispatcher(Options{
		Self:    vms[0],
		Service: service,
		Random:  rand.New(rand.NewPCG(1, 2)),
		Policy:  LeastOfTwo{},
		Budget:  Shared{Limits: daisybudget.Limits{Window: 10 * time.Second, Reserve: 60}},
	})
	retriesWithin := func(length time.Duration) int {
		retries := 0
		for end := now.Add(length); now.Before(end); now = now.Add(10 * time.Millisecond) {
			id := daisyrequest.ID(now.UnixMilli())
			pending := d.Handle(now, RequestArrived{Request: daisyrequest.Request{ID: id, Arrived: now, Deadline: now.Add(time.Minute), Idempotent: true}})
			for len(pending) > 0 {
				var next []Decision
				for _, decision := range append([]Decision(nil), pending...) {
					s, ok := decision.(Send)
					if !ok {
						continue
					}
					if s.Reason == Retry {
						retries++
					}
					next = append(next, d.Handle(now, AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.BrokenOff{}, Resendable: true})...)
				}
				pending = next
			}
		}
		return retries
	}
	d.Handle(now, PeersChanged{VMs: vms})
	d.Handle(now, PeersChanged{VMs: vms[:1]})
	const reserve, share = 60, 10
	cutOff := retriesWithin(9 * time.Second)
	assert.Assert(t, cutOff > 0 && cutOff <= share, "%d retries of one VM of six", cutOff)
	now = now.Add(silentShareTime)
	d.Handle(now, TimePassed{})
	assert.Assert(t, retriesWithin(9*time.Second) > reserve/2, "VMs that stay away keep their share for ever")
}
