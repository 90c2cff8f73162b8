package daisymeasure

import (
	"fmt"
	"strings"
	"time"

	"daisyyoke/core/daisymessage"
)

// trafficRunDuration is how long callers arrive in each run of the traffic table.
const trafficRunDuration = 20 * time.Second

// controlBudget is the control traffic that a VM may send at the two-year size, in
// bytes per second.
const controlBudget = 18_000

// twoYearServices is the number of services at the two-year size, which is the size
// expected in two years: 150 services of 12 endpoints. Each run has one service, so the
// traffic of a run is multiplied by it.
const twoYearServices = 150

// trafficRun is the run behind one row of the traffic table.
type trafficRun struct {
	name  string
	fleet Fleet
	load  [rankCount]float64
}

func trafficRuns() []trafficRun {
	var runs []trafficRun
	add := func(name string, vms, endpoints int, load [rankCount]float64) {
		fleet := Portugal(1)
		fleet.VMs = vms
		fleet.Endpoints = []int{endpoints}
		runs = append(runs, trafficRun{name: name, fleet: fleet, load: load})
	}
	for _, load := range []float64{0, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.67, 0.8, 0.9} {
		add("urgent work only", 7, 12, [rankCount]float64{load})
	}
	for _, vms := range []int{2, 3, 5, 10} {
		add("urgent work only", vms, 12, [rankCount]float64{0.5})
	}
	for _, endpoints := range []int{6, 24, 48} {
		add("urgent work only", 7, endpoints, [rankCount]float64{0.5})
	}
	add("bulk flood, 10 times capacity", 7, 12, [rankCount]float64{0.35, 0.25, 10})
	add("urgent flood, 3 times capacity", 7, 12, [rankCount]float64{3})
	return runs
}

// WriteTrafficTable appends a Markdown table of the messages and bytes that the
// VMs send to share the slots of one service. Values per VM are means over the VMs.
func WriteTrafficTable(b *strings.Builder, seed uint64, size func(daisymessage.Message) int) {
	b.WriteString("| work | share of slots | VMs | endpoints | calls/s | messages/s | messages a call | bytes a message | bytes/s a VM | times 150 services, KB/s a VM | of 18 KB/s |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range trafficRuns() {
		writeTrafficRow(b, r, seed, size)
	}
}

func writeTrafficRow(b *strings.Builder, r trafficRun, seed uint64, size func(daisymessage.Message) int) {
	t := Run(Scenario{Fleet: r.fleet, Load: r.load, Duration: trafficRunDuration, DrainTime: time.Second, Seed: seed, MessageSize: size}, Routed{daemonPolicy()})
	seconds := trafficRunDuration.Seconds()
	calls, load := 0, 0.0
	for i, x := range t.Ranks {
		calls += x.Offered
		load += r.load[i]
	}
	perVM := ratio(float64(t.Bytes), seconds*float64(r.fleet.VMs))
	fmt.Fprintf(b, "| %s | %s | %d | %d | %.0f | %.0f | %.2f | %.0f | %.0f | %.1f | %s |\n",
		r.name, percent(load), r.fleet.VMs, r.fleet.Endpoints[0], float64(calls)/seconds,
		float64(t.Messages)/seconds, ratio(float64(t.Messages), float64(calls)), ratio(float64(t.Bytes), float64(t.Messages)),
		perVM, twoYearServices*perVM/1000, percent(twoYearServices*perVM/controlBudget))
}
