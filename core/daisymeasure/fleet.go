package daisymeasure

import (
	"fmt"
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Fleet is the size of a simulated fleet.
type Fleet struct {
	Name daisyfleet.Name
	VMs  int
	// Endpoints is the number of endpoints of each service.
	Endpoints        []int
	SlotsPerEndpoint int
	Zones            int
	// LocalDelay and CrossZoneDelay are the one-way network delays within and
	// between availability zones.
	LocalDelay, CrossZoneDelay time.Duration
	// ColdRate is the number of requests per second that cold endpoints tolerate, and
	// ColdStart how long they are cold after a start; 0 means that they are never cold.
	ColdRate  float64
	ColdStart time.Duration
	// Cores returns the number of cores of a VM; nil means that processors are never busy.
	Cores func(vm int) float64
	// EarlierBuild returns whether a VM does not announce its cores; nil means that none does.
	EarlierBuild func(vm int) bool
}

// Portugal returns the fleet vigia-lar with the first maxServices of its services.
func Portugal(maxServices int) Fleet {
	return Fleet{
		Name:             "vigia-lar",
		VMs:              6,
		Endpoints:        []int{11, 11, 11, 12}[:maxServices],
		SlotsPerEndpoint: 3,
		Zones:            4,
		LocalDelay:       100 * time.Microsecond,
		CrossZoneDelay:   time.Millisecond,
	}
}

// Czechia returns the fleet grave-maps with the first maxServices of its services.
func Czechia(maxServices int) Fleet {
	return Fleet{
		Name:             "grave-maps",
		VMs:              5,
		Endpoints:        []int{7, 7, 8, 8}[:maxServices],
		SlotsPerEndpoint: 2,
		Zones:            3,
		LocalDelay:       100 * time.Microsecond,
		CrossZoneDelay:   1500 * time.Microsecond,
	}
}

// The ranks in the order of urgency.
const (
	Urgent daisyrank.Index = iota
	Standard
	Bulk
	rankCount
)

func (f Fleet) ranks() []daisyrank.Rank {
	return []daisyrank.Rank{
		{Name: "urgent", Target: 250 * time.Millisecond, Worth: 100, Floor: 0.5},
		{Name: "standard", Target: 2 * time.Second, Worth: 10, Floor: 0.3},
		{Name: "bulk", Target: 10 * time.Minute, Worth: 1, Floor: 0.05},
	}
}

// meanWork is the mean time that a request of each rank occupies a slot of an endpoint.
var meanWork = [rankCount]time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond}

// workSigma is the standard deviation of the logarithm of that time.
const workSigma = 0.6

func (f Fleet) zone(i int) daisyfleet.ZoneID {
	return daisyfleet.ZoneID{Fleet: f.Name, Zone: fmt.Sprint("zone-", i%f.Zones)}
}

func (f Fleet) vm(i int) daisyvm.VM {
	address := netip.AddrFrom4([4]byte{10, 1, 0, byte(i)})
	var capacity daisyvm.Capacity
	if f.Cores != nil && (f.EarlierBuild == nil || !f.EarlierBuild(i)) {
		capacity = daisyvm.NewCapacity(f.Cores(i), 0)
	}
	return daisyvm.VM{
		Capacity:    capacity,
		Name:        daisyvm.Name(fmt.Sprint("vm-", i)),
		Incarnation: 1,
		Zone:        f.zone(i),
		Callers:     netip.AddrPortFrom(address, 80),
		Peers:       netip.AddrPortFrom(address, 81),
	}
}

func (f Fleet) isEarlierBuild(name daisyvm.Name) bool {
	for i := range f.VMs {
		if f.vm(i).Name == name {
			return f.EarlierBuild != nil && f.EarlierBuild(i)
		}
	}
	return false
}

func (f Fleet) service(i int) daisyservice.Service {
	s := daisyservice.Service{ID: daisyservice.ID{Fleet: f.Name, Name: fmt.Sprint("service-", i)}, Ranks: f.ranks(), ColdRate: f.ColdRate, ColdStart: f.ColdStart}
	for j := range f.Endpoints[i] {
		address := netip.AddrFrom4([4]byte{10, 2, byte(i), byte(j)})
		s.Endpoints = append(s.Endpoints, daisyendpoint.Endpoint{
			Address:     netip.AddrPortFrom(address, 80),
			Zone:        f.zone(j),
			Slots:       f.SlotsPerEndpoint,
			Connections: 250,
		})
	}
	return s
}

// delay returns the one-way network delay between two availability zones.
func (f Fleet) delay(a, b daisyfleet.ZoneID) time.Duration {
	if a == b {
		return f.LocalDelay
	}
	return f.CrossZoneDelay
}

// slots returns the number of slots of all services.
func (f Fleet) slots() int {
	sum := 0
	for _, n := range f.Endpoints {
		sum += n * f.SlotsPerEndpoint
	}
	return sum
}
