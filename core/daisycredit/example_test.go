package daisycredit_test

import (
	"fmt"
	"net/netip"
	"time"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// A VM with waiting requests reports its demand, and the owner lends it credits.
func Example() {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	service := daisyservice.Service{
		ID:        daisyservice.ID{Fleet: "vigia-lar", Name: "visit-lookups"},
		Ranks:     []daisyrank.Rank{{Name: "urgent", Floor: 0.5}},
		Endpoints: []daisyendpoint.Endpoint{{Address: address, Slots: 3}},
	}
	vms := []daisyvm.VM{{Name: "vm-1", Incarnation: 1}, {Name: "vm-2", Incarnation: 1}}
	now := time.Unix(0, 0)
	ownerVM, _ := daisycredit.ChooseOwner(service.ID, daisyfleet.ZoneID{}, vms)
	owner := daisycredit.NewOwner(now, daisycredit.OwnerOptions{Self: ownerVM, Service: service})
	owner.SetVMs(now, vms)
	borrowers := make(map[daisyvm.Name]*daisycredit.Borrower)
	for _, v := range vms {
		borrowers[v.Name] = daisycredit.NewBorrower(v, service, daisycredit.InAdvance{})
		borrowers[v.Name].SetVMs(now, vms)
	}
	for range 200 {
		now = now.Add(time.Millisecond)
		borrowers["vm-2"].SetDemand(now, []daisycredit.Demand{{Waiting: 3}})
		for name, b := range borrowers {
			if r, ok := b.Flush(now); ok {
				owner.Receive(now, name, r)
			}
		}
		for _, g := range owner.Flush(now) {
			borrowers[g.To].Receive(now, ownerVM.Name, g.Grant)
		}
	}
	fmt.Println(borrowers["vm-1"].Idle(address), borrowers["vm-2"].Idle(address))
	// Output: 0 3
}

func ExampleAllocate() {
	ranks := []daisyrank.Rank{{Name: "urgent", Floor: 0.5}, {Name: "standard", Floor: 0.3}, {Name: "bulk", Floor: 0.05}}
	fmt.Println(daisycredit.Allocate(30, ranks, []int{99, 99, 99}))
	fmt.Println(daisycredit.Allocate(30, ranks, []int{10, 4, 99}))
	// Output:
	// [19 9 2]
	// [10 4 16]
}
