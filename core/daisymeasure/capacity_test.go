package daisymeasure

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// messageWork is the processor time of a whole core for a message or a probe: an owner with
// 0.8 of a core serves 700 requests a second, at four messages and a probe each.
const messageWork = 800 * time.Millisecond / 700 / 5

// sizedFleet returns a fleet with one service of 60 endpoints in three availability zones, of
// whose VMs the first ones are large.
func sizedFleet(large int, largeCores, smallCores float64) Fleet {
	return Fleet{
		Name: "vigia-lar", VMs: 48, Endpoints: []int{60}, SlotsPerEndpoint: 4, Zones: 3,
		LocalDelay: 100 * time.Microsecond, CrossZoneDelay: 3500 * time.Microsecond,
		Cores: func(vm int) float64 {
			if vm < large {
				return largeCores
			}
			return smallCores
		},
	}
}

// requestsPerSecond returns a scenario in which a rate of urgent requests arrives, of which
// those of the last half count.
func requestsPerSecond(fleet Fleet, perSecond float64) Scenario {
	load := perSecond * meanWork[Urgent].Seconds() / float64(fleet.Endpoints[0]*fleet.SlotsPerEndpoint)
	return Scenario{Fleet: fleet, Load: [rankCount]float64{load}, Duration: 10 * time.Second, Warmup: 5 * time.Second, Seed: 1, MessageWork: messageWork}
}

func earlierBuilds(share int) func(int) bool { return func(vm int) bool { return vm%share == 0 } }

// TestOwnersCanServeTheirRate answers owners that have too little of a core for the messages
// of their service: most requests then waited for them until they failed. Where the owners of
// the zones have enough together, nearly all requests are in time; where nobody has, and
// while some VMs run an earlier build, the VMs in fallback mode serve on.
func TestOwnersCanServeTheirRate(t *testing.T) {
	if testing.Short() {
		t.Skip("48 VMs take minutes under the race detector")
	}
	mixed := sizedFleet(6, 0.8, 0.16)
	mixed.EarlierBuild = earlierBuilds(2)
	lost := requestsPerSecond(sizedFleet(6, 0.8, 0.16), 400)
	for i := range 6 {
		lost.Faults = append(lost.Faults, KillVM{Span: Span{Begin: 4 * time.Second}, VM: i})
	}
	cases := []struct {
		name     string
		scenario Scenario
		minShare float64
	}{
		{"one owner of 0.8 of a core has enough", requestsPerSecond(sizedFleet(6, 0.8, 0.16), 400), 0.99},
		{"three owners of 0.8 of a core", requestsPerSecond(sizedFleet(6, 0.8, 0.16), 700), 0.99},
		{"three owners of 0.4 of a core", requestsPerSecond(sizedFleet(0, 0, 0.4), 400), 0.99},
		{"small owners under 700 requests a second", requestsPerSecond(sizedFleet(0, 0, 0.16), 700), minUsefulWorkShare},
		{"half of the VMs run an earlier build", requestsPerSecond(mixed, 400), minUsefulWorkShare},
		{"all large VMs are lost at once", lost, minUsefulWorkShare},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := Run(c.scenario, onDemandRouting)
			u := x.Ranks[Urgent]
			t.Logf("%d of %d in time, %d refused, %d sheds, p99 %v", u.Useful, u.Offered, u.Refused, x.Sheds, x.Percentile(Urgent, 0.99))
			assert.Check(t, float64(u.Useful) >= c.minShare*float64(u.Offered), "%d of %d in time", u.Useful, u.Offered)
			violations := fmt.Sprint("duplicated ", x.Duplicated, " lost ", x.Lost, " mismatched ", x.Mismatched, " ran after not run ", x.RanAfterNotRun)
			assert.Check(t, violations == "duplicated 0 lost 0 mismatched 0 ran after not run 0", violations)
		})
	}
}
