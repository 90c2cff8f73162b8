package daisycredit

import (
	"cmp"
	"slices"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Owners has the owner of the slots of every service, and of its endpoints in each
// availability zone. A hash of each service alone may give several of them to one VM while
// others of the same capacity own none: of three services and six VMs, two share an owner
// in four cases of nine. A nil Owners chooses each owner as ChooseOwner does.
type Owners struct {
	byGroup map[ownedGroup]daisyvm.VM
	// services is the number of services that each VM owns as a whole.
	services map[daisyvm.Name]int
}

type ownedGroup struct {
	service daisyservice.ID
	zone    daisyfleet.ZoneID
}

// DealOwners deals the services over the VMs that have the capacity to coordinate others. In
// the order of their names, each service goes to the VM that owns the fewest for its
// capacity, and among several such VMs to the first in the order of Owner's hash. So all VMs
// that know of the same VMs and services deal in the same way, and a VM that goes moves
// few services besides its own. It returns nil if no VM announces its capacity.
func DealOwners(services []daisyservice.ID, vms []daisyvm.VM) *Owners {
	if daisyvm.MinCoordinator(vms) == 0 {
		return nil
	}
	o := &Owners{byGroup: make(map[ownedGroup]daisyvm.VM)}
	services = slices.SortedFunc(slices.Values(services), func(a, b daisyservice.ID) int { return cmp.Compare(a.String(), b.String()) })
	o.services = o.deal(services, daisyfleet.ZoneID{}, vms)
	byZone := make(map[daisyfleet.ZoneID][]daisyvm.VM)
	for _, v := range vms {
		byZone[v.Zone] = append(byZone[v.Zone], v)
	}
	for zone, members := range byZone {
		if zone != (daisyfleet.ZoneID{}) && daisyvm.MinCoordinator(members) > 0 {
			o.deal(services, zone, members)
		}
	}
	return o
}

// deal deals the services to VMs, and returns how many each of them has got.
func (o *Owners) deal(services []daisyservice.ID, zone daisyfleet.ZoneID, vms []daisyvm.VM) map[daisyvm.Name]int {
	minMillicores := daisyvm.MinCoordinator(vms)
	candidates := slices.DeleteFunc(slices.Clone(vms), func(v daisyvm.VM) bool { return !v.Coordinates(minMillicores) })
	dealt := make(map[daisyvm.Name]int)
	for _, s := range services {
		key := ownerKey(s, zone)
		owner := slices.MinFunc(candidates, func(a, b daisyvm.VM) int {
			// Compares the services for each core without rounding.
			loadA := uint64(dealt[a.Name]+1) * uint64(b.Capacity.Millicores)
			loadB := uint64(dealt[b.Name]+1) * uint64(a.Capacity.Millicores)
			return cmp.Or(cmp.Compare(loadA, loadB), daisyvm.CompareByOwnerHash(key, a.Name, b.Name))
		})
		o.byGroup[ownedGroup{service: s, zone: zone}] = owner
		dealt[owner.Name]++
	}
	return dealt
}

// Choose returns the VM that owns the slots of a service, or of its endpoints in an
// availability zone, as ChooseOwner does.
func (o *Owners) Choose(service daisyservice.ID, zone daisyfleet.ZoneID, vms []daisyvm.VM) (daisyvm.VM, bool) {
	if o != nil {
		if v, ok := o.byGroup[ownedGroup{service: service, zone: zone}]; ok {
			return v, true
		}
	}
	return ChooseOwner(service, zone, vms)
}

// Services returns the number of services that a VM owns as a whole, at least 1.
func (o *Owners) Services(name daisyvm.Name) int {
	if o == nil {
		return 1
	}
	return max(1, o.services[name])
}
