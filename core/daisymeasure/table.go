package daisymeasure

import (
	"fmt"
	"strings"
	"time"

	"daisyyoke/core/daisyroute"
)

// NamedPolicy is a policy with its name in the tables.
type NamedPolicy struct {
	Name   string
	Policy Policy
}

// Policies returns the policies that the tables compare, the central queue first.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"central queue", CentralQueue{}},
		{"random", Routed{daisyroute.Random{}}},
		{"round robin", Routed{daisyroute.RoundRobin{}}},
		{"least of two", Routed{daisyroute.LeastOfTwo{}}},
		{"least of two, reports", Routed{daisyroute.LeastOfTwo{Reports: true}}},
		{"even shares", Routed{daisyroute.EvenShares{}}},
		{"credits, none overcommitted", Routed{daisyroute.Credits{}}},
		{"credits", Routed{daemonPolicy()}},
	}
}

// daemonPolicy is the policy that the daemon uses.
func daemonPolicy() daisyroute.Policy { return daisyroute.Credits{Overcommit: 1} }

// WriteTable appends a Markdown table for each case, with a row for each policy.
func WriteTable(b *strings.Builder, cases []Case) {
	for _, c := range cases {
		fmt.Fprintf(b, "\n### %s\n\n", c.Name)
		b.WriteString("| policy | urgent p50 ms | p99 ms | p99.9 ms | of the central p99 | urgent useful | standard served | bulk served | useful work | sheds | retries | hedges | messages |\n")
		b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
		var reference time.Duration
		for _, p := range Policies() {
			if _, ok := p.Policy.(CentralQueue); ok && c.WithoutCentralQueue {
				continue
			}
			t := Run(c.Scenario, p.Policy)
			if _, ok := p.Policy.(CentralQueue); ok {
				reference = t.Percentile(Urgent, 0.99)
			}
			writeRow(b, c, p.Name, t, reference)
		}
	}
}

func writeRow(b *strings.Builder, c Case, name string, t *Tally, reference time.Duration) {
	p99 := t.Percentile(Urgent, 0.99)
	fmt.Fprintf(b, "| %s | %s | %s | %s |", name, milliseconds(t.Percentile(Urgent, 0.5)), milliseconds(p99), milliseconds(t.Percentile(Urgent, 0.999)))
	if reference > 0 {
		fmt.Fprintf(b, " %.2f |", float64(p99)/float64(reference))
	} else {
		b.WriteString(" |")
	}
	for _, v := range []float64{t.UsefulShare(Urgent), t.ServedShare(Standard), t.ServedShare(Bulk), t.UsefulWork(c.Scenario)} {
		fmt.Fprintf(b, " %.2f%% |", 100*v)
	}
	fmt.Fprintf(b, " %d | %d | %d | %d |\n", t.Sheds, t.Sends[daisyroute.Retry], t.Sends[daisyroute.Hedge], t.Messages)
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

func percent(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }
