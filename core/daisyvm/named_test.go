package daisyvm_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyvm"
)

// sizedMembers returns large VMs, and then small ones, in three availability zones.
func sizedMembers(large, small int, largeCapacity, smallCapacity daisyvm.Capacity) []daisyvm.Member {
	var members []daisyvm.Member
	for i := range large + small {
		m := memberNamed(daisyvm.Name(fmt.Sprint("vm-", i)), daisyvm.Live, daisyvm.Status{Ready: true, Spare: 1000})
		m.VM.Zone = daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: string(rune('a' + i%3))}
		if m.VM.Capacity = smallCapacity; i < large {
			m.VM.Capacity = largeCapacity
		}
		members = append(members, m)
	}
	return members
}

// Guards against callers, which choose one of the named addresses at random, that load a
// small VM like a large one, and against answers with too few names or without those of an
// availability zone, in which all named VMs may be lost at once.
func TestVMsAreNamedAsOftenAsTheirCapacitySupports(t *testing.T) {
	cases := []struct {
		name         string
		members      []daisyvm.Member
		large        int
		ratio        float64
		least, most  int
		requireZones bool
	}{
		{"five times the processor", sizedMembers(6, 92, daisyvm.NewCapacity(0.8, 0), daisyvm.NewCapacity(0.16, 0)), 6, 5, 20, 28, true},
		{"twice the processor, eleven times the link", sizedMembers(6, 40, daisyvm.NewCapacity(0.8, 200e6), daisyvm.NewCapacity(0.4, 18e6)), 6, 4.1, 12, 18, true},
		{"unknown ones count as the smallest", sizedMembers(4, 20, daisyvm.NewCapacity(0.4, 0), daisyvm.Capacity{}), 4, 1, 24, 24, true},
		{"one that is much larger", sizedMembers(1, 7, daisyvm.NewCapacity(8, 0), daisyvm.NewCapacity(0.5, 0)), 1, 2.33, 4, 4, false},
	}
	const answers = 4_000
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := daisyvm.NewAddressSelector(rand.New(rand.NewPCG(1, 1)), daisyvm.DefaultSpareExponent)
			load := make(map[daisyvm.Name]float64)
			for range answers {
				vms := a.Answer(c.members[0], c.members[1:]).VMs
				assert.Assert(t, len(vms) >= c.least && len(vms) <= c.most, "%d names", len(vms))
				zones := make(map[daisyfleet.ZoneID]bool)
				for _, v := range vms {
					load[v.Name] += 1 / float64(len(vms))
					zones[v.Zone] = true
				}
				assert.Assert(t, !c.requireZones || len(zones) == 3)
			}
			small := 0.0
			for _, m := range c.members[c.large:] {
				small += load[m.VM.Name] / float64(len(c.members)-c.large)
			}
			for _, m := range c.members[:c.large] {
				ratio := load[m.VM.Name] / small
				assert.Assert(t, math.Abs(ratio/c.ratio-1) < 0.1, "%s is used %.2f times as often as a small one", m.VM.Name, ratio)
			}
		})
	}
}
