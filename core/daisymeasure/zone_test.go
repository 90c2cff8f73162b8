package daisymeasure

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyroute"
)

// hundredsOfVMs is a fleet with one large service, in six availability zones.
func hundredsOfVMs(vms int) Fleet {
	return Fleet{
		Name:             "vigia-lar",
		VMs:              vms,
		Endpoints:        []int{240},
		SlotsPerEndpoint: 3,
		Zones:            6,
		LocalDelay:       100 * time.Microsecond,
		CrossZoneDelay:   1400 * time.Microsecond,
	}
}

var onDemandRouting = Routed{daisyroute.Credits{Lending: daisycredit.OnDemand{}, Overcommit: 1}}

// TestNoVMCarriesTheCreditsOfALargeService answers the load of a service with hundreds of
// endpoints: four messages for each request are more than one VM can handle. The owners of
// the zones share them.
func TestNoVMCarriesTheCreditsOfALargeService(t *testing.T) {
	sizes := []int{60, 123}
	if testing.Short() {
		sizes = sizes[:1]
	}
	for _, vms := range sizes {
		fleet := hundredsOfVMs(vms)
		s := Scenario{Fleet: fleet, Load: [rankCount]float64{0.25}, Duration: 2 * time.Second, Warmup: 500 * time.Millisecond, Seed: 1}
		x := Run(s, onDemandRouting)
		bound := 2 * x.Messages / fleet.Zones
		assert.Check(t, x.BusiestVMMessages() <= bound, "%d VMs: one VM takes part in %d of %d messages", vms, x.BusiestVMMessages(), x.Messages)
		urgent := x.Ranks[Urgent]
		assert.Check(t, urgent.Useful*100 >= urgent.Offered*99, "%d VMs: %d of %d in time", vms, urgent.Useful, urgent.Offered)
	}
}

// TestRequestsStayInTheirZone answers the price and the delay of traffic between zones
// while each zone has room.
func TestRequestsStayInTheirZone(t *testing.T) {
	s := Scenario{Fleet: hundredsOfVMs(60), Load: [rankCount]float64{0.25}, Duration: 2 * time.Second, Seed: 1}
	x := Run(s, onDemandRouting)
	assert.Check(t, x.CrossZoneSends*10 <= len(x.sends), "%d of %d sends go to another zone", x.CrossZoneSends, len(x.sends))
}

// TestLastSlotsStayInUse answers the load at which most slots are in use by work of different
// lengths, on endpoints that do not slow down: last slots that seemed slow for a moment, since
// long work had filled the endpoints, were left unused for good, and a third of the urgent
// work was refused. It is played with one owner and with one for each zone.
func TestLastSlotsStayInUse(t *testing.T) {
	sizes, loads, seeds := []int{90, 144}, []float64{0.7, 0.8, 0.95}, uint64(2)
	if testing.Short() {
		sizes, loads, seeds = sizes[:1], loads[1:2], 1
	}
	for _, endpoints := range sizes {
		for _, load := range loads {
			for seed := range seeds {
				t.Run(fmt.Sprint(endpoints, " endpoints, load ", load, ", seed ", seed), func(t *testing.T) {
					t.Parallel()
					fleet := hundredsOfVMs(48)
					fleet.Endpoints, fleet.SlotsPerEndpoint, fleet.Zones = []int{endpoints}, 2, 4
					s := Scenario{Fleet: fleet, Load: mixedLoad(load), Duration: 2 * time.Second, Warmup: 500 * time.Millisecond, Seed: seed}
					urgent := Run(s, onDemandRouting).Ranks[Urgent]
					assert.Check(t, urgent.Useful*100 >= urgent.Offered*99, "%d of %d in time, %d refused", urgent.Useful, urgent.Offered, urgent.Refused)
				})
			}
		}
	}
}

// TestFullZoneOverflows answers a zone that loses most of its endpoints: its requests go to
// the other zones instead of waiting until they fail.
func TestFullZoneOverflows(t *testing.T) {
	fleet := hundredsOfVMs(30)
	s := Scenario{Fleet: fleet, Load: [rankCount]float64{0.4}, Duration: 2500 * time.Millisecond, Warmup: 1500 * time.Millisecond, Seed: 1}
	for i := 0; i < fleet.Endpoints[0]*9/10; i += fleet.Zones {
		s.Faults = append(s.Faults, Crash{Span: Span{Begin: time.Second, Length: 10 * time.Second}, EndpointRef: EndpointRef{Endpoint: i}})
	}
	urgent := Run(s, onDemandRouting).Ranks[Urgent]
	assert.Check(t, urgent.Useful*100 >= urgent.Offered*99, "%d of %d in time", urgent.Useful, urgent.Offered)
}

// TestNoViolationsWithZonesUnderFaults loses messages and VMs, owners of zones among them,
// pauses VMs and splits them in two.
func TestNoViolationsWithZonesUnderFaults(t *testing.T) {
	seeds := uint64(9)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			checkZonesUnderFaults(t, seed)
		})
	}
}

func checkZonesUnderFaults(t *testing.T, seed uint64) {
	t.Helper()
	fleet := hundredsOfVMs(18)
	fleet.Endpoints = []int{100}
	span := Span{Begin: 400 * time.Millisecond, Length: 900 * time.Millisecond}
	s := Scenario{Fleet: fleet, Load: mixedLoad(0.5), Duration: 2 * time.Second, DrainTime: 15 * time.Second, Seed: seed, MessageLoss: 0.05}
	s.Faults = []Fault{KillVM{Span: span, VM: int(seed) % fleet.VMs}, PauseVM{Span: span, VM: int(seed+7) % fleet.VMs}}
	if seed%3 == 0 {
		s.Faults = append(s.Faults, Partition{Span: span})
	}
	x := Run(s, onDemandRouting)
	violations := fmt.Sprint("duplicated ", x.Duplicated, " lost ", x.Lost, " mismatched ", x.Mismatched, " ran after not run ", x.RanAfterNotRun)
	assert.Check(t, violations == "duplicated 0 lost 0 mismatched 0 ran after not run 0", "seed %d: %s", seed, violations)
}
