package daisycredit

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// onDemandRounds simulates requests for a service that arrive at many VMs one after
// the other, with credits lent on demand.
type onDemandRounds struct {
	now       time.Time
	service   daisyservice.Service
	vms       []daisyvm.VM
	owner     *Owner
	ownerName daisyvm.Name
	borrowers map[daisyvm.Name]*Borrower
	running   []runningAttempt
}

type runningAttempt struct {
	vm       daisyvm.Name
	endpoint netip.AddrPort
}

func newOnDemandRounds(vms, endpoints int) *onDemandRounds {
	r := &onDemandRounds{now: time.Unix(0, 0), service: testService(endpoints), borrowers: make(map[daisyvm.Name]*Borrower)}
	for i := range vms {
		r.vms = append(r.vms, daisyvm.VM{Name: daisyvm.Name(fmt.Sprint("vm-", i)), Incarnation: 1})
	}
	chosen, _ := ChooseOwner(r.service.ID, daisyfleet.ZoneID{}, r.vms)
	r.ownerName = chosen.Name
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

// exchange delivers the messages between one VM and the owner, and answers the owner's probes.
func (r *onDemandRounds) exchange(name daisyvm.Name) {
	if report, ok := r.borrowers[name].Flush(r.now); ok {
		r.owner.Receive(r.now, name, report)
	}
	for _, g := range r.owner.Flush(r.now) {
		r.borrowers[g.To].Receive(r.now, r.ownerName, g.Grant)
	}
	for _, a := range r.owner.TakeProbes() {
		r.owner.NoteReport(r.now, a, daisyendpoint.Report{At: r.now, Slots: testSlots, Slowdown: 1})
	}
}

// serve has one request wait at a VM for a credit, starts its attempt, and reports
// whether it got a credit.
func (r *onDemandRounds) serve(name daisyvm.Name) bool {
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

// endOldest ends the oldest attempt.
func (r *onDemandRounds) endOldest() {
	oldest := r.running[0]
	r.running = r.running[1:]
	r.borrowers[oldest.vm].Release(r.now, oldest.endpoint)
	r.exchange(oldest.vm)
}

// BenchmarkOwnerOnDemand measures the work of the owner and the borrower for one
// request of a service with 53 VMs and 178 endpoints.
func BenchmarkOwnerOnDemand(b *testing.B) {
	const vms, endpoints, running = 53, 178, 100
	r := newOnDemandRounds(vms, endpoints)
	served := 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if r.serve(r.vms[i%vms].Name) {
			served++
		}
		if len(r.running) > running {
			r.endOldest()
		}
	}
	b.ReportMetric(float64(served)/float64(b.N), "served/op")
}
