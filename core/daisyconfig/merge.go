package daisyconfig

import (
	"cmp"
	"net/netip"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyservice"
)

// Registration is the registration of an endpoint with the platform.
type Registration struct {
	Service  daisyservice.ID
	Endpoint daisyendpoint.Endpoint
	// Version increases with each change of any registration within an Era of the store.
	Version uint64
	// Era increases each time that the store was restored from a backup.
	Era uint64
}

// Compare returns a negative number if r is from before o, and a positive one if it is
// from after o.
func (r Registration) Compare(o Registration) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Version, o.Version))
}

// MergeRegistrations returns a copy of the declared snapshot whose services have
// the endpoints that are registered for them. Of several registrations with the
// same address only the latest counts, because addresses are reused, also by
// endpoints of other services. Those for services that are not declared do not
// count: others than endpoints also register.
func MergeRegistrations(declared *Snapshot, registrations []Registration) *Snapshot {
	latest := make(map[netip.AddrPort]Registration, len(registrations))
	known := declared.services()
	for _, r := range registrations {
		if !known[r.Service] {
			continue
		}
		if o, ok := latest[r.Endpoint.Address]; !ok || r.Compare(o) > 0 {
			latest[r.Endpoint.Address] = r
		}
	}
	registered := make(map[daisyservice.ID][]daisyendpoint.Endpoint)
	evacuated := declared.evacuatedZones()
	for _, r := range registrations {
		if latest[r.Endpoint.Address].Compare(r) == 0 {
			r.Endpoint.Evacuated = evacuated[r.Endpoint.Zone]
			registered[r.Service] = append(registered[r.Service], r.Endpoint)
		}
	}
	merged := *declared
	merged.Intent.Fleets = make([]Fleet, len(declared.Intent.Fleets))
	for i, f := range declared.Intent.Fleets {
		services := make([]daisyservice.Service, len(f.Services))
		for j, s := range f.Services {
			services[j] = withEndpoints(s, registered[s.ID])
		}
		f.Services = services
		merged.Intent.Fleets[i] = f
	}
	return &merged
}

// evacuatedZones returns the availability zones whose endpoints get no new requests.
func (s *Snapshot) evacuatedZones() map[daisyfleet.ZoneID]bool {
	zones := make(map[daisyfleet.ZoneID]bool, len(s.Evacuated))
	for _, z := range s.EvacuatedZones() {
		zones[z] = true
	}
	return zones
}

// services returns the services that the snapshot declares.
func (s *Snapshot) services() map[daisyservice.ID]bool {
	known := make(map[daisyservice.ID]bool)
	for _, f := range s.Intent.Fleets {
		for _, v := range f.Services {
			known[v.ID] = true
		}
	}
	return known
}

func withEndpoints(service daisyservice.Service, endpoints []daisyendpoint.Endpoint) daisyservice.Service {
	service.Endpoints = make([]daisyendpoint.Endpoint, len(endpoints))
	for i, e := range endpoints {
		if e.Connections == 0 {
			e.Connections = service.Connections
		}
		service.Endpoints[i] = e
	}
	return service
}
