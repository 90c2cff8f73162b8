package daisyplan

import (
	"net/netip"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyservice"
)

const (
	// capacityDropShare is the share of its slots that a service can lose without
	// a CapacityDropped warning.
	capacityDropShare = 0.25
	// floorTolerance allows for rounding errors in the sum of floors that add up to exactly 1.
	floorTolerance = 1e-9
)

// Warning is a consequence of a plan that an operator should review before
// confirming it. It is one of FloorsOverOne, ZoneLeftEmpty, CapacityDropped,
// ServiceLeftEmpty, AddressUsedTwice and NothingChanges.
type Warning interface{ warning() }

// FloorsOverOne warns that the floors of a service's ranks add up to more than
// all its slots.
type FloorsOverOne struct {
	Service daisyservice.ID
	Sum     float64
}

// ZoneLeftEmpty warns that an availability zone has no endpoint left that is not
// draining.
type ZoneLeftEmpty struct{ Zone daisyfleet.ZoneID }

// CapacityDropped warns that a service loses a large share of its slots.
type CapacityDropped struct {
	Service       daisyservice.ID
	Before, After int
}

// ServiceLeftEmpty warns that a service has no slots on endpoints that are neither
// draining nor evacuated.
type ServiceLeftEmpty struct{ Service daisyservice.ID }

// AddressUsedTwice warns that several services declare the same endpoint address.
type AddressUsedTwice struct {
	Address  netip.AddrPort
	Services []daisyservice.ID
}

// NothingChanges warns that the plan has no Change.
type NothingChanges struct{}

func (FloorsOverOne) warning()    {}
func (ZoneLeftEmpty) warning()    {}
func (CapacityDropped) warning()  {}
func (ServiceLeftEmpty) warning() {}
func (AddressUsedTwice) warning() {}
func (NothingChanges) warning()   {}

func computeWarnings(before, after daisyconfig.Intent, plan Plan) []Warning {
	var warnings []Warning
	for _, s := range services(after) {
		warnings = append(warnings, serviceWarnings(s)...)
	}
	warnings = append(warnings, zoneWarnings(before, after)...)
	for _, i := range plan.Impacts {
		lost := i.SlotsBefore - i.SlotsAfter
		if i.SlotsAfter > 0 && float64(lost) > capacityDropShare*float64(i.SlotsBefore) {
			warnings = append(warnings, CapacityDropped{Service: i.Service, Before: i.SlotsBefore, After: i.SlotsAfter})
		}
	}
	warnings = append(warnings, addressWarnings(after)...)
	if len(plan.Changes) == 0 {
		warnings = append(warnings, NothingChanges{})
	}
	return warnings
}

func serviceWarnings(service daisyservice.Service) []Warning {
	var warnings []Warning
	sum := 0.0
	for _, r := range service.Ranks {
		sum += r.Floor
	}
	if sum > 1+floorTolerance {
		warnings = append(warnings, FloorsOverOne{Service: service.ID, Sum: sum})
	}
	if workingSlots(service) == 0 {
		warnings = append(warnings, ServiceLeftEmpty{Service: service.ID})
	}
	return warnings
}

// zoneWarnings returns a warning for each declared zone that is empty, unless it
// was declared and empty before.
func zoneWarnings(before, after daisyconfig.Intent) []Warning {
	var warnings []Warning
	used, usedBefore := usedZones(after), usedZones(before)
	declaredBefore := make(map[daisyfleet.ZoneID]bool)
	for _, f := range before.Fleets {
		for _, z := range f.AvailabilityZones {
			declaredBefore[z.ID] = true
		}
	}
	for _, f := range after.Fleets {
		for _, z := range f.AvailabilityZones {
			wasEmpty := declaredBefore[z.ID] && !usedBefore[z.ID]
			if !used[z.ID] && !wasEmpty {
				warnings = append(warnings, ZoneLeftEmpty{Zone: z.ID})
			}
		}
	}
	return warnings
}

func usedZones(intent daisyconfig.Intent) map[daisyfleet.ZoneID]bool {
	used := make(map[daisyfleet.ZoneID]bool)
	for _, s := range services(intent) {
		for _, e := range s.Endpoints {
			if !e.Draining {
				used[e.Zone] = true
			}
		}
	}
	return used
}

func addressWarnings(intent daisyconfig.Intent) []Warning {
	var warnings []Warning
	var order []netip.AddrPort
	users := make(map[netip.AddrPort][]daisyservice.ID)
	for _, s := range services(intent) {
		for _, e := range s.Endpoints {
			if len(users[e.Address]) == 1 {
				order = append(order, e.Address)
			}
			users[e.Address] = append(users[e.Address], s.ID)
		}
	}
	for _, a := range order {
		warnings = append(warnings, AddressUsedTwice{Address: a, Services: users[a]})
	}
	return warnings
}
