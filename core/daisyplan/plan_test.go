package daisyplan_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

var (
	now     = time.Date(2026, time.November, 1, 8, 0, 0, 0, time.UTC)
	lookups = daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"}
	zoneA   = daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: "a"}
	zoneB   = daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: "b"}
	urgent  = daisyrank.Rank{Name: "urgent", Target: time.Second, Worth: 10, Floor: 0.5}
	bulk    = daisyrank.Rank{Name: "bulk", Target: time.Minute, Worth: 1, Floor: 0.25}
)

var compareAddresses = cmpopts.EquateComparable(netip.AddrPort{})

func endpointAt(port uint16, zone daisyfleet.ZoneID) daisyendpoint.Endpoint {
	return daisyendpoint.Endpoint{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port), Zone: zone, Slots: 4, Connections: 250}
}

// newIntent returns an intent of one service with two endpoints in each of two
// zones, with the changes applied.
func newIntent(changes ...func(f *daisyconfig.Fleet)) daisyconfig.Intent {
	f := daisyconfig.Fleet{
		Name:              "vigia-lar",
		AvailabilityZones: []daisyfleet.AvailabilityZone{{ID: zoneA, City: "lisboa"}, {ID: zoneB, City: "porto"}},
		Ranks:             []daisyrank.Rank{urgent, bulk},
		Services: []daisyservice.Service{{
			ID:    lookups,
			Ranks: []daisyrank.Rank{urgent, bulk},
			Endpoints: []daisyendpoint.Endpoint{
				endpointAt(1, zoneA), endpointAt(2, zoneA), endpointAt(3, zoneB), endpointAt(4, zoneB),
			},
		}},
	}
	for _, c := range changes {
		c(&f)
	}
	return daisyconfig.Intent{Fleets: []daisyconfig.Fleet{f}}
}

func makePlan(after daisyconfig.Intent) daisyplan.Plan {
	base := &daisyconfig.Snapshot{Revision: 7, Hash: "ab", Intent: newIntent()}
	return daisyplan.New(base, after, now)
}

func TestMakeChangesAndWarnings(t *testing.T) {
	first := endpointAt(1, zoneA)
	larger := first
	larger.Slots = 8
	drained := first
	drained.Draining = true
	slower := urgent
	slower.Target = time.Minute
	cases := []struct {
		name      string
		change    func(f *daisyconfig.Fleet)
		changes   []daisyplan.Change
		warnings  []daisyplan.Warning
		withdrawn int
	}{
		{
			name:     "nothing",
			change:   func(*daisyconfig.Fleet) {},
			warnings: []daisyplan.Warning{daisyplan.NothingChanges{}},
		},
		{
			name: "endpoint added",
			change: func(f *daisyconfig.Fleet) {
				f.Services[0].Endpoints = append(f.Services[0].Endpoints, endpointAt(5, zoneB))
			},
			changes: []daisyplan.Change{daisyplan.EndpointAdded{Service: lookups, Endpoint: endpointAt(5, zoneB)}},
		},
		{
			name:      "endpoint removed",
			change:    func(f *daisyconfig.Fleet) { f.Services[0].Endpoints = f.Services[0].Endpoints[1:] },
			changes:   []daisyplan.Change{daisyplan.EndpointRemoved{Service: lookups, Endpoint: first}},
			withdrawn: 1,
		},
		{
			name:    "endpoint changed",
			change:  func(f *daisyconfig.Fleet) { f.Services[0].Endpoints[0] = larger },
			changes: []daisyplan.Change{daisyplan.EndpointChanged{Service: lookups, Before: first, After: larger}},
		},
		{
			name:      "endpoint drained",
			change:    func(f *daisyconfig.Fleet) { f.Services[0].Endpoints[0] = drained },
			changes:   []daisyplan.Change{daisyplan.EndpointDrained{Service: lookups, Endpoint: drained}},
			withdrawn: 1,
		},
		{
			name: "zone left empty",
			change: func(f *daisyconfig.Fleet) {
				f.Services[0].Endpoints = f.Services[0].Endpoints[:2]
			},
			changes: []daisyplan.Change{
				daisyplan.EndpointRemoved{Service: lookups, Endpoint: endpointAt(3, zoneB)},
				daisyplan.EndpointRemoved{Service: lookups, Endpoint: endpointAt(4, zoneB)},
			},
			warnings: []daisyplan.Warning{
				daisyplan.ZoneLeftEmpty{Zone: zoneB},
				daisyplan.CapacityDropped{Service: lookups, Before: 16, After: 8},
			},
			withdrawn: 2,
		},
		{
			name:    "rank changed",
			change:  func(f *daisyconfig.Fleet) { f.Ranks[0], f.Services[0].Ranks[0] = slower, slower },
			changes: []daisyplan.Change{daisyplan.RankChanged{Fleet: "vigia-lar", Before: urgent, After: slower}},
		},
		{
			name: "floors over one",
			change: func(f *daisyconfig.Fleet) {
				f.Ranks = []daisyrank.Rank{urgent, {Name: "bulk", Target: time.Minute, Worth: 1, Floor: 0.75}}
				f.Services[0].Ranks = f.Ranks
			},
			changes: []daisyplan.Change{daisyplan.RankChanged{
				Fleet: "vigia-lar", Before: bulk, After: daisyrank.Rank{Name: "bulk", Target: time.Minute, Worth: 1, Floor: 0.75},
			}},
			warnings: []daisyplan.Warning{daisyplan.FloorsOverOne{Service: lookups, Sum: 1.25}},
		},
		{
			name: "ranks reordered",
			change: func(f *daisyconfig.Fleet) {
				f.Ranks = []daisyrank.Rank{bulk, urgent}
				f.Services[0].Ranks = f.Ranks
				f.Services[0].DefaultRank = 1
			},
			changes: []daisyplan.Change{
				daisyplan.RanksReordered{Fleet: "vigia-lar", Before: []daisyrank.Name{"urgent", "bulk"}, After: []daisyrank.Name{"bulk", "urgent"}},
				daisyplan.ServiceRanksChanged{
					Service: lookups, Before: []daisyrank.Name{"urgent", "bulk"}, After: []daisyrank.Name{"bulk", "urgent"},
					DefaultBefore: "urgent", DefaultAfter: "urgent",
				},
			},
		},
		{
			name: "service and zone without endpoints, address used twice",
			change: func(f *daisyconfig.Fleet) {
				f.AvailabilityZones = append(f.AvailabilityZones, daisyfleet.AvailabilityZone{ID: daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: "c"}})
				f.Services = append(f.Services,
					daisyservice.Service{ID: daisyservice.ID{Fleet: "vigia-lar", Name: "closures"}, Ranks: f.Ranks, Endpoints: []daisyendpoint.Endpoint{first}},
					daisyservice.Service{ID: daisyservice.ID{Fleet: "vigia-lar", Name: "reports"}, Ranks: f.Ranks})
			},
			changes: []daisyplan.Change{
				daisyplan.ZoneAdded{Zone: daisyfleet.AvailabilityZone{ID: daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: "c"}}},
				daisyplan.ServiceAdded{Service: daisyservice.ID{Fleet: "vigia-lar", Name: "closures"}},
				daisyplan.EndpointAdded{Service: daisyservice.ID{Fleet: "vigia-lar", Name: "closures"}, Endpoint: first},
				daisyplan.ServiceAdded{Service: daisyservice.ID{Fleet: "vigia-lar", Name: "reports"}},
			},
			warnings: []daisyplan.Warning{
				daisyplan.ServiceLeftEmpty{Service: daisyservice.ID{Fleet: "vigia-lar", Name: "reports"}},
				daisyplan.ZoneLeftEmpty{Zone: daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: "c"}},
				daisyplan.AddressUsedTwice{Address: first.Address, Services: []daisyservice.ID{lookups, {Fleet: "vigia-lar", Name: "closures"}}},
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := makePlan(newIntent(c.change))
			assert.DeepEqual(t, p.Changes, c.changes, compareAddresses)
			assert.DeepEqual(t, p.Warnings, c.warnings, compareAddresses)
			assert.Equal(t, len(p.WithdrawnEndpoints), c.withdrawn)
			assert.Equal(t, p.ChangeCount, len(p.Changes))
			assert.Equal(t, p.WarningCount, len(p.Warnings))
			assert.Equal(t, p.Base, daisyconfig.Revision(7))
		})
	}
}

func TestMakeImpacts(t *testing.T) {
	p := makePlan(newIntent(func(f *daisyconfig.Fleet) { f.Services[0].Endpoints[0].Draining = true }))
	assert.DeepEqual(t, p.Impacts, []daisyplan.Impact{{
		Service: lookups, SlotsBefore: 16, SlotsAfter: 12,
		Before: []daisyplan.RankSlots{{Rank: "urgent", Slots: 8}, {Rank: "bulk", Slots: 4}},
		After:  []daisyplan.RankSlots{{Rank: "urgent", Slots: 6}, {Rank: "bulk", Slots: 3}},
	}})
}

// Guards against a plan that does not say what an evacuation does to the capacity, or lists
// each endpoint of the zone as changed.
func TestPlansOfEvacuations(t *testing.T) {
	evacuate := func(zones ...int) daisyconfig.Intent {
		return newIntent(func(f *daisyconfig.Fleet) {
			for _, z := range zones {
				f.AvailabilityZones[z].Evacuated = true
			}
			for i := range f.Services[0].Endpoints {
				e := &f.Services[0].Endpoints[i]
				e.Evacuated = f.Evacuated(e.Zone)
			}
		})
	}
	one := makePlan(evacuate(0))
	assert.DeepEqual(t, one.Changes, []daisyplan.Change{daisyplan.ZoneEvacuated{Zone: zoneA}}, compareAddresses)
	assert.Equal(t, one.Impacts[0].SlotsAfter, 8)
	assert.DeepEqual(t, one.Warnings, []daisyplan.Warning{daisyplan.CapacityDropped{Service: lookups, Before: 16, After: 8}})
	all := makePlan(evacuate(0, 1))
	assert.DeepEqual(t, all.Warnings, []daisyplan.Warning{daisyplan.ServiceLeftEmpty{Service: lookups}})
	back := daisyplan.New(&daisyconfig.Snapshot{Revision: 7, Intent: evacuate(0)}, newIntent(), now)
	assert.DeepEqual(t, back.Changes, []daisyplan.Change{daisyplan.ZoneReturned{Zone: zoneA}}, compareAddresses)
	assert.Equal(t, len(back.Warnings), 0)
}

// TestSameNamesInTwoFleetsStayDistinct checks that services and endpoints of
// different fleets are not matched with each other because they have the same name.
func TestSameNamesInTwoFleetsStayDistinct(t *testing.T) {
	both := newIntent()
	other := newIntent().Fleets[0]
	other.Name = "czech-maps"
	other.Services[0].ID.Fleet = other.Name
	both.Fleets = append(both.Fleets, other)
	p := makePlan(both)
	assert.DeepEqual(t, p.Changes[0], daisyplan.FleetAdded{Fleet: "czech-maps"})
	for _, c := range p.Changes {
		e, ok := c.(daisyplan.EndpointAdded)
		assert.Assert(t, !ok || e.Service.Fleet == "czech-maps")
	}
	assert.Equal(t, len(p.WithdrawnEndpoints), 0)
}

func TestSetAndKeepDraining(t *testing.T) {
	id := daisyconfig.EndpointID{Service: lookups, Address: endpointAt(1, zoneA).Address}
	intent := newIntent()
	drained, err := daisyplan.SetDraining(intent, id, true)
	assert.NilError(t, err)
	assert.Assert(t, drained.Fleets[0].Services[0].Endpoints[0].Draining)
	assert.Assert(t, !intent.Fleets[0].Services[0].Endpoints[0].Draining, "SetDraining modified its argument")
	kept := daisyplan.KeepDraining(drained, intent)
	assert.DeepEqual(t, kept, drained, compareAddresses)
	resumed, err := daisyplan.SetDraining(kept, id, false)
	assert.NilError(t, err)
	assert.DeepEqual(t, resumed, intent, compareAddresses)
	id.Service.Fleet = "czech-maps"
	_, err = daisyplan.SetDraining(intent, id, true)
	assert.Assert(t, errorx.IsOfType(err, daisyerror.NotFound))
}

func TestCurrentState(t *testing.T) {
	open := daisyplan.Record{ID: "p", Base: 7, Expires: now.Add(daisyplan.Lifetime), State: daisyplan.Open{}}
	confirming := open
	confirming.State = daisyplan.Confirming{By: "ana", At: now}
	discarded := open
	discarded.State = daisyplan.Discarded{By: "rui", At: now}
	ours := daisyplan.Successor{Head: daisyconfig.Head{Revision: 9}, Next: daisyconfig.Head{Revision: 8, PlanID: "p", ConfirmedBy: "ana", ConfirmedAt: now}}
	theirs := daisyplan.Successor{Head: daisyconfig.Head{Revision: 9}, Next: daisyconfig.Head{Revision: 8, PlanID: "q", ConfirmedBy: "rui"}}
	late := now.Add(daisyplan.Lifetime)
	cases := []struct {
		name      string
		record    daisyplan.Record
		successor daisyplan.Successor
		at        time.Time
		want      daisyplan.State
	}{
		{name: "open", record: open, at: now, want: daisyplan.Open{}},
		{name: "expired", record: open, at: late, want: daisyplan.Expired{}},
		{name: "confirming", record: confirming, at: now, want: confirming.State},
		{name: "confirming too long", record: confirming, at: late, want: daisyplan.Expired{}},
		{name: "confirmed but recorded as open", record: open, successor: ours, at: now, want: daisyplan.Confirmed{Revision: 8, By: "ana", At: now}},
		{name: "confirmed long ago", record: confirming, successor: ours, at: late, want: daisyplan.Confirmed{Revision: 8, By: "ana", At: now}},
		{name: "superseded", record: confirming, successor: theirs, at: late, want: daisyplan.Superseded{Revision: 8, By: "rui"}},
		{name: "discarded", record: discarded, successor: theirs, at: late, want: discarded.State},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, daisyplan.CurrentState(c.record, c.successor, c.at), c.want)
		})
	}
}

func TestPlanForConfigurationInForceIsEmpty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) int { return rapid.IntRange(0, 4).Draw(t, name) }
		intent := newIntent(func(f *daisyconfig.Fleet) {
			f.Services[0].Endpoints = f.Services[0].Endpoints[:draw("endpoints")]
			f.Ranks = f.Ranks[:min(2, draw("ranks"))]
		})
		base := &daisyconfig.Snapshot{Revision: 1, Intent: intent}
		p := daisyplan.New(base, intent, now)
		assert.Equal(t, len(p.Changes), 0)
		assert.Equal(t, len(p.Impacts), 0)
		forward := daisyplan.New(base, newIntent(), now)
		reverse := daisyplan.New(&daisyconfig.Snapshot{Revision: 2, Intent: newIntent()}, intent, now)
		assert.Equal(t, len(forward.Changes), len(reverse.Changes), "the reverse plan has a different number of changes")
	})
}

func ExampleMake() {
	p := makePlan(newIntent(func(f *daisyconfig.Fleet) { f.Services[0].Endpoints[0].Draining = true }))
	for _, c := range p.Changes {
		switch c := c.(type) {
		case daisyplan.EndpointDrained:
			fmt.Println(c.Service, "gives no new work to", c.Endpoint.Address)
		default:
			fmt.Printf("%T\n", c)
		}
	}
	for _, i := range p.Impacts {
		fmt.Println(i.Service, "has", i.SlotsAfter, "slots in place of", i.SlotsBefore)
	}
	// Output:
	// vigia-lar/lookups gives no new work to 10.0.0.1:1
	// vigia-lar/lookups has 12 slots in place of 16
}
