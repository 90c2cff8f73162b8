package daisyplan

import (
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// RankSlots is what a rank keeps of a service's slots under a flood of other ranks.
type RankSlots struct {
	Rank daisyrank.Name
	// Slots is the floor times the service's slots; it need not be whole.
	Slots float64
}

// Impact says what a plan means for one service. Draining endpoints count for nothing.
type Impact struct {
	Service       daisyservice.ID
	SlotsBefore   int
	SlotsAfter    int
	Before, After []RankSlots
}

// weigh gives an impact for each service whose slots or floors change.
func weigh(before, after daisyconfig.Intent) []Impact {
	var impacts []Impact
	for _, p := range match(services(before), services(after), serviceKey) {
		i := impactOf(p)
		if i.SlotsBefore != i.SlotsAfter || !sameSlots(i.Before, i.After) {
			impacts = append(impacts, i)
		}
	}
	return impacts
}

func services(intent daisyconfig.Intent) []daisyservice.Service {
	var all []daisyservice.Service
	for _, f := range intent.Fleets {
		all = append(all, f.Services...)
	}
	return all
}

func impactOf(p pair[daisyservice.Service]) Impact {
	var i Impact
	if p.before != nil {
		i.Service = p.before.ID
		i.SlotsBefore = workingSlots(*p.before)
		i.Before = rankSlots(*p.before)
	}
	if p.after != nil {
		i.Service = p.after.ID
		i.SlotsAfter = workingSlots(*p.after)
		i.After = rankSlots(*p.after)
	}
	return i
}

func workingSlots(service daisyservice.Service) int {
	slots := 0
	for _, e := range service.Endpoints {
		if !e.Draining {
			slots += e.Slots
		}
	}
	return slots
}

func rankSlots(service daisyservice.Service) []RankSlots {
	total := float64(workingSlots(service))
	slots := make([]RankSlots, 0, len(service.Ranks))
	for _, r := range service.Ranks {
		slots = append(slots, RankSlots{Rank: r.Name, Slots: r.Floor * total})
	}
	return slots
}

func sameSlots(a, b []RankSlots) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
