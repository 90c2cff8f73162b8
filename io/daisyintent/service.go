package daisyintent

import (
	"net/netip"
	"slices"

	"go.yaml.in/yaml/v3"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

const (
	defaultWorth       = 1
	maxWorth           = 1e9
	maxConnections     = 1_000_000
	defaultConnections = 250
)

func (d *decoder) service(n *yaml.Node, fleet daisyconfig.Fleet, names *uniqueNames) daisyservice.Service {
	f := d.mapping(n, "a service", "name", "ranks", "default-rank", "protocol", "endpoints")
	service := daisyservice.Service{ID: daisyservice.ID{Fleet: fleet.Name, Name: d.name(n, f, "name")}}
	names.add(f["name"], service.ID.Name)
	service.Ranks = d.serviceRanks(n, f, fleet.Ranks)
	service.DefaultRank = d.defaultRank(f, service)
	service.Protocol = d.protocol(f)
	addresses := newUniqueNames(d, "endpoint")
	for _, c := range d.sequence(n, f, "endpoints") {
		e := d.endpoint(c, fleet, addresses)
		service.Endpoints = append(service.Endpoints, e)
	}
	return service
}

// serviceRanks returns the ranks of a service in the fleet's order of urgency,
// whatever their order in the intent.
func (d *decoder) serviceRanks(n *yaml.Node, f fields, fleet []daisyrank.Rank) []daisyrank.Rank {
	wanted := make(map[daisyrank.Name]bool)
	names := newUniqueNames(d, "rank")
	for _, c := range d.sequence(n, f, "ranks") {
		name := daisyrank.Name(d.text(c))
		names.add(c, string(name))
		wanted[name] = true
		if !hasRank(fleet, name) {
			d.addProblem(c, "the fleet has no rank %q", name)
		}
	}
	var ranks []daisyrank.Rank
	for _, r := range fleet {
		if wanted[r.Name] {
			ranks = append(ranks, r)
		}
	}
	return ranks
}

func hasRank(ranks []daisyrank.Rank, name daisyrank.Name) bool {
	for _, r := range ranks {
		if r.Name == name {
			return true
		}
	}
	return false
}

func (d *decoder) defaultRank(f fields, service daisyservice.Service) daisyrank.Index {
	n := f["default-rank"]
	if n == nil {
		return 0
	}
	name := daisyrank.Name(d.text(n))
	index := slices.IndexFunc(service.Ranks, func(r daisyrank.Rank) bool { return r.Name == name })
	if index < 0 {
		d.addProblem(n, "default-rank %q is not one of the service's ranks", name)
		return 0
	}
	return daisyrank.Index(index)
}

func (d *decoder) protocol(f fields) daisyservice.Protocol {
	n := f["protocol"]
	if n == nil {
		return daisyservice.HTTP1
	}
	for _, p := range []daisyservice.Protocol{daisyservice.HTTP1, daisyservice.HTTP2} {
		if d.text(n) == p.String() {
			return p
		}
	}
	d.addProblem(n, "protocol %q: want %s or %s", n.Value, daisyservice.HTTP1, daisyservice.HTTP2)
	return daisyservice.HTTP1
}

func (d *decoder) endpoint(n *yaml.Node, fleet daisyconfig.Fleet, addresses *uniqueNames) daisyendpoint.Endpoint {
	f := d.mapping(n, "an endpoint", "address", "availability-zone", "slots", "connections", "draining")
	e := daisyendpoint.Endpoint{
		Address:     d.address(n, f, "address"),
		Zone:        d.zone(n, f, fleet),
		Slots:       d.count(n, f, "slots", daisyendpoint.MaxSlots),
		Connections: defaultConnections,
		Draining:    d.optionalFlag(f, "draining"),
	}
	e.Evacuated = fleet.Evacuated(e.Zone)
	if f["connections"] != nil {
		e.Connections = d.count(n, f, "connections", maxConnections)
	}
	if e.Address != (netip.AddrPort{}) {
		addresses.add(f["address"], e.Address.String())
	}
	return e
}

func (d *decoder) zone(n *yaml.Node, f fields, fleet daisyconfig.Fleet) daisyfleet.ZoneID {
	id := daisyfleet.ZoneID{Fleet: fleet.Name, Zone: d.name(n, f, "availability-zone")}
	for _, z := range fleet.AvailabilityZones {
		if z.ID == id {
			return id
		}
	}
	if id.Zone != "" {
		d.addProblem(f["availability-zone"], "the fleet has no availability zone %q", id.Zone)
	}
	return id
}
