package daisyplan

import (
	"net/netip"
	"slices"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// pair holds an element from before and after a change. One of the two is nil
// if the element was added or removed.
type pair[T any] struct{ before, after *T }

// matchByKey pairs the elements of two lists that have the same key. The pairs
// follow the order of before, with the added elements at the end.
func matchByKey[T any, K comparable](before, after []T, key func(T) K) []pair[T] {
	index := make(map[K]int, len(before))
	pairs := make([]pair[T], 0, max(len(before), len(after)))
	for i := range before {
		index[key(before[i])] = len(pairs)
		pairs = append(pairs, pair[T]{before: &before[i]})
	}
	for i := range after {
		if j, ok := index[key(after[i])]; ok {
			pairs[j].after = &after[i]
			continue
		}
		pairs = append(pairs, pair[T]{after: &after[i]})
	}
	return pairs
}

func fleetKey(f daisyconfig.Fleet) daisyfleet.Name            { return f.Name }
func zoneKey(z daisyfleet.AvailabilityZone) daisyfleet.ZoneID { return z.ID }
func rankKey(r daisyrank.Rank) daisyrank.Name                 { return r.Name }
func serviceKey(s daisyservice.Service) daisyservice.ID       { return s.ID }
func endpointKey(e daisyendpoint.Endpoint) netip.AddrPort     { return e.Address }

func compareIntents(before, after daisyconfig.Intent) []Change {
	var changes []Change
	for _, p := range matchByKey(before.Fleets, after.Fleets, fleetKey) {
		changes = append(changes, compareFleet(p)...)
	}
	return changes
}

func compareFleet(p pair[daisyconfig.Fleet]) []Change {
	var changes []Change
	var before, after daisyconfig.Fleet
	if p.before == nil {
		changes = append(changes, FleetAdded{Fleet: p.after.Name})
	} else {
		before = *p.before
	}
	if p.after == nil {
		changes = append(changes, FleetRemoved{Fleet: p.before.Name})
	} else {
		after = *p.after
	}
	changes = append(changes, compareZones(before, after)...)
	changes = append(changes, compareRanks(before, after)...)
	for _, s := range matchByKey(before.Services, after.Services, serviceKey) {
		changes = append(changes, compareService(s)...)
	}
	return append(changes, compareTraffic(before, after)...)
}

func compareZones(before, after daisyconfig.Fleet) []Change {
	var changes []Change
	for _, p := range matchByKey(before.AvailabilityZones, after.AvailabilityZones, zoneKey) {
		switch {
		case p.before == nil:
			changes = append(changes, ZoneAdded{Zone: *p.after})
		case p.after == nil:
			changes = append(changes, ZoneRemoved{Zone: p.before.ID})
		case p.before.City != p.after.City:
			changes = append(changes, ZoneChanged{Before: *p.before, After: *p.after})
		}
		changes = append(changes, compareEvacuation(p)...)
	}
	return changes
}

func compareEvacuation(p pair[daisyfleet.AvailabilityZone]) []Change {
	evacuatedBefore := p.before != nil && p.before.Evacuated
	switch {
	case p.after == nil:
	case p.after.Evacuated && !evacuatedBefore:
		return []Change{ZoneEvacuated{Zone: p.after.ID}}
	case evacuatedBefore && !p.after.Evacuated:
		return []Change{ZoneReturned{Zone: p.after.ID}}
	}
	return nil
}

func compareRanks(before, after daisyconfig.Fleet) []Change {
	var changes []Change
	var oldOrder, newOrder []daisyrank.Name
	for _, p := range matchByKey(before.Ranks, after.Ranks, rankKey) {
		switch {
		case p.before == nil:
			changes = append(changes, RankAdded{Fleet: after.Name, Rank: *p.after})
			continue
		case p.after == nil:
			changes = append(changes, RankRemoved{Fleet: before.Name, Rank: p.before.Name})
			continue
		case *p.before != *p.after:
			changes = append(changes, RankChanged{Fleet: after.Name, Before: *p.before, After: *p.after})
		}
		oldOrder = append(oldOrder, p.before.Name)
	}
	for _, r := range after.Ranks {
		if slices.Contains(oldOrder, r.Name) {
			newOrder = append(newOrder, r.Name)
		}
	}
	if !slices.Equal(oldOrder, newOrder) {
		changes = append(changes, RanksReordered{Fleet: after.Name, Before: rankNames(before.Ranks), After: rankNames(after.Ranks)})
	}
	return changes
}

func rankNames(ranks []daisyrank.Rank) []daisyrank.Name {
	names := make([]daisyrank.Name, 0, len(ranks))
	for _, r := range ranks {
		names = append(names, r.Name)
	}
	return names
}

func compareService(p pair[daisyservice.Service]) []Change {
	var changes []Change
	var before, after daisyservice.Service
	if p.before == nil {
		changes = append(changes, ServiceAdded{Service: p.after.ID})
	} else {
		before = *p.before
	}
	if p.after == nil {
		changes = append(changes, ServiceRemoved{Service: p.before.ID})
	} else {
		after = *p.after
	}
	if p.before != nil && p.after != nil {
		changes = append(changes, compareServiceRanks(before, after)...)
		changes = append(changes, compareProtocol(before, after)...)
		changes = append(changes, compareDefaults(before, after)...)
	}
	for _, e := range matchByKey(before.Endpoints, after.Endpoints, endpointKey) {
		changes = append(changes, compareEndpoint(before.ID, after.ID, e)...)
	}
	return changes
}

func compareServiceRanks(before, after daisyservice.Service) []Change {
	c := ServiceRanksChanged{
		Service:       after.ID,
		Before:        rankNames(before.Ranks),
		After:         rankNames(after.Ranks),
		DefaultBefore: defaultRank(before),
		DefaultAfter:  defaultRank(after),
	}
	if slices.Equal(c.Before, c.After) && c.DefaultBefore == c.DefaultAfter {
		return nil
	}
	return []Change{c}
}

// compareProtocol returns the change of protocol, if any. A new protocol applies
// to all endpoints of the service at the same time.
func compareProtocol(before, after daisyservice.Service) []Change {
	if before.Protocol == after.Protocol {
		return nil
	}
	return []Change{ProtocolChanged{Service: after.ID, Before: before.Protocol, After: after.Protocol}}
}

func defaultRank(s daisyservice.Service) daisyrank.Name {
	r, _ := s.Default()
	return r.Name
}

func compareEndpoint(before, after daisyservice.ID, p pair[daisyendpoint.Endpoint]) []Change {
	if p.before == nil {
		return []Change{EndpointAdded{Service: after, Endpoint: *p.after}}
	}
	if p.after == nil {
		return []Change{EndpointRemoved{Service: before, Endpoint: *p.before}}
	}
	var changes []Change
	withoutStates := *p.after
	withoutStates.Draining = p.before.Draining
	// An evacuation is a change of the zone.
	withoutStates.Evacuated = p.before.Evacuated
	if withoutStates != *p.before {
		changes = append(changes, EndpointChanged{Service: after, Before: *p.before, After: *p.after})
	}
	if !p.before.Draining && p.after.Draining {
		changes = append(changes, EndpointDrained{Service: after, Endpoint: *p.after})
	}
	if p.before.Draining && !p.after.Draining {
		changes = append(changes, EndpointResumed{Service: after, Endpoint: *p.after})
	}
	return changes
}

func withdrawnEndpoints(changes []Change) []daisyconfig.EndpointID {
	var ids []daisyconfig.EndpointID
	for _, c := range changes {
		switch c := c.(type) {
		case EndpointRemoved:
			ids = append(ids, daisyconfig.EndpointID{Service: c.Service, Address: c.Endpoint.Address})
		case EndpointDrained:
			ids = append(ids, daisyconfig.EndpointID{Service: c.Service, Address: c.Endpoint.Address})
		case FleetAdded, FleetRemoved, ZoneAdded, ZoneRemoved, ZoneChanged, ZoneEvacuated, ZoneReturned, RankAdded, RankRemoved,
			RankChanged, RanksReordered, ServiceAdded, ServiceRemoved, ServiceRanksChanged,
			ProtocolChanged, EndpointAdded, EndpointChanged, EndpointResumed, RouteAdded, RouteRemoved, RouteChanged,
			AccountAdded, AccountRemoved, AccountChanged, CallerLimitsChanged, ServiceDefaultsChanged:
		}
	}
	return ids
}
