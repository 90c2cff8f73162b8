// Package daisyservice describes services: their ranks, protocol and endpoints.
package daisyservice

import (
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
)

// ID identifies a service. A service name is unique only within its fleet.
type ID struct {
	Fleet daisyfleet.Name
	Name  string
}

// String returns the ID as FLEET/NAME.
func (s ID) String() string { return string(s.Fleet) + "/" + s.Name }

// Service is the declaration of a service, as far as routing depends on it.
type Service struct {
	ID ID
	// Ranks are the ranks of the service's requests, the most urgent first.
	Ranks       []daisyrank.Rank
	DefaultRank daisyrank.Index
	// Protocol is the same for all endpoints of the service.
	Protocol Protocol
	// HealthPath is the path of probes; empty means daisyyoke's own load path.
	HealthPath string
	// Connections is the default for endpoints that declare no limit of their own:
	// the number of connections that an endpoint accepts from all VMs together. 0
	// means unknown.
	Connections int
	// ColdStart is how long an endpoint is cold after its start, and ColdRate the number of
	// requests per second that it tolerates from all VMs together while it is cold; 0 means
	// that no limit is known.
	ColdStart time.Duration
	ColdRate  float64
	Endpoints []daisyendpoint.Endpoint
}

// Slots returns the total number of slots of all endpoints.
func (s Service) Slots() int {
	slots := 0
	for _, e := range s.Endpoints {
		slots += e.Slots
	}
	return slots
}

// OpenSlots returns the number of slots of the endpoints that are not evacuated.
func (s Service) OpenSlots() int {
	slots := 0
	for _, e := range s.Endpoints {
		if !e.Evacuated {
			slots += e.Slots
		}
	}
	return slots
}

// OpenEndpoints returns the number of endpoints that are not evacuated.
func (s Service) OpenEndpoints() int {
	n := 0
	for _, e := range s.Endpoints {
		if !e.Evacuated {
			n++
		}
	}
	return n
}

// FindRank returns the rank with the given name, and reports whether the service has it.
func (s Service) FindRank(name daisyrank.Name) (daisyrank.Rank, bool) {
	for _, r := range s.Ranks {
		if r.Name == name {
			return r, true
		}
	}
	return daisyrank.Rank{}, false
}

// Default returns the rank of requests that name none, and reports whether there is one: a
// service that no route leads to may have no ranks.
func (s Service) Default() (daisyrank.Rank, bool) {
	if s.DefaultRank < 0 || int(s.DefaultRank) >= len(s.Ranks) {
		return daisyrank.Rank{}, false
	}
	return s.Ranks[s.DefaultRank], true
}
