package daisyload_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisyload"
)

func TestAuditFindsEveryBreach(t *testing.T) {
	cases := []struct {
		name   string
		method string
		fate   daisyload.Fate
		runs   int
		want   daisyload.Audit
	}{
		{"served once", "POST", daisyload.Served{Status: 200}, 1, daisyload.Audit{}},
		{"lookup ran twice", "GET", daisyload.Served{Status: 200}, 2, daisyload.Audit{}},
		{"order ran twice", "POST", daisyload.Served{Status: 200}, 2, daisyload.Audit{Doubled: 1}},
		{"refused and not run", "POST", daisyload.Refused{Status: 429}, 0, daisyload.Audit{}},
		{"refused and run", "GET", daisyload.Refused{Status: 503}, 1, daisyload.Audit{FalseNotRun: 1}},
		{"unknown and run", "POST", daisyload.Failed{Status: 502}, 1, daisyload.Audit{}},
		{"served and never run", "GET", daisyload.Served{Status: 200}, 0, daisyload.Audit{NeverRan: 1}},
		{"cut", "GET", daisyload.Cut{}, 1, daisyload.Audit{Cut: 1}},
		{"mixed up", "GET", daisyload.MixedUp{}, 1, daisyload.Audit{MixedUp: 1}},
		{"no answer", "GET", daisyload.NoAnswer{}, 0, daisyload.Audit{Lost: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := &daisyload.Ledger{}
			l.Record(daisyload.Call{Stream: daisyload.Stream{Method: c.method}, Key: "k"}, c.fate)
			audit := l.Audit(map[string]int{"k": c.runs})
			assert.Equal(t, audit, c.want)
			assert.Equal(t, audit.Sound(), c.want == daisyload.Audit{})
		})
	}
}
