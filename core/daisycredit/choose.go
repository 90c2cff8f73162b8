package daisycredit

import (
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// ChooseOwner returns the VM that owns the slots of a service. It reports false
// if there is no VM.
func ChooseOwner(service daisyservice.ID, vms []daisyvm.VM) (daisyvm.VM, bool) {
	name := daisyvm.Owner(vms, service.String())
	for _, v := range vms {
		if v.Name == name {
			return v, true
		}
	}
	return daisyvm.VM{}, false
}
