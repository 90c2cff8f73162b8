package daisycredit

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// demandRounds has the requests of a service at many VMs, one after the other.
type demandRounds struct {
	now       time.Time
	service   daisyservice.Service
	vms       []daisyvm.VM
	owner     *Owner
	self      daisyvm.Name
	borrowers map[daisyvm.Name]*Borrower
	running   []runningAttempt
}

type runningAttempt struct {
	vm       daisyvm.Name
	endpoint netip.AddrPort
}

func newDemandRounds(vms, endpoints int) *demandRounds {
	r := &demandRounds{now: time.Unix(0, 0), service: testService(endpoints), borrowers: make(map[daisyvm.Name]*Borrower)}
	for i := range vms {
		r.vms = append(r.vms, daisyvm.VM{Name: daisyvm.Name(fmt.Sprint("vm-", i)), Incarnation: 1})
	}
	chosen, _ := ChooseOwner(r.service.ID, r.vms)
	r.self = chosen.Name
	r.owner = NewOwner(r.now, OwnerOptions{Self: chosen, Service: r.service, Lending: OnDemand{}})
	for _, v := range r.vms {
		r.borrowers[v.Name] = NewBorrower(v, r.service, OnDemand{})
		r.borrowers[v.Name].SetVMs(r.now, r.vms)
	}
	r.owner.SetVMs(r.now, r.vms)
	for range 300 {
		r.now = r.now.Add(time.Millisecond)
		for _, v := range r.vms {
			r.exchange(v.Name)
		}
	}
	return r
}

// exchange passes on the messages between one VM and the owner.
func (r *demandRounds) exchange(name daisyvm.Name) {
	if report, ok := r.borrowers[name].Flush(r.now); ok {
		r.owner.Receive(r.now, name, report)
	}
	for _, l := range r.owner.Flush(r.now) {
		r.borrowers[l.To].Receive(r.now, r.self, l.Grant)
	}
	for _, a := range r.owner.Inspections() {
		r.owner.NoteReport(r.now, a, daisyendpoint.Report{At: r.now, Slots: testSlots, Slowdown: 1})
	}
}

// serve has one request of a VM get a credit and begin, and reports whether it did.
func (r *demandRounds) serve(name daisyvm.Name) bool {
	b := r.borrowers[name]
	b.SetDemand(r.now, []Demand{{Waiting: 1, InFlight: uint32(b.inFlight())}, {}, {}})
	for range 3 {
		r.now = r.now.Add(time.Millisecond)
		r.exchange(name)
	}
	served := false
	for _, e := range r.service.Endpoints {
		if b.Idle(e.Address) > 0 {
			b.Take(e.Address)
			r.running = append(r.running, runningAttempt{vm: name, endpoint: e.Address})
			served = true
			break
		}
	}
	b.SetDemand(r.now, []Demand{{InFlight: uint32(b.inFlight())}, {}, {}})
	return served
}

// end ends the oldest attempt.
func (r *demandRounds) end() {
	first := r.running[0]
	r.running = r.running[1:]
	r.borrowers[first.vm].Release(r.now, first.endpoint)
	r.exchange(first.vm)
}

// BenchmarkOwnerOnDemand has one request of a service with 53 VMs and 178 endpoints
// in each round: the sum of what the owner and the borrower do for it.
func BenchmarkOwnerOnDemand(b *testing.B) {
	const vms, endpoints, running = 53, 178, 100
	r := newDemandRounds(vms, endpoints)
	served := 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if r.serve(r.vms[i%vms].Name) {
			served++
		}
		if len(r.running) > running {
			r.end()
		}
	}
	b.ReportMetric(float64(served)/float64(b.N), "served/op")
}
