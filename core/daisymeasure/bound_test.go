package daisymeasure

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisypeer"
)

// The bounds are the requirements on routing under load and faults.
const (
	maxSteadyP99Ratio    = 1.25
	maxStragglerP99Ratio = 1.5
	maxReportsP99Ratio   = 1.1
	minFloodUsefulShare  = 0.999
	minUsefulWorkShare   = 0.95
	maxFailFastSendShare = 0.02
	maxLostVMP99Ratio    = 2.0
	maxProbeWorkShare    = 0.01
)

// daemonRouting is the routing policy of the daemon.
var daemonRouting = Routed{daemonPolicy()}

func testSize() Size {
	if testing.Short() {
		return Size{Services: 1, Duration: 6 * time.Second, Seed: 1}
	}
	return Size{Services: 2, Duration: 10 * time.Second, Seed: 1}
}

// largeSize returns a size with all services and twice the duration. The smaller
// fleet needs it, because its 99th percentile covers too few requests otherwise.
func largeSize() Size {
	return Size{Services: 4, Duration: 2 * testSize().Duration, Seed: 1}
}

func checkP99Ratio(t *testing.T, c Case, bound float64) {
	t.Helper()
	reference := Run(c.Scenario, CentralQueue{}).Percentile(Urgent, 0.99)
	got := Run(c.Scenario, daemonRouting).Percentile(Urgent, 0.99)
	assert.Check(t, float64(got) <= bound*float64(reference), "%s: urgent p99 %v, central queue %v: %.2f times", c.Name, got, reference, float64(got)/float64(reference))
}

func TestSteadyLoadAt70InPortugal(t *testing.T) {
	checkP99Ratio(t, testSize().Steady("Portugal, 70%", Portugal(testSize().Services), 0.7), maxSteadyP99Ratio)
}

func TestSteadyLoadAt85InPortugal(t *testing.T) {
	checkP99Ratio(t, testSize().Steady("Portugal, 85%", Portugal(testSize().Services), 0.85), maxSteadyP99Ratio)
}

func TestSteadyLoadAt70InCzechia(t *testing.T) {
	checkP99Ratio(t, largeSize().Steady("Czechia, 70%", Czechia(largeSize().Services), 0.7), maxSteadyP99Ratio)
}

func TestSteadyLoadAt95InPortugal(t *testing.T) {
	checkP99Ratio(t, testSize().Steady("Portugal, 95%", Portugal(testSize().Services), 0.95), maxSteadyP99Ratio)
}

func TestSteadyLoadAt85InCzechia(t *testing.T) {
	checkP99Ratio(t, largeSize().Steady("Czechia, 85%", Czechia(largeSize().Services), 0.85), maxSteadyP99Ratio)
}

func TestSteadyLoadAt95InCzechia(t *testing.T) {
	checkP99Ratio(t, largeSize().Steady("Czechia, 95%", Czechia(largeSize().Services), 0.95), maxSteadyP99Ratio)
}

func TestSteadyUrgentLoadAt95(t *testing.T) {
	checkP99Ratio(t, testSize().UrgentOnly(0.95), maxSteadyP99Ratio)
}

func TestSlowTenthOfTheEndpoints(t *testing.T) {
	checkP99Ratio(t, testSize().SlowTenth(), maxStragglerP99Ratio)
}

func TestStaleAndFalseReports(t *testing.T) {
	z := testSize()
	withoutReports := Run(z.Reports("none", 0, 0, true).Scenario, daemonRouting).Percentile(Urgent, 0.99)
	for _, c := range []Case{z.Reports("1 s old", time.Second, 0, false), z.Reports("a fifth false", 0, 0.2, false)} {
		got := Run(c.Scenario, daemonRouting).Percentile(Urgent, 0.99)
		assert.Check(t, float64(got) <= maxReportsP99Ratio*float64(withoutReports), "%s: %v, without reports %v", c.Name, got, withoutReports)
	}
}

func TestUrgentMeetsTargetUnderBulkFlood(t *testing.T) {
	c := testSize().BulkFlood("bulk flood", 0.25)
	got := Run(c.Scenario, daemonRouting).UsefulShare(Urgent)
	assert.Check(t, got >= minFloodUsefulShare, "%.5f", got)
}

func TestStandardBelowFloorIsServedUnderBulkFlood(t *testing.T) {
	c := testSize().BulkFlood("bulk flood", 0.25)
	x := Run(c.Scenario, daemonRouting).Ranks[Standard]
	assert.Check(t, x.Served == x.Offered, "%d of %d", x.Served, x.Offered)
}

func TestStandardGetsFloorUnderBulkFlood(t *testing.T) {
	c := testSize().BulkFlood("bulk flood", 0.5)
	x := Run(c.Scenario, daemonRouting)
	served := float64(x.Ranks[Standard].WorkServed) / (float64(c.Scenario.Fleet.slots()) * float64(c.Scenario.Duration-c.Scenario.Warmup))
	floor := c.Scenario.Fleet.ranks()[Standard].Floor
	assert.Check(t, served >= floor, "%.3f of the slots, floor %.2f", served, floor)
}

func TestUrgentFloodKeepsUsefulWorkAtCapacity(t *testing.T) {
	c := testSize().UrgentFlood()
	got := Run(c.Scenario, daemonRouting).UsefulWork(c.Scenario)
	assert.Check(t, got >= minUsefulWorkShare, "%.3f of the slot time", got)
}

func TestFailFastEndpointAttractsLittleWork(t *testing.T) {
	c := testSize().FailFastCase()
	got := Run(c.Scenario, daemonRouting).SendShare(c.Scenario, EndpointRef{0, 3}, faultStart+time.Second)
	assert.Check(t, got < maxFailFastSendShare, "%.4f of the sends", got)
}

func TestDrainingEndpointGetsNoWorkAfterTwoSeconds(t *testing.T) {
	c := testSize().DrainCase()
	got := Run(c.Scenario, daemonRouting).SendShare(c.Scenario, EndpointRef{0, 3}, faultStart+2*time.Second)
	assert.Check(t, got == 0, "%.4f of the sends", got)
}

func TestLossOfOneVM(t *testing.T) {
	c := testSize().LostVM()
	x := Run(c.Scenario, daemonRouting)
	before := x.PercentileBetween(Urgent, 0.99, c.Scenario.Warmup, faultStart)
	after := x.PercentileBetween(Urgent, 0.99, faultStart, faultStart+5*time.Second)
	assert.Check(t, float64(after) <= maxLostVMP99Ratio*float64(before), "%v before, %v after", before, after)
}

func TestProbesStayWithinTheirBudget(t *testing.T) {
	c := testSize().Steady("Portugal, 70%", Portugal(testSize().Services), 0.7)
	x := Run(c.Scenario, daemonRouting)
	share := float64(x.Probes) * float64(probeWork) / (float64(c.Scenario.Fleet.slots()) * float64(c.Scenario.Duration))
	assert.Check(t, share <= maxProbeWorkShare, "%d probes, %.4f of the slot time", x.Probes, share)
}

// TestCreditBytesAtRest and TestCreditBytesAtTheTwoYearSize both run at the two-year
// size, at 5% and at 67% load.
func TestCreditBytesAtRest(t *testing.T) {
	checkCreditBytes(t, 0.05)
}

func TestCreditBytesAtTheTwoYearSize(t *testing.T) {
	checkCreditBytes(t, 0.67)
}

// checkCreditBytes checks that the traffic for slot sharing of a VM at the two-year
// size is within controlBudget. The run has one service; see twoYearServices.
func checkCreditBytes(t *testing.T, load float64) {
	t.Helper()
	fleet := Portugal(1)
	fleet.VMs = 7
	fleet.Endpoints = []int{12}
	s := Scenario{Fleet: fleet, Load: [rankCount]float64{load}, Duration: 10 * time.Second, Seed: 1, MessageSize: daisypeer.FrameSize}
	x := Run(s, daemonRouting)
	got := twoYearServices * float64(x.Bytes) / s.Duration.Seconds() / float64(fleet.VMs)
	assert.Check(t, got <= controlBudget, "%.0f bytes per second per VM", got)
}

func TestNoDuplicateLostOrMismatchedCallsUnderTwoFaults(t *testing.T) {
	seeds := uint64(1000)
	if testing.Short() {
		seeds = 60
	}
	// Each part runs some of the seeds, beside the others.
	const parts = 20
	for part := range uint64(parts) {
		t.Run(fmt.Sprint("part-", part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < seeds; seed += parts {
				s := TwoFaults(seed)
				x := Run(s, daemonRouting)
				violations := fmt.Sprint("duplicated ", x.Duplicated, " lost ", x.Lost, " mismatched ", x.Mismatched, " ran after not run ", x.RanAfterNotRun)
				assert.Check(t, violations == "duplicated 0 lost 0 mismatched 0 ran after not run 0", "seed %d, %+v: %s", seed, s.Faults, violations)
			}
		})
	}
}
