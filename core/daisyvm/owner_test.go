package daisyvm_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyvm"
)

func TestOwnerMovesOnlyWhatALostVMOwned(t *testing.T) {
	var vms []daisyvm.VM
	for i := range 6 {
		vms = append(vms, daisyvm.VM{Name: daisyvm.Name(fmt.Sprintf("vm-%d", i))})
	}
	owned := make(map[daisyvm.Name]int)
	for i := range 600 {
		key := fmt.Sprintf("vigia-lar/service-%d", i)
		before := daisyvm.Owner(vms, key)
		owned[before]++
		after := daisyvm.Owner(vms[1:], key)
		assert.Assert(t, before == after || before == vms[0].Name)
	}
	for _, v := range vms {
		assert.Assert(t, owned[v.Name] > 60 && owned[v.Name] < 140, "%s owns %d of 600", v.Name, owned[v.Name])
	}
	assert.Equal(t, daisyvm.Owner(nil, "vigia-lar/lookups"), daisyvm.Name(""))
}

func ExampleOwner() {
	vms := []daisyvm.VM{{Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
	reversed := []daisyvm.VM{vms[2], vms[1], vms[0]}
	fmt.Println(daisyvm.Owner(vms, "vigia-lar/lookups") == daisyvm.Owner(reversed, "vigia-lar/lookups"))
	// Output: true
}
