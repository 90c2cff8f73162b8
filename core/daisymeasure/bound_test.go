package daisymeasure

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisypeer"
)

// The bounds are those of the table, not what was measured.
const (
	steadyBound     = 1.25
	stragglerBound  = 1.5
	reportsBound    = 1.1
	floodBound      = 0.999
	usefulWorkBound = 0.95
	failFastBound   = 0.02
	lostVMBound     = 2.0
	probeBound      = 0.01
)

// ours is the policy of the daemon.
var ours = Routed{daemonPolicy()}

func testSize() Size {
	if testing.Short() {
		return Size{Services: 1, For: 6 * time.Second, Seed: 1}
	}
	return Size{Services: 2, For: 10 * time.Second, Seed: 1}
}

// largeSize has the whole fleet, for the smaller one of the two: its 99th
// percentile is of too few requests otherwise.
func largeSize() Size {
	return Size{Services: 4, For: 2 * testSize().For, Seed: 1}
}

func checkRatio(t *testing.T, c Case, bound float64) {
	t.Helper()
	limit := Run(c.Scenario, Central{}).Percentile(Urgent, 0.99)
	got := Run(c.Scenario, ours).Percentile(Urgent, 0.99)
	assert.Check(t, float64(got) <= bound*float64(limit), "%s: urgent p99 %v, central queue %v: %.2f times", c.Name, got, limit, float64(got)/float64(limit))
}

func TestSteadyLoadAt70InPortugal(t *testing.T) {
	checkRatio(t, testSize().Steady("Portugal, 70%", Portugal(testSize().Services), 0.7), steadyBound)
}

func TestSteadyLoadAt85InPortugal(t *testing.T) {
	checkRatio(t, testSize().Steady("Portugal, 85%", Portugal(testSize().Services), 0.85), steadyBound)
}

func TestSteadyLoadAt70InCzechia(t *testing.T) {
	checkRatio(t, largeSize().Steady("Czechia, 70%", Czechia(largeSize().Services), 0.7), steadyBound)
}

func TestSteadyLoadAt95InPortugal(t *testing.T) {
	checkRatio(t, testSize().Steady("Portugal, 95%", Portugal(testSize().Services), 0.95), steadyBound)
}

func TestSteadyLoadAt85InCzechia(t *testing.T) {
	checkRatio(t, largeSize().Steady("Czechia, 85%", Czechia(largeSize().Services), 0.85), steadyBound)
}

func TestSteadyLoadAt95InCzechia(t *testing.T) {
	checkRatio(t, largeSize().Steady("Czechia, 95%", Czechia(largeSize().Services), 0.95), steadyBound)
}

func TestSteadyUrgentLoadAt95(t *testing.T) {
	checkRatio(t, testSize().UrgentOnly(0.95), steadyBound)
}

func TestSlowTenthOfTheEndpoints(t *testing.T) {
	checkRatio(t, testSize().SlowTenth(), stragglerBound)
}

func TestReportsThatLagOrLie(t *testing.T) {
	z := testSize()
	without := Run(z.Reports("none", 0, 0, true).Scenario, ours).Percentile(Urgent, 0.99)
	for _, c := range []Case{z.Reports("1 s old", time.Second, 0, false), z.Reports("a fifth false", 0, 0.2, false)} {
		got := Run(c.Scenario, ours).Percentile(Urgent, 0.99)
		assert.Check(t, float64(got) <= reportsBound*float64(without), "%s: %v, without reports %v", c.Name, got, without)
	}
}

func TestBulkFloodLeavesUrgentInTime(t *testing.T) {
	c := testSize().BulkFlood("bulk flood", 0.25)
	got := Run(c.Scenario, ours).UsefulShare(Urgent)
	assert.Check(t, got >= floodBound, "%.5f", got)
}

func TestBulkFloodServesAllOfStandardBelowItsFloor(t *testing.T) {
	c := testSize().BulkFlood("bulk flood", 0.25)
	x := Run(c.Scenario, ours).Ranks[Standard]
	assert.Check(t, x.Served == x.Offered, "%d of %d", x.Served, x.Offered)
}

func TestBulkFloodServesStandardItsFloor(t *testing.T) {
	c := testSize().BulkFlood("bulk flood", 0.5)
	x := Run(c.Scenario, ours)
	served := float64(x.Ranks[Standard].WorkServed) / (float64(c.Scenario.Fleet.slots()) * float64(c.Scenario.For-c.Scenario.Warmup))
	floor := c.Scenario.Fleet.ranks()[Standard].Floor
	assert.Check(t, served >= floor, "%.3f of the slots, floor %.2f", served, floor)
}

func TestUrgentFloodKeepsUsefulWorkAtCapacity(t *testing.T) {
	c := testSize().UrgentFlood()
	got := Run(c.Scenario, ours).UsefulWork(c.Scenario)
	assert.Check(t, got >= usefulWorkBound, "%.3f of the slot time", got)
}

func TestFailFastEndpointAttractsNoWork(t *testing.T) {
	c := testSize().FailFastCase()
	got := Run(c.Scenario, ours).SendShare(c.Scenario, Place{0, 3}, faultAt+time.Second)
	assert.Check(t, got < failFastBound, "%.4f of the sends", got)
}

func TestDrainingEndpointGetsNoWorkAfterTwoSeconds(t *testing.T) {
	c := testSize().DrainCase()
	got := Run(c.Scenario, ours).SendShare(c.Scenario, Place{0, 3}, faultAt+2*time.Second)
	assert.Check(t, got == 0, "%.4f of the sends", got)
}

func TestLossOfOneVM(t *testing.T) {
	c := testSize().LostVM()
	x := Run(c.Scenario, ours)
	before := x.PercentileBetween(Urgent, 0.99, c.Scenario.Warmup, faultAt)
	after := x.PercentileBetween(Urgent, 0.99, faultAt, faultAt+5*time.Second)
	assert.Check(t, float64(after) <= lostVMBound*float64(before), "%v before, %v after", before, after)
}

func TestProbesStayWithinTheirBudget(t *testing.T) {
	c := testSize().Steady("Portugal, 70%", Portugal(testSize().Services), 0.7)
	x := Run(c.Scenario, ours)
	share := float64(x.Probes) * float64(probeWork) / (float64(c.Scenario.Fleet.slots()) * float64(c.Scenario.For))
	assert.Check(t, share <= probeBound, "%d probes, %.4f of the slot time", x.Probes, share)
}

func TestCreditBytesAtRest(t *testing.T) {
	checkBytes(t, 0.05)
}

func TestCreditBytesAtTheTwoYearSize(t *testing.T) {
	checkBytes(t, 0.67)
}

// checkBytes holds what sharing the slots costs a VM at the two-year size to its budget.
func checkBytes(t *testing.T, load float64) {
	t.Helper()
	fleet := Portugal(1)
	fleet.VMs = 7
	fleet.Endpoints = []int{12}
	s := Scenario{Fleet: fleet, Load: [ranks]float64{load}, For: 10 * time.Second, Seed: 1, Size: daisypeer.FrameSize}
	x := Run(s, ours)
	got := twoYears * float64(x.Bytes) / s.For.Seconds() / float64(fleet.VMs)
	assert.Check(t, got <= budget, "%.0f bytes a second a VM", got)
}

func TestNothingIsDoubledLostOrMixedUpUnderTwoFaults(t *testing.T) {
	seeds := uint64(1000)
	if testing.Short() {
		seeds = 60
	}
	for seed := range seeds {
		s := TwoFaults(seed)
		x := Run(s, ours)
		bad := fmt.Sprint("doubled ", x.Doubled, " lost ", x.Lost, " mixed up ", x.MixedUp, " not run that ran ", x.RanNotRun)
		assert.Check(t, bad == "doubled 0 lost 0 mixed up 0 not run that ran 0", "seed %d, %+v: %s", seed, s.Faults, bad)
	}
}
