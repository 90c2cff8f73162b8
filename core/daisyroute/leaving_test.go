package daisyroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyvm"
)

func TestOwnerGoesOnLendingToALeavingVM(t *testing.T) {
	leaver := daisyvm.VM{Name: "vm-1", Incarnation: 1}
	cases := []struct {
		name  string
		event daisyroute.PeersChanged
		lends bool
	}{
		{"leaving", daisyroute.PeersChanged{VMs: []daisyvm.VM{self}, Leaving: []daisyvm.VM{leaver}}, true},
		{"gone", daisyroute.PeersChanged{VMs: []daisyvm.VM{self}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			service := newService(4, 3)
			h := newHolder(t, service, daisyroute.Credits{})
			h.handle(c.event)
			report := daisycredit.Report{
				Service:  service.ID,
				Sequence: 1,
				Demand:   make([]daisycredit.Demand, len(ranks)),
			}
			report.Demand[0].Waiting = 2
			all := h.handle(daisyroute.PeerMessage{From: leaver.Name, Message: daisymessage.CreditReport{Report: report}})
			all = append(all, h.pass(time.Second)...)
			told := 0
			for _, m := range of[daisyroute.Tell](all) {
				if m.To == leaver.Name {
					told++
				}
			}
			assert.Equal(t, told > 0, c.lends, "%d messages", told)
		})
	}
}
