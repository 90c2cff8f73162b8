package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

func zone(name string) daisyfleet.ZoneID { return daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: name} }

var zones = []daisyfleet.ZoneID{zone("lisboa-a"), zone("porto-a"), zone("faro-a")}

// newZonedService returns a service large enough for an owner in each zone.
func newZonedService(endpoints int) daisyservice.Service {
	s := newService(endpoints, 2)
	for i := range s.Endpoints {
		s.Endpoints[i].Zone = zones[i%len(zones)]
	}
	return s
}

// newZonedHarness returns a harness of a VM that owns nothing, with two others a zone.
func newZonedHarness(t *testing.T, endpoints int) (h *harness, vms []daisyvm.VM) {
	h = newHarness(t, newZonedService(endpoints), daisyroute.Credits{Lending: daisycredit.OnDemand{}})
	for i, name := range []daisyvm.Name{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"} {
		vms = append(vms, daisyvm.VM{Name: name, Incarnation: 1, Zone: zones[i%len(zones)]})
	}
	h.handle(daisyroute.PeersChanged{VMs: append([]daisyvm.VM{self}, vms...)})
	return h, vms
}

// demanded returns the zones whose owners are told that requests wait.
func demanded(decisions []daisyroute.Decision) map[daisyfleet.ZoneID]uint32 {
	found := make(map[daisyfleet.ZoneID]uint32)
	for _, m := range ofType[daisyroute.SendMessage](decisions) {
		if r, ok := m.Message.(daisymessage.CreditReport); ok && len(r.Report.Demand) > 0 && r.Report.Demand[2].Waiting > 0 {
			found[r.Report.Zone] = r.Report.Demand[2].Waiting
		}
	}
	return found
}

// grantAll starts terms with all owners, in which they lend nothing yet.
func (h *harness) startTerms(service daisyservice.ID, vms []daisyvm.VM) {
	for _, z := range zones {
		owner, _ := daisycredit.ChooseOwner(service, z, append([]daisyvm.VM{self}, vms...))
		h.handle(daisyroute.PeerMessage{From: owner.Name, Message: daisymessage.CreditGrant{Grant: daisycredit.Grant{
			Service: service, Zone: z, Term: daisycredit.Term{Owner: owner.Name, Incarnation: 1, Number: 1}, Sequence: 1,
		}}})
	}
	h.advance(5 * time.Millisecond)
}

// Guards against owners of all zones that lend for the same request, and against a request
// that waits for one zone while others have room.
func TestOneMoreZoneIsAskedAtATime(t *testing.T) {
	h, vms := newZonedHarness(t, 96)
	service := newZonedService(0).ID
	h.startTerms(service, vms)
	first := demanded(append(h.arrive(h.request(2)), h.advance(10*time.Millisecond)...))
	assert.Equal(t, len(first), 1, "%v", first)
	second := demanded(h.advance(10 * time.Millisecond))
	assert.Equal(t, len(second), 1, "%v", second)
	third := demanded(h.advance(15 * time.Millisecond))
	assert.Equal(t, len(third), 1, "%v", third)
	asked := make(map[daisyfleet.ZoneID]bool)
	for _, m := range []map[daisyfleet.ZoneID]uint32{first, second, third} {
		for z := range m {
			asked[z] = true
		}
	}
	assert.Equal(t, len(asked), len(zones))
}

// Guards against owners that lend for the same request: the credits that come back unused
// occupy slots meanwhile.
func TestWaitingRequestsAreAskedForOnce(t *testing.T) {
	h, vms := newZonedHarness(t, 96)
	h.startTerms(newZonedService(0).ID, vms)
	asked := make(map[daisyfleet.ZoneID]uint32)
	for i := range 40 {
		var decisions []daisyroute.Decision
		if i < 4 {
			decisions = h.arrive(h.request(2))
		}
		for _, m := range ofType[daisyroute.SendMessage](append(decisions, h.advance(10*time.Millisecond)...)) {
			if r, ok := m.Message.(daisymessage.CreditReport); ok && len(r.Report.Demand) > 0 {
				asked[r.Report.Zone] = r.Report.Demand[2].Waiting
			}
		}
		var sum uint32
		for _, n := range asked {
			sum += n
		}
		// One request may be on its way from one owner to the next.
		assert.Assert(t, i < 8 || sum <= 5, "after %d ms %d credits are asked for 4 requests: %v", 10*(i+1), sum, asked)
	}
}

// Guards against a service of some dozen endpoints that is divided, which leaves each zone
// too few to choose from, and against one that is divided anew whenever an endpoint comes
// or goes.
func TestServiceIsDividedWhenItIsLarge(t *testing.T) {
	cases := []struct {
		sizes []int
		zoned bool
	}{
		{[]int{64}, false},
		{[]int{95}, false},
		{[]int{96}, true},
		{[]int{96, 70}, true},
		{[]int{96, 63, 95}, false},
	}
	for _, c := range cases {
		h, vms := newZonedHarness(t, c.sizes[0])
		for _, n := range c.sizes[1:] {
			h.handle(daisyroute.ServiceChanged{Service: newZonedService(n)})
		}
		h.startTerms(newZonedService(0).ID, vms)
		owner, _ := daisycredit.ChooseOwner(newZonedService(0).ID, daisyfleet.ZoneID{}, append([]daisyvm.VM{self}, vms...))
		h.handle(daisyroute.PeerMessage{From: owner.Name, Message: daisymessage.CreditGrant{Grant: daisycredit.Grant{
			Service: newZonedService(0).ID, Term: daisycredit.Term{Owner: owner.Name, Incarnation: 1, Number: 1}, Sequence: 1,
		}}})
		asked := demanded(append(h.arrive(h.request(2)), h.advance(10*time.Millisecond)...))
		_, whole := asked[daisyfleet.ZoneID{}]
		assert.Equal(t, len(asked) > 0 && !whole, c.zoned, "%v endpoints: asked %v", c.sizes, asked)
	}
}

// Guards against the owner of a zone that is far from it while VMs of the zone live.
func TestOwnerOfAZoneIsInIt(t *testing.T) {
	_, vms := newZonedHarness(t, 96)
	for _, z := range zones {
		owner, ok := daisycredit.ChooseOwner(newZonedService(0).ID, z, vms)
		assert.Check(t, ok && owner.Zone == z, "%v", owner)
	}
	owner, ok := daisycredit.ChooseOwner(newZonedService(0).ID, zone("elsewhere"), vms)
	assert.Check(t, ok, "%v", owner)
}
