package daisytrial_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisytrial"
)

var (
	vm     = netip.MustParseAddrPort("127.0.0.1:1")
	other  = netip.MustParseAddrPort("127.0.0.1:2")
	start  = time.Unix(1_800_000_000, 0)
	outage = daisytrial.Outage{VM: vm, From: start.Add(3 * time.Second), To: start.Add(7 * time.Second)}
)

func at(vm netip.AddrPort, from, to int) daisytrial.Span {
	return daisytrial.Span{VM: vm, From: start.Add(time.Duration(from) * time.Second), To: start.Add(time.Duration(to) * time.Second)}
}

func TestAuditCountsViolations(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		outcome daisytrial.Outcome
		runs    int
		want    daisytrial.Audit
	}{
		{"served once", "POST", daisytrial.Served{Status: 200}, 1, daisytrial.Audit{}},
		{"lookup ran twice", "GET", daisytrial.Served{Status: 200}, 2, daisytrial.Audit{}},
		{"order ran twice", "POST", daisytrial.Served{Status: 200}, 2, daisytrial.Audit{Duplicated: 1}},
		{"refused and not run", "POST", daisytrial.Refused{Status: 429}, 0, daisytrial.Audit{}},
		{"refused and run", "GET", daisytrial.Refused{Status: 503}, 1, daisytrial.Audit{FalseNotRun: 1}},
		{"unknown and run", "POST", daisytrial.Failed{Status: 502}, 1, daisytrial.Audit{}},
		{"an endpoint's own failure", "GET", daisytrial.Served{Status: 500}, 0, daisytrial.Audit{}},
		{"served and never run", "GET", daisytrial.Served{Status: 200}, 0, daisytrial.Audit{NeverRan: 1}},
		{"truncated", "GET", daisytrial.Truncated{}, 1, daisytrial.Audit{Truncated: 1}},
		{"mismatched", "GET", daisytrial.Mismatched{}, 1, daisytrial.Audit{Mismatched: 1}},
		{"truncated by a killed VM", "GET", daisytrial.Truncated{Span: at(vm, 5, 6)}, 1, daisytrial.Audit{BrokenByOutage: 1}},
		{"no response of a killed VM", "POST", daisytrial.NoResponse{Span: at(vm, 1, 4)}, 1, daisytrial.Audit{BrokenByOutage: 1}},
		{"no response before the outage", "POST", daisytrial.NoResponse{Span: at(vm, 1, 2)}, 1, daisytrial.Audit{Lost: 1}},
		{"no response after the outage", "POST", daisytrial.NoResponse{Span: at(vm, 8, 9)}, 1, daisytrial.Audit{Lost: 1}},
		{"no response of another VM", "POST", daisytrial.NoResponse{Span: at(other, 4, 5)}, 1, daisytrial.Audit{Lost: 1}},
		{"no response", "GET", daisytrial.NoResponse{}, 0, daisytrial.Audit{Lost: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := &daisytrial.Ledger{}
			l.Record(daisytrial.Call{Stream: daisytrial.Stream{Method: c.method}, Key: "k"}, c.outcome)
			audit := l.Audit(map[string]int{"k": c.runs}, outage)
			assert.Equal(t, audit, c.want)
			assert.Equal(t, audit.Sound(), c.want.BrokenByOutage == 1 || c.want == daisytrial.Audit{})
		})
	}
}
