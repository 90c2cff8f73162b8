package daisytrial_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisytrial"
)

func TestAuditFindsEveryBreach(t *testing.T) {
	cases := []struct {
		name   string
		method string
		fate   daisytrial.Fate
		runs   int
		want   daisytrial.Audit
	}{
		{"served once", "POST", daisytrial.Served{Status: 200}, 1, daisytrial.Audit{}},
		{"lookup ran twice", "GET", daisytrial.Served{Status: 200}, 2, daisytrial.Audit{}},
		{"order ran twice", "POST", daisytrial.Served{Status: 200}, 2, daisytrial.Audit{Doubled: 1}},
		{"refused and not run", "POST", daisytrial.Refused{Status: 429}, 0, daisytrial.Audit{}},
		{"refused and run", "GET", daisytrial.Refused{Status: 503}, 1, daisytrial.Audit{FalseNotRun: 1}},
		{"unknown and run", "POST", daisytrial.Failed{Status: 502}, 1, daisytrial.Audit{}},
		{"served and never run", "GET", daisytrial.Served{Status: 200}, 0, daisytrial.Audit{NeverRan: 1}},
		{"cut", "GET", daisytrial.Cut{}, 1, daisytrial.Audit{Cut: 1}},
		{"mixed up", "GET", daisytrial.MixedUp{}, 1, daisytrial.Audit{MixedUp: 1}},
		{"no answer", "GET", daisytrial.NoAnswer{}, 0, daisytrial.Audit{Lost: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := &daisytrial.Ledger{}
			l.Record(daisytrial.Call{Stream: daisytrial.Stream{Method: c.method}, Key: "k"}, c.fate)
			audit := l.Audit(map[string]int{"k": c.runs})
			assert.Equal(t, audit, c.want)
			assert.Equal(t, audit.Sound(), c.want == daisytrial.Audit{})
		})
	}
}
