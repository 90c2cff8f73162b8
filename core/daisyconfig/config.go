// Package daisyconfig defines the configuration that operators confirm, and the
// Follower, which decides which revision of it a VM has in force.
package daisyconfig

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// Revision is the number of a confirmed configuration. Each confirmed
// configuration has a higher revision than the one before; 0 means none.
type Revision uint64

// Hash is the lower-case hexadecimal SHA-256 of a snapshot's encoding.
type Hash string

// Fleet is the declaration of one fleet in an intent.
type Fleet struct {
	Name              daisyfleet.Name
	AvailabilityZones []daisyfleet.AvailabilityZone
	// Ranks lists the ranks of the fleet, the most urgent first.
	Ranks    []daisyrank.Rank
	Services []daisyservice.Service
	// Routes map hosts and paths to services, in addition to the services' own host names.
	Routes []daisypath.Route
	// CallerLimits limits the requests of callers; its zero value means the defaults.
	CallerLimits CallerLimits
	// Accounts are the client accounts of the fleet. If there are any, a request has to
	// show a key of one of them unless its route is public.
	Accounts []daisyaccount.Account
	// KeysRequired means that accounts are declared, although none may have been valid: then
	// no request has a known key.
	KeysRequired bool
}

// Evacuated reports whether an availability zone of the fleet is declared evacuated.
func (f Fleet) Evacuated(zone daisyfleet.ZoneID) bool {
	for _, z := range f.AvailabilityZones {
		if z.ID == zone {
			return z.Evacuated
		}
	}
	return false
}

// CallerLimits limits the size of the requests that callers send and the time
// that they take. A field that is 0 means the default.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Intent is the configuration that operators declare.
type Intent struct{ Fleets []Fleet }

// EndpointID identifies an endpoint of a service.
type EndpointID struct {
	Service daisyservice.ID
	Address netip.AddrPort
}

// Snapshot is one confirmed configuration. It is immutable.
type Snapshot struct {
	Revision Revision
	Hash     Hash
	// Previous is the hash of the previous revision's snapshot; empty for the first revision.
	Previous    Hash
	Intent      Intent
	ConfirmedAt time.Time
	ConfirmedBy string
	PlanID      string
	// Evacuated are the availability zones whose endpoints get no new requests, in addition
	// to those that Intent declares so.
	Evacuated []daisyfleet.ZoneID
	// Adjustments are the entries that could not be taken as they were written.
	Adjustments []Adjustment
}

// Adjustment is an entry of a configuration that could not be taken as it was written, and
// what was done with it so that the other entries take effect.
type Adjustment struct {
	// Entry names the entry, for instance "route r-1".
	Entry string
	// Problem is what is wrong with it, Effect what it was taken for.
	Problem, Effect string
}

// EvacuatedZones returns the availability zones whose endpoints get no new requests, in the
// order of their names.
func (s *Snapshot) EvacuatedZones() []daisyfleet.ZoneID {
	zones := slices.Clone(s.Evacuated)
	for _, f := range s.Intent.Fleets {
		for _, z := range f.AvailabilityZones {
			if z.Evacuated {
				zones = append(zones, z.ID)
			}
		}
	}
	slices.SortFunc(zones, func(a, b daisyfleet.ZoneID) int { return strings.Compare(a.String(), b.String()) })
	return slices.Compact(zones)
}

// FindService returns the service with the given ID and reports whether it exists.
func (s *Snapshot) FindService(id daisyservice.ID) (daisyservice.Service, bool) {
	for _, f := range s.Intent.Fleets {
		if f.Name != id.Fleet {
			continue
		}
		for _, v := range f.Services {
			if v.ID == id {
				return v, true
			}
		}
	}
	return daisyservice.Service{}, false
}
