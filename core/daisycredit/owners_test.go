package daisycredit

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

func sizedVMs(large, small int) []daisyvm.VM {
	var vms []daisyvm.VM
	for i := range large + small {
		cores := 0.16
		if i < large {
			cores = 0.8
		}
		vms = append(vms, daisyvm.VM{
			Name:        daisyvm.Name(fmt.Sprint("vm-", i)),
			Incarnation: 1,
			Zone:        daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: fmt.Sprint("z", i%3)},
			Capacity:    daisyvm.NewCapacity(cores, 0),
		})
	}
	return vms
}

func namedServices(fleet int, count int) []daisyservice.ID {
	var ids []daisyservice.ID
	for i := range count {
		ids = append(ids, daisyservice.ID{Fleet: "vigia-lar", Name: fmt.Sprintf("service-%d-%d", fleet, i)})
	}
	return ids
}

// Guards against services that share an owner while a VM of the same size owns none, against
// VMs that disagree because they know of the others in another order, and against a lost VM
// that moves more than what it owned and what this displaces.
func TestOwnersAreDealtEvenly(t *testing.T) {
	for fleet := range 40 {
		services, vms := namedServices(fleet, 3), sizedVMs(6, 92)
		owners := DealOwners(services, vms)
		shuffled := append([]daisyvm.VM(nil), vms...)
		rand.New(rand.NewPCG(uint64(fleet), 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		again := DealOwners([]daisyservice.ID{services[2], services[0], services[1]}, shuffled)
		for _, zone := range []daisyfleet.ZoneID{{}, vms[0].Zone, vms[1].Zone, vms[2].Zone} {
			owned := make(map[daisyvm.Name]int)
			for _, s := range services {
				owner, ok := owners.Choose(s, zone, vms)
				assert.Assert(t, ok && owner.Capacity.Millicores == 800, "%v", owner)
				other, _ := again.Choose(s, zone, shuffled)
				assert.Equal(t, owner, other)
				owned[owner.Name]++
			}
			candidates := 6
			if zone != (daisyfleet.ZoneID{}) {
				candidates = 2
			}
			assert.Equal(t, len(owned), min(3, candidates), "%v", owned)
		}
		moved := 0
		fewer := DealOwners(services, vms[1:])
		for _, s := range services {
			before, _ := owners.Choose(s, daisyfleet.ZoneID{}, vms)
			after, _ := fewer.Choose(s, daisyfleet.ZoneID{}, vms[1:])
			if before != after {
				moved++
			}
		}
		assert.Assert(t, moved <= 2, "%d of 3 services moved", moved)
	}
}

// Guards against a lone large VM that owns nothing, and against a change where no capacity
// is known.
func TestOwnersWithFewOrNoCapacities(t *testing.T) {
	services := namedServices(0, 5)
	owners := DealOwners(services, sizedVMs(1, 5))
	assert.Equal(t, owners.Services("vm-0"), 5)
	vms := sizedVMs(0, 6)
	for i := range vms {
		vms[i].Capacity = daisyvm.Capacity{}
	}
	assert.Assert(t, DealOwners(services, vms) == nil)
	for _, s := range services {
		got, _ := DealOwners(services, vms).Choose(s, daisyfleet.ZoneID{}, vms)
		want, _ := ChooseOwner(s, daisyfleet.ZoneID{}, vms)
		assert.Equal(t, got, want)
	}
}
