package daisyconfig_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyservice"
)

// Guards against the loss of an endpoint in use when another writer registers its address for
// a service that nobody declares.
func TestRegistrationForAnUnknownServiceTakesNoAddress(t *testing.T) {
	known := daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"}
	declared := &daisyconfig.Snapshot{Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{
		Name:     "vigia-lar",
		Services: []daisyservice.Service{{ID: known}},
	}}}}
	endpoint := daisyendpoint.Endpoint{Address: netip.MustParseAddrPort("10.0.0.7:80"), Slots: 3, Instance: "i-1"}
	odd := endpoint
	odd.Instance = "odd"
	merged := daisyconfig.MergeRegistrations(declared, []daisyconfig.Registration{
		{Service: known, Endpoint: endpoint, Version: 7},
		{Service: daisyservice.ID{Fleet: "vigia-lar", Name: "elsewhere"}, Endpoint: odd, Version: 8},
	})
	service := merged.Intent.Fleets[0].Services[0]
	assert.Equal(t, len(service.Endpoints), 1)
	assert.Equal(t, service.Endpoints[0].Instance, endpoint.Instance)
}
