package daisyplan

import (
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// Change is one difference between the configuration in force and the intent. It
// is one of FleetAdded, FleetRemoved, ZoneAdded, ZoneRemoved, ZoneChanged,
// RankAdded, RankRemoved, RankChanged, RanksReordered, ServiceAdded,
// ServiceRemoved, ServiceRanksChanged, ProtocolChanged, EndpointAdded,
// EndpointRemoved, EndpointChanged, EndpointDrained and EndpointResumed.
type Change interface{ change() }

// FleetAdded says that a fleet is new.
type FleetAdded struct{ Fleet daisyfleet.Name }

// FleetRemoved says that a fleet goes, with everything in it.
type FleetRemoved struct{ Fleet daisyfleet.Name }

// ZoneAdded says that an availability zone is new.
type ZoneAdded struct{ Zone daisyfleet.AvailabilityZone }

// ZoneRemoved says that an availability zone goes.
type ZoneRemoved struct{ Zone daisyfleet.ZoneID }

// ZoneChanged says that an availability zone lies in another city.
type ZoneChanged struct{ Before, After daisyfleet.AvailabilityZone }

// RankAdded says that a rank is new in its fleet.
type RankAdded struct {
	Fleet daisyfleet.Name
	Rank  daisyrank.Rank
}

// RankRemoved says that a rank goes.
type RankRemoved struct {
	Fleet daisyfleet.Name
	Rank  daisyrank.Name
}

// RankChanged says that a rank has another target, worth or floor.
type RankChanged struct {
	Fleet         daisyfleet.Name
	Before, After daisyrank.Rank
}

// RanksReordered says that the order of urgency of a fleet's ranks is another.
type RanksReordered struct {
	Fleet         daisyfleet.Name
	Before, After []daisyrank.Name
}

// ServiceAdded says that a service is new.
type ServiceAdded struct{ Service daisyservice.ID }

// ServiceRemoved says that a service goes.
type ServiceRemoved struct{ Service daisyservice.ID }

// ServiceRanksChanged says that a service carries other ranks or has another default.
type ServiceRanksChanged struct {
	Service                     daisyservice.ID
	Before, After               []daisyrank.Name
	DefaultBefore, DefaultAfter daisyrank.Name
}

// ProtocolChanged says that the endpoints of a service are spoken to in another protocol.
type ProtocolChanged struct {
	Service       daisyservice.ID
	Before, After daisyservice.Protocol
}

// EndpointAdded says that an endpoint is new.
type EndpointAdded struct {
	Service  daisyservice.ID
	Endpoint daisyendpoint.Endpoint
}

// EndpointRemoved says that an endpoint goes.
type EndpointRemoved struct {
	Service  daisyservice.ID
	Endpoint daisyendpoint.Endpoint
}

// EndpointChanged says that an endpoint has another zone or other limits.
type EndpointChanged struct {
	Service       daisyservice.ID
	Before, After daisyendpoint.Endpoint
}

// EndpointDrained says that an endpoint gets no new work any more.
type EndpointDrained struct {
	Service  daisyservice.ID
	Endpoint daisyendpoint.Endpoint
}

// EndpointResumed says that a drained endpoint gets work again.
type EndpointResumed struct {
	Service  daisyservice.ID
	Endpoint daisyendpoint.Endpoint
}

func (FleetAdded) change()          {}
func (FleetRemoved) change()        {}
func (ZoneAdded) change()           {}
func (ZoneRemoved) change()         {}
func (ZoneChanged) change()         {}
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
