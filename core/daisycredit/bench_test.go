package daisycredit

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyvm"
)

// BenchmarkOwnerOnDemand has one request of a service with 53 VMs and 178 endpoints
// in each round: the sum of what the owner and the borrower do for it.
func BenchmarkOwnerOnDemand(b *testing.B) {
	const vms, endpoints, running = 53, 178, 100
	now := time.Unix(0, 0)
	service := testService(endpoints)
	var views []daisyvm.VM
	for i := range vms {
		views = append(views, daisyvm.VM{Name: daisyvm.Name(fmt.Sprint("vm-", i)), Incarnation: 1})
	}
	chosen, _ := ChooseOwner(service.ID, views)
	owner := NewOwner(now, OwnerOptions{Self: chosen, Service: service, Lending: OnDemand{}})
	borrowers := make(map[daisyvm.Name]*Borrower)
	for _, v := range views {
		borrowers[v.Name] = NewBorrower(v, service, OnDemand{})
		borrowers[v.Name].SetVMs(now, views)
	}
	owner.SetVMs(now, views)
	exchange := func(name daisyvm.Name) {
		if r, ok := borrowers[name].Flush(now); ok {
			owner.Receive(now, name, r)
		}
		for _, l := range owner.Flush(now) {
			borrowers[l.To].Receive(now, chosen.Name, l.Grant)
		}
	}
	for range 300 {
		now = now.Add(time.Millisecond)
		for _, v := range views {
			exchange(v.Name)
		}
	}
	type attempt struct {
		vm       daisyvm.Name
		endpoint netip.AddrPort
	}
	var attempts []attempt
	served := 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		name := views[i%vms].Name
		borrower := borrowers[name]
		borrower.SetDemand(now, []Demand{{Waiting: 1, InFlight: uint32(borrower.inFlight())}, {}, {}})
		for range 3 {
			now = now.Add(time.Millisecond)
			exchange(name)
			for _, a := range owner.Inspections() {
				owner.NoteReport(now, a, daisyendpoint.Report{At: now, Slots: testSlots, Slowdown: 1})
			}
		}
		for _, e := range service.Endpoints {
			if borrower.Idle(e.Address) > 0 {
				borrower.Take(e.Address)
				attempts = append(attempts, attempt{vm: name, endpoint: e.Address})
				served++
				break
			}
		}
		borrower.SetDemand(now, []Demand{{InFlight: uint32(borrower.inFlight())}, {}, {}})
		if len(attempts) > running {
			borrowers[attempts[0].vm].Release(now, attempts[0].endpoint)
			exchange(attempts[0].vm)
			attempts = attempts[1:]
		}
	}
	b.ReportMetric(float64(served)/float64(b.N), "served/op")
}
