package daisyroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// newSizedHarness returns a harness of a VM with 0.8 of a core, and two others with as much in
// each zone. It owns the service as a whole if owns is set.
func newSizedHarness(t *testing.T, endpoints int, owns bool) (*harness, daisyservice.Service, []daisyvm.VM) {
	capacity := daisyvm.NewCapacity(0.8, 200e6)
	sized := self
	sized.Capacity = capacity
	vms := []daisyvm.VM{sized}
	for i := range 6 {
		vms = append(vms, daisyvm.VM{Name: daisyvm.Name(fmt.Sprint("vm-", i+1)), Incarnation: 1, Zone: zones[i%len(zones)], Capacity: capacity})
	}
	service := newZonedService(endpoints)
	for i := 0; ; i++ {
		service.ID.Name = fmt.Sprint("lookups-", i)
		if owner, _ := daisycredit.ChooseOwner(service.ID, daisyfleet.ZoneID{}, vms); (owner.Name == sized.Name) == owns {
			break
		}
	}
	h := &harness{t: t, now: start, dispatcher: daisyroute.NewDispatcher(daisyroute.Options{
		Self: sized, Service: service, Random: rand.New(rand.NewPCG(1, 2)), Policy: daisyroute.Credits{Lending: daisycredit.OnDemand{}},
	})}
	h.handle(daisyroute.PeersChanged{VMs: vms})
	return h, service, vms
}

// Guards against a service that is divided although its owner has the capacity, against one
// that is not although it has too little, and against one that goes back and forth with a
// rate near the limit: its slots are lent twice each time.
func TestOwnerDividesTheServiceByItsRate(t *testing.T) {
	h, service, vms := newSizedHarness(t, 30, true)
	sequence := uint64(0)
	changes := 0
	var stated daisycredit.Division
	// report lets the other VMs have a rate together for a while.
	report := func(perSecond float64, length time.Duration) {
		for end := h.now.Add(length); h.now.Before(end); {
			sequence++
			var decisions []daisyroute.Decision
			for _, v := range vms[1:] {
				decisions = append(decisions, h.handle(daisyroute.PeerMessage{From: v.Name, Message: daisymessage.CreditReport{Report: daisycredit.Report{
					Service: service.ID, Sequence: sequence, Rate: perSecond / float64(len(vms)-1),
				}}})...)
			}
			for _, d := range append(decisions, h.advance(100*time.Millisecond)...) {
				switch x := d.(type) {
				case daisyroute.DivisionChanged:
					changes++
				case daisyroute.SendMessage:
					if g, ok := x.Message.(daisymessage.CreditGrant); ok && g.Grant.Zone == (daisyfleet.ZoneID{}) && g.Grant.Sequence > 0 {
						stated = g.Grant.Division
					}
				}
			}
		}
	}
	steps := []struct {
		perSecond float64
		length    time.Duration
		want      daisycredit.Division
		changes   int
	}{
		{500, 20 * time.Second, daisycredit.Undivided, 0},
		{700, 3 * time.Second, daisycredit.Divided, 1},
		{500, 30 * time.Second, daisycredit.Divided, 1},
		{300, 5 * time.Second, daisycredit.Undivided, 2},
		{600, 30 * time.Second, daisycredit.Undivided, 2},
	}
	for _, s := range steps {
		report(s.perSecond, s.length)
		assert.Equal(t, stated, s.want, "%v requests a second", s.perSecond)
		assert.Equal(t, changes, s.changes, "%v requests a second", s.perSecond)
	}
}

// Guards against VMs that ask other owners than the owner of the service states, whatever
// the number of endpoints, and against a waiting request that is forgotten by the change.
func TestVMsFollowTheStatedDivision(t *testing.T) {
	for _, endpoints := range []int{30, 120} {
		h, service, vms := newSizedHarness(t, endpoints, false)
		owner, _ := daisycredit.ChooseOwner(service.ID, daisyfleet.ZoneID{}, vms)
		state := func(sequence uint64, division daisycredit.Division) []daisyroute.Decision {
			return h.handle(daisyroute.PeerMessage{From: owner.Name, Message: daisymessage.CreditGrant{Grant: daisycredit.Grant{
				Service: service.ID, Term: daisycredit.Term{Owner: owner.Name, Incarnation: 1, Number: 1}, Sequence: sequence, Division: division,
			}}})
		}
		state(1, daisycredit.Undivided)
		h.startTerms(service.ID, vms)
		asked := demanded(append(h.arrive(h.request(2)), h.advance(10*time.Millisecond)...))
		assert.DeepEqual(t, asked, map[daisyfleet.ZoneID]uint32{{}: 1})
		decisions := state(2, daisycredit.Divided)
		assert.Assert(t, single[daisyroute.DivisionChanged](t, decisions).Divided)
		h.startTerms(service.ID, vms)
		asked = demanded(h.advance(60 * time.Millisecond))
		assert.Assert(t, len(asked) > 0 && asked[daisyfleet.ZoneID{}] == 0, "%v", asked)
		decisions = state(3, daisycredit.Undivided)
		assert.Assert(t, !single[daisyroute.DivisionChanged](t, decisions).Divided)
		asked = demanded(append(decisions, h.advance(30*time.Millisecond)...))
		assert.Equal(t, asked[daisyfleet.ZoneID{}], uint32(1), "%v", asked)
	}
}

// Guards against callers that are sent to a VM whose processor is taken by lending.
func TestLendingLoadIsTheShareOfTheProcessorThatGrantsTake(t *testing.T) {
	h, service, vms := newSizedHarness(t, 30, true)
	for _, v := range vms[1:] {
		h.handle(daisyroute.PeerMessage{From: v.Name, Message: daisymessage.CreditReport{Report: daisycredit.Report{Service: service.ID, Sequence: 1}}})
	}
	h.advance(time.Second)
	assert.Equal(t, h.dispatcher.LendingLoad(h.now), 0.0)
	for range 2_000 {
		h.now = h.now.Add(10 * time.Millisecond)
		d := h.arrive(h.request(0))
		for _, p := range ofType[daisyroute.Probe](d) {
			report := daisyendpoint.Report{At: h.now, Slots: 2, Slowdown: 1}
			d = append(d, h.handle(daisyroute.ReportReceived{Endpoint: p.Endpoint, Report: report})...)
		}
		for _, s := range ofType[daisyroute.Send](append(d, h.advance(time.Millisecond)...)) {
			h.answer(s.Attempt, 200, time.Millisecond)
		}
	}
	// About 91 requests a second, of the 700 that the VM can lend for.
	load := h.dispatcher.LendingLoad(h.now)
	assert.Assert(t, load > 0.12 && load < 0.14, "%v", load)
}
