package daisyconfig

import (
	"net/netip"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyservice"
)

// Entry is the registration of an endpoint with the platform.
type Entry struct {
	Service  daisyservice.ID
	Endpoint daisyendpoint.Endpoint
	// Order increases with each change of any entry.
	Order uint64
}

// Merge returns a copy of the declared snapshot whose services have the endpoints
// that are registered for them. Of several entries with the same address only the
// latest counts, because addresses are reused, also by endpoints of other services.
func Merge(declared *Snapshot, entries []Entry) *Snapshot {
	latest := make(map[netip.AddrPort]Entry, len(entries))
	for _, e := range entries {
		if o, ok := latest[e.Endpoint.Address]; !ok || e.Order > o.Order {
			latest[e.Endpoint.Address] = e
		}
	}
	registered := make(map[daisyservice.ID][]daisyendpoint.Endpoint)
	for _, e := range entries {
		if latest[e.Endpoint.Address].Order == e.Order {
			registered[e.Service] = append(registered[e.Service], e.Endpoint)
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
