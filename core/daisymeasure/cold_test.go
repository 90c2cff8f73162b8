package daisymeasure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyvm"
)

const (
	// coldRate is the users' number of requests per second that a cold endpoint tolerates,
	// and maxColdArrivals their bound on those of any second: 4.6 x 1.5 + 8.
	coldRate        = 4.6
	maxColdArrivals = 14
	coldTime        = 8 * time.Second
	// coldKnownBy is the time from the beginning of a coldness until all VMs know it.
	coldKnownBy = maxDeclarationDelay + 100*time.Millisecond
)

func coldFleet(vms int) Fleet {
	return Fleet{
		Name: "cold", VMs: vms, Endpoints: []int{24}, SlotsPerEndpoint: 6, Zones: 3,
		LocalDelay: 100 * time.Microsecond, CrossZoneDelay: 500 * time.Microsecond,
		ColdRate: coldRate, ColdStart: coldTime,
	}
}

// zoneRefs returns the endpoints of the first availability zone.
func (f Fleet) zoneRefs() []EndpointRef {
	var refs []EndpointRef
	for i := range f.Endpoints[0] {
		if f.zone(i) == f.zone(0) {
			refs = append(refs, EndpointRef{0, i})
		}
	}
	return refs
}

// owner returns the number of the VM that owns the slots of the first service.
func (f Fleet) owner() int {
	var vms []daisyvm.VM
	for i := range f.VMs {
		vms = append(vms, f.vm(i))
	}
	owner, _ := daisycredit.ChooseOwner(f.service(0).ID, daisyfleet.ZoneID{}, vms)
	return slices.IndexFunc(vms, func(v daisyvm.VM) bool { return v.Name == owner.Name })
}

// runCold runs a load with cold endpoints and other faults, and returns the tally and
// the largest number of requests that a cold endpoint got in a second.
func runCold(t *testing.T, fleet Fleet, cold Cold, load float64, policy daisyroute.Policy, faults ...Fault) (x *Tally, most int) {
	t.Helper()
	cold.Span = Span{faultStart, coldTime}
	s := Scenario{Fleet: fleet, Load: mixedLoad(load), Duration: faultStart + coldTime + 3*time.Second, Warmup: time.Second, Seed: 1, Faults: append([]Fault{cold}, faults...)}
	x = Run(s, Routed{policy})
	for _, ref := range cold.Endpoints {
		most = max(most, x.MaxArrivals(ref, time.Second, faultStart+coldKnownBy, faultStart+coldTime))
	}
	return x, most
}

// used returns how much of the rate of the cold endpoints the VMs use.
func (c Cold) used(x *Tally) float64 {
	from, to := faultStart+coldKnownBy, faultStart+coldTime
	arrivals := 0
	for _, ref := range c.Endpoints {
		arrivals += x.MaxArrivals(ref, to-from, from, to)
	}
	return float64(arrivals) / (float64(len(c.Endpoints)) * coldRate * (to - from).Seconds())
}

func vmCounts() []int {
	if testing.Short() {
		return []int{1, 7}
	}
	return []int{1, 7, 46, 300}
}

// Guards against endpoints that crash because all VMs together send more than cold ones
// tolerate: with a whole availability zone cold at once, one endpoint restarted, a coldness
// that only answers to probes tell, the owner lost, and the VMs cut in two.
func TestColdEndpointsGetFewRequests(t *testing.T) {
	for _, vms := range vmCounts() {
		fleet := coldFleet(vms)
		lost := KillVM{Span: Span{Begin: faultStart + 4*time.Second}, VM: fleet.owner()}
		cut := Partition{Span{faultStart + 3*time.Second, 4 * time.Second}}
		cases := map[string]struct {
			cold   Cold
			faults []Fault
		}{
			"zone":          {cold: Cold{Endpoints: fleet.zoneRefs()}},
			"zone restarts": {cold: Cold{Endpoints: fleet.zoneRefs(), Restart: true}},
			"one restarts":  {cold: Cold{Endpoints: fleet.zoneRefs()[:1], Restart: true, Silent: true}},
			"probes tell":   {cold: Cold{Endpoints: fleet.zoneRefs(), Silent: true}},
			"owner lost":    {cold: Cold{Endpoints: fleet.zoneRefs()}, faults: []Fault{lost}},
			"partition":     {cold: Cold{Endpoints: fleet.zoneRefs()}, faults: []Fault{cut}},
		}
		for name, c := range cases {
			if vms == 1 && len(c.faults) > 0 {
				continue
			}
			for policyName, p := range map[string]daisyroute.Policy{"on demand": onDemand, "in advance": daemonPolicy()} {
				if c.cold.Silent && !c.cold.Restart && (vms == 1 || policyName == "in advance") {
					// Load reports with answers to requests replace the probes there.
					continue
				}
				if vms == sweepVMs && policyName == "in advance" {
					// Half a minute a case; deployments of that size lend on demand.
					continue
				}
				t.Run(fmt.Sprintf("%d VMs, %s, %s", vms, name, policyName), func(t *testing.T) {
					t.Parallel()
					x, most := runCold(t, fleet, c.cold, 0.4, p, c.faults...)
					t.Logf("most %d, used %.2f of the rate", most, c.cold.used(x))
					assert.Check(t, most <= maxColdArrivals, "%d requests in a second", most)
				})
			}
		}
	}
}

// Guards against a rate of cold endpoints that is left unused while requests wait, and
// against requests that are late because work comes and goes when the coldness ends: the
// bound is that for the loss of a VM.
func TestColdRateIsUsed(t *testing.T) {
	sizes := []int{7, 46}
	if testing.Short() {
		sizes = []int{7}
	}
	for _, vms := range sizes {
		fleet := coldFleet(vms)
		cold := Cold{Endpoints: fleet.zoneRefs()}
		x, most := runCold(t, fleet, cold, 0.8, onDemand)
		assert.Check(t, most <= maxColdArrivals && cold.used(x) >= 0.8, "%d VMs: %d requests in a second, %.2f of the rate", vms, most, cold.used(x))
		x, _ = runCold(t, fleet, cold, 0.4, onDemand)
		before := x.PercentileBetween(Urgent, 0.99, time.Second, faultStart)
		after := x.PercentileBetween(Urgent, 0.99, faultStart+coldTime, faultStart+coldTime+3*time.Second)
		assert.Check(t, float64(after) <= maxLostVMP99Ratio*float64(before), "%d VMs: p99 %v after the coldness, %v before", vms, after, before)
		t.Logf("%d VMs: %.2f of the rate, p99 %v before and %v after", vms, cold.used(x), before, after)
	}
}

// Guards against a deployment that is served differently although nothing is ever cold or
// no rate is declared.
func TestNothingChangesWithoutColdEndpoints(t *testing.T) {
	for name, p := range map[string]daisyroute.Policy{"on demand": onDemand, "in advance": daemonPolicy()} {
		declared, silent := coldFleet(7), coldFleet(7)
		silent.ColdRate, silent.ColdStart = 0, 0
		s := Scenario{Fleet: declared, Load: mixedLoad(0.6), Duration: 4 * time.Second, Seed: 1}
		want := fmt.Sprintf("%+v", Run(s, Routed{p}))
		s.Fleet = silent
		assert.Check(t, fmt.Sprintf("%+v", Run(s, Routed{p})) == want, "%s: ColdRate 0", name)
	}
	fleet := coldFleet(7)
	fleet.ColdRate = 0
	_, most := runCold(t, fleet, Cold{Endpoints: fleet.zoneRefs()}, 0.4, onDemand)
	assert.Check(t, most > 2*maxColdArrivals, "%d requests in a second without a rate", most)
}
