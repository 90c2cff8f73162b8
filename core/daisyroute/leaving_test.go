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

func TestOwnerLendsToALeavingVM(t *testing.T) {
	leaving := daisyvm.VM{Name: "vm-1", Incarnation: 1}
	cases := []struct {
		name  string
		event daisyroute.PeersChanged
		lends bool
	}{
		{"leaving", daisyroute.PeersChanged{VMs: []daisyvm.VM{self}, Leaving: []daisyvm.VM{leaving}}, true},
		{"gone", daisyroute.PeersChanged{VMs: []daisyvm.VM{self}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			service := newService(4, 3)
			h := newHarness(t, service, daisyroute.Credits{})
			h.handle(c.event)
			report := daisycredit.Report{
				Service:  service.ID,
				Sequence: 1,
				Demand:   make([]daisycredit.Demand, len(ranks)),
			}
			report.Demand[0].Waiting = 2
			all := h.handle(daisyroute.PeerMessage{From: leaving.Name, Message: daisymessage.CreditReport{Report: report}})
			all = append(all, h.advance(time.Second)...)
			messages := 0
			for _, m := range ofType[daisyroute.SendMessage](all) {
				if m.To == leaving.Name {
					messages++
				}
			}
			assert.Equal(t, messages > 0, c.lends, "%d messages to the VM", messages)
		})
	}
}
