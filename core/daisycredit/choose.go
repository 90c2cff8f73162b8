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
	key := service.String()
	if zone != (daisyfleet.ZoneID{}) {
		key += "/" + zone.String()
		near := slices.DeleteFunc(slices.Clone(vms), func(v daisyvm.VM) bool { return v.Zone != zone })
		if len(near) > 0 {
			vms = near
		}
	}
	name := daisyvm.Owner(vms, key)
	for _, v := range vms {
		if v.Name == name {
			return v, true
		}
	}
	return daisyvm.VM{}, false
}
