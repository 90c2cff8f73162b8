package daisyplan

import (
	"slices"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyservice"
)

// SetDraining returns a copy of the intent with one endpoint drained or resumed.
// It returns a daisyerror.NotFound error if the service has no such endpoint.
func SetDraining(intent daisyconfig.Intent, id daisyconfig.EndpointID, draining bool) (daisyconfig.Intent, error) {
	found := false
	changed := mapEndpoints(intent, func(service daisyservice.ID, e daisyendpoint.Endpoint) daisyendpoint.Endpoint {
		if service == id.Service && e.Address == id.Address {
			found = true
			e.Draining = draining
		}
		return e
	})
	if !found {
		return daisyconfig.Intent{}, daisyerror.NotFound.New("service %s has no endpoint %s", id.Service, id.Address)
	}
	return changed, nil
}

// KeepDraining returns a copy of the intent in which every endpoint that is
// draining in the configuration in force is also draining. An intent file need
// not list the draining endpoints, so a plan made from one must not resume an
// endpoint that an operator has drained.
func KeepDraining(inForce, intent daisyconfig.Intent) daisyconfig.Intent {
	draining := make(map[daisyconfig.EndpointID]bool)
	for _, s := range services(inForce) {
		for _, e := range s.Endpoints {
			draining[daisyconfig.EndpointID{Service: s.ID, Address: e.Address}] = e.Draining
		}
	}
	return mapEndpoints(intent, func(service daisyservice.ID, e daisyendpoint.Endpoint) daisyendpoint.Endpoint {
		e.Draining = e.Draining || draining[daisyconfig.EndpointID{Service: service, Address: e.Address}]
		return e
	})
}

// mapEndpoints returns a copy of the intent with change applied to every
// endpoint. It does not modify the given intent.
func mapEndpoints(intent daisyconfig.Intent, change func(daisyservice.ID, daisyendpoint.Endpoint) daisyendpoint.Endpoint) daisyconfig.Intent {
	fleets := slices.Clone(intent.Fleets)
	for i := range fleets {
		fleets[i].Services = slices.Clone(fleets[i].Services)
		for j := range fleets[i].Services {
			s := &fleets[i].Services[j]
			s.Endpoints = slices.Clone(s.Endpoints)
			for k := range s.Endpoints {
				s.Endpoints[k] = change(s.ID, s.Endpoints[k])
			}
		}
	}
	return daisyconfig.Intent{Fleets: fleets}
}
