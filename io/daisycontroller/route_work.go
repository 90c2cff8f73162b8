package daisycontroller

import (
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
)

// ServiceWork returns the number of attempts in flight and of waiting requests of a
// service on this VM.
func (c *Route) ServiceWork(id daisyservice.ID) (inFlight, waiting int) {
	s := c.shard(id)
	if s == nil {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.dispatcher.Ranks() {
		d := s.dispatcher.Demand(r)
		inFlight += int(d.InFlight)
		waiting += int(d.Waiting)
	}
	return inFlight, waiting
}

// HasUsableEndpoint reports whether a service has an endpoint that may get new work.
func (c *Route) HasUsableEndpoint(id daisyservice.ID) bool {
	s := c.shard(id)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.dispatcher.Endpoints(now()) {
		switch e.Condition {
		case daisyroute.Draining, daisyroute.Leaving, daisyroute.Removed, daisyroute.Evacuated:
		case daisyroute.InUse, daisyroute.Ramping, daisyroute.EjectedSlow, daisyroute.EjectedFaulty, daisyroute.Pausing:
			return true
		}
	}
	return false
}

// EndpointStatus returns the state of an endpoint as seen by this VM, which is
// daisyroute.Removed for an unknown one.
func (c *Route) EndpointStatus(id daisyconfig.EndpointID) daisyroute.EndpointStatus {
	s := c.shard(id.Service)
	if s == nil {
		return daisyroute.EndpointStatus{Address: id.Address, Condition: daisyroute.Removed}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, _ := s.dispatcher.Endpoint(now(), id.Address)
	return status
}

// Services returns the services in force.
func (c *Route) Services() []daisyservice.Service {
	var services []daisyservice.Service
	for _, s := range *c.shards.Load() {
		if v := s.service.Load(); v != nil {
			services = append(services, *v)
		}
	}
	return services
}
