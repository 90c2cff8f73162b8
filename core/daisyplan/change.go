package daisyplan

import (
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// Change is one difference between the configuration in force and the intent. A Change is one of FleetAdded, FleetRemoved, ZoneAdded,
// ZoneRemoved, ZoneChanged, ZoneEvacuated, ZoneReturned, RankAdded, RankRemoved, RankChanged, RanksReordered,
// ServiceAdded, ServiceRemoved, ServiceRanksChanged, ProtocolChanged,
// EndpointAdded, EndpointRemoved, EndpointChanged, EndpointDrained, EndpointResumed,
// RouteAdded, RouteRemoved, RouteChanged, AccountAdded, AccountRemoved, AccountChanged,
// CallerLimitsChanged and ServiceDefaultsChanged.
type Change interface{ change() }

// FleetAdded is a Change that adds a fleet.
type FleetAdded struct{ Fleet daisyfleet.Name }

// FleetRemoved is a Change that removes a fleet and everything in it.
type FleetRemoved struct{ Fleet daisyfleet.Name }

// ZoneAdded is a Change that adds an availability zone.
type ZoneAdded struct{ Zone daisyfleet.AvailabilityZone }

// ZoneRemoved is a Change that removes an availability zone.
type ZoneRemoved struct{ Zone daisyfleet.ZoneID }

// ZoneChanged is a Change of the city of an availability zone.
type ZoneChanged struct{ Before, After daisyfleet.AvailabilityZone }

// ZoneEvacuated is a Change after which the endpoints of an availability zone receive no new
// requests.
type ZoneEvacuated struct{ Zone daisyfleet.ZoneID }

// ZoneReturned is a Change after which the endpoints of an evacuated availability zone
// receive requests again.
type ZoneReturned struct{ Zone daisyfleet.ZoneID }

// RankAdded is a Change that adds a rank to a fleet.
type RankAdded struct {
	Fleet daisyfleet.Name
	Rank  daisyrank.Rank
}

// RankRemoved is a Change that removes a rank from a fleet.
type RankRemoved struct {
	Fleet daisyfleet.Name
	Rank  daisyrank.Name
}

// RankChanged is a Change of the target, worth or floor of a rank.
type RankChanged struct {
	Fleet         daisyfleet.Name
	Before, After daisyrank.Rank
}

// RanksReordered is a Change of the urgency order of a fleet's ranks.
type RanksReordered struct {
	Fleet         daisyfleet.Name
	Before, After []daisyrank.Name
}

// ServiceAdded is a Change that adds a service.
type ServiceAdded struct{ Service daisyservice.ID }

// ServiceRemoved is a Change that removes a service.
type ServiceRemoved struct{ Service daisyservice.ID }

// ServiceRanksChanged is a Change of the ranks of a service or of its default rank.
type ServiceRanksChanged struct {
	Service                     daisyservice.ID
	Before, After               []daisyrank.Name
	DefaultBefore, DefaultAfter daisyrank.Name
}

// ProtocolChanged is a Change of the protocol used to connect to the endpoints of a service.
type ProtocolChanged struct {
	Service       daisyservice.ID
	Before, After daisyservice.Protocol
}

// EndpointAdded is a Change that adds an endpoint to a service.
type EndpointAdded struct {
	Service  daisyservice.ID
	Endpoint daisyendpoint.Endpoint
}

// EndpointRemoved is a Change that removes an endpoint from a service.
type EndpointRemoved struct {
	Service  daisyservice.ID
	Endpoint daisyendpoint.Endpoint
}

// EndpointChanged is a Change of the zone or the limits of an endpoint.
type EndpointChanged struct {
	Service       daisyservice.ID
	Before, After daisyendpoint.Endpoint
}

// EndpointDrained is a Change after which an endpoint receives no new requests.
type EndpointDrained struct {
	Service  daisyservice.ID
	Endpoint daisyendpoint.Endpoint
}

// EndpointResumed is a Change after which a drained endpoint receives requests again.
type EndpointResumed struct {
	Service  daisyservice.ID
	Endpoint daisyendpoint.Endpoint
}

func (FleetAdded) change()          {}
func (FleetRemoved) change()        {}
func (ZoneAdded) change()           {}
func (ZoneRemoved) change()         {}
func (ZoneChanged) change()         {}
func (ZoneEvacuated) change()       {}
func (ZoneReturned) change()        {}
func (RankAdded) change()           {}
func (RankRemoved) change()         {}
func (RankChanged) change()         {}
func (RanksReordered) change()      {}
func (ServiceAdded) change()        {}
func (ServiceRemoved) change()      {}
func (ServiceRanksChanged) change() {}
func (ProtocolChanged) change()     {}
func (EndpointAdded) change()       {}
func (EndpointRemoved) change()     {}
func (EndpointChanged) change()     {}
func (EndpointDrained) change()     {}
func (EndpointResumed) change()     {}
