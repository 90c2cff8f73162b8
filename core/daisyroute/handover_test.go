package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// ownerOf returns the VM that owns the slots of a service.
func ownerOf(service daisyservice.ID, vms []daisyvm.VM) daisyvm.VM {
	owner, _ := daisycredit.ChooseOwner(service, daisyfleet.ZoneID{}, vms)
	return owner
}

// Guards against an order that is sent twice around the hand-over of a service: the old
// owner and the new one both lend a credit for it.
func TestOrderIsSentOnceWhenTwoOwnersLend(t *testing.T) {
	service := newService(4, 2)
	var others []daisyvm.VM
	for _, name := range []daisyvm.Name{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"} {
		others = append(others, daisyvm.VM{Name: name, Incarnation: 1})
	}
	h := newHarness(t, service, daisyroute.Credits{Lending: daisycredit.OnDemand{}})
	live := append([]daisyvm.VM{self}, others...)
	first := ownerOf(service.ID, live)
	h.handle(daisyroute.PeersChanged{VMs: live})
	grantFrom := func(owner daisyvm.VM, endpoint int, sequence uint64) []daisyroute.Decision {
		return h.handle(daisyroute.PeerMessage{From: owner.Name, Message: daisymessage.CreditGrant{Grant: daisycredit.Grant{
			Service:  service.ID,
			Term:     daisycredit.Term{Owner: owner.Name, Incarnation: owner.Incarnation, Number: 1},
			Sequence: sequence,
			Granted:  []daisycredit.Granted{{Endpoint: address(endpoint), Granted: 1}},
			Target:   1,
		}}})
	}
	h.handle(daisyroute.PeerMessage{From: first.Name, Message: daisymessage.CreditGrant{Grant: daisycredit.Grant{
		Service: service.ID, Term: daisycredit.Term{Owner: first.Name, Incarnation: 1, Number: 1}, Sequence: 1,
	}}})
	order := daisyrequest.Request{ID: 77, Rank: ranks[1].Name, Arrived: h.now, Deadline: h.now.Add(2 * time.Second)}
	all := h.arrive(order)
	all = append(all, grantFrom(first, 0, 2)...)
	var rest []daisyvm.VM
	for _, v := range live {
		if v.Name != first.Name {
			rest = append(rest, v)
		}
	}
	all = append(all, h.handle(daisyroute.PeersChanged{VMs: rest})...)
	second := ownerOf(service.ID, rest)
	all = append(all, grantFrom(second, 1, 1)...)
	all = append(all, grantFrom(first, 2, 3)...)
	all = append(all, h.advance(time.Second)...)
	sends := 0
	for _, s := range ofType[daisyroute.Send](all) {
		if s.Request == order.ID {
			sends++
		}
	}
	assert.Equal(t, sends, 1)
}
