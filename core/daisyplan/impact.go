package daisyplan

import (
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// RankSlots is the number of a service's slots that its floor guarantees to a
// rank while other ranks overload the service.
type RankSlots struct {
	Rank daisyrank.Name
	// Slots is the floor multiplied by the service's slots. It can be fractional.
	Slots float64
}

// Impact is the effect of a plan on the slots of one service. The slots of
// endpoints that are draining or evacuated are not counted.
type Impact struct {
	Service       daisyservice.ID
	SlotsBefore   int
	SlotsAfter    int
	Before, After []RankSlots
}

// computeImpacts returns an impact for each service whose slots or floors change.
func computeImpacts(before, after daisyconfig.Intent) []Impact {
	var impacts []Impact
	for _, p := range matchByKey(services(before), services(after), serviceKey) {
		i := serviceImpact(p)
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

func serviceImpact(p pair[daisyservice.Service]) Impact {
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
		if !e.Draining && !e.Evacuated {
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
