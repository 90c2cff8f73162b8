package daisycredit

import (
	"slices"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// ChooseOwner returns the VM that owns the slots of a service, or of its endpoints in an
// availability zone: then a VM of that zone, if there is any. It reports false if there is
// no VM.
func ChooseOwner(service daisyservice.ID, zone daisyfleet.ZoneID, vms []daisyvm.VM) (daisyvm.VM, bool) {
	if zone != (daisyfleet.ZoneID{}) {
		near := slices.DeleteFunc(slices.Clone(vms), func(v daisyvm.VM) bool { return v.Zone != zone })
		if len(near) > 0 {
			vms = near
		}
	}
	name := daisyvm.Owner(vms, ownerKey(service, zone))
	for _, v := range vms {
		if v.Name == name {
			return v, true
		}
	}
	return daisyvm.VM{}, false
}

// ownerKey returns the key of a service, or of its endpoints in an availability zone, by
// whose hash an owner is chosen.
func ownerKey(service daisyservice.ID, zone daisyfleet.ZoneID) string {
	if zone == (daisyfleet.ZoneID{}) {
		return service.String()
	}
	return service.String() + "/" + zone.String()
}
