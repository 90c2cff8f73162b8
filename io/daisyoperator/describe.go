package daisyoperator

import (
	"fmt"
	"strings"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// DescribeChange returns the line of a plan for a change: it begins with + for an
// addition, - for a removal and ~ for a modification.
func DescribeChange(change daisyplan.Change) string {
	switch c := change.(type) {
	case daisyplan.FleetAdded:
		return fmt.Sprintf("+ fleet %s", c.Fleet)
	case daisyplan.FleetRemoved:
		return fmt.Sprintf("- fleet %s", c.Fleet)
	case daisyplan.ZoneAdded:
		return fmt.Sprintf("+ availability zone %s", c.Zone.ID)
	case daisyplan.ZoneRemoved:
		return fmt.Sprintf("- availability zone %s", c.Zone)
	case daisyplan.ZoneChanged:
		return fmt.Sprintf("~ availability zone %s: city %q to %q", c.After.ID, c.Before.City, c.After.City)
	case daisyplan.ZoneEvacuated:
		return fmt.Sprintf("~ availability zone %s: evacuated, no new work", c.Zone)
	case daisyplan.ZoneReturned:
		return fmt.Sprintf("~ availability zone %s: evacuation ended", c.Zone)
	case daisyplan.RankAdded:
		return fmt.Sprintf("+ rank %s/%s: %s", c.Fleet, c.Rank.Name, rankText(c.Rank))
	case daisyplan.RankRemoved:
		return fmt.Sprintf("- rank %s/%s", c.Fleet, c.Rank)
	case daisyplan.RankChanged:
		return fmt.Sprintf("~ rank %s/%s: %s to %s", c.Fleet, c.After.Name, rankText(c.Before), rankText(c.After))
	case daisyplan.RanksReordered:
		return fmt.Sprintf("~ fleet %s: ranks by urgency %s to %s", c.Fleet, rankNames(c.Before), rankNames(c.After))
	}
	return describeServiceChange(change)
}

func describeServiceChange(change daisyplan.Change) string {
	switch c := change.(type) {
	case daisyplan.ServiceAdded:
		return fmt.Sprintf("+ service %s", c.Service)
	case daisyplan.ServiceRemoved:
		return fmt.Sprintf("- service %s", c.Service)
	case daisyplan.ServiceRanksChanged:
		return fmt.Sprintf("~ service %s: ranks %s (default %s) to %s (default %s)",
			c.Service, rankNames(c.Before), c.DefaultBefore, rankNames(c.After), c.DefaultAfter)
	case daisyplan.ProtocolChanged:
		return fmt.Sprintf("~ service %s: protocol %s to %s", c.Service, c.Before, c.After)
	case daisyplan.EndpointAdded:
		return fmt.Sprintf("+ endpoint %s", endpointText(c.Service, c.Endpoint))
	case daisyplan.EndpointRemoved:
		return fmt.Sprintf("- endpoint %s", endpointText(c.Service, c.Endpoint))
	case daisyplan.EndpointChanged:
		return fmt.Sprintf("~ endpoint %s to %s", endpointText(c.Service, c.Before), limitsText(c.After))
	case daisyplan.EndpointDrained:
		return fmt.Sprintf("~ endpoint %s/%s: drained, no new work", c.Service, c.Endpoint.Address)
	case daisyplan.EndpointResumed:
		return fmt.Sprintf("~ endpoint %s/%s: resumed", c.Service, c.Endpoint.Address)
	}
	return describeTrafficChange(change)
}

func rankText(r daisyrank.Rank) string {
	return fmt.Sprintf("target %s, worth %g, floor %g", r.Target, r.Worth, r.Floor)
}

func rankNames(names []daisyrank.Name) string {
	words := make([]string, 0, len(names))
	for _, n := range names {
		words = append(words, string(n))
	}
	return strings.Join(words, ",")
}

func endpointText(service daisyservice.ID, e daisyendpoint.Endpoint) string {
	return fmt.Sprintf("%s/%s: %s", service, e.Address, limitsText(e))
}

func limitsText(e daisyendpoint.Endpoint) string {
	return fmt.Sprintf("%s, %d slots, %d connections", e.Zone, e.Slots, e.Connections)
}

// DescribeImpact returns the line of a plan for its effect on a service.
func DescribeImpact(i daisyplan.Impact) string {
	text := fmt.Sprintf("service %s: %d slots to %d", i.Service, i.SlotsBefore, i.SlotsAfter)
	if len(i.After) == 0 {
		return text
	}
	floors := make([]string, 0, len(i.After))
	for _, r := range i.After {
		floors = append(floors, fmt.Sprintf("%s %s to %.1f", r.Rank, slotsBefore(i, r.Rank), r.Slots))
	}
	return text + "; floors in slots: " + strings.Join(floors, ", ")
}

func slotsBefore(i daisyplan.Impact, rank daisyrank.Name) string {
	for _, r := range i.Before {
		if r.Rank == rank {
			return fmt.Sprintf("%.1f", r.Slots)
		}
	}
	return "none"
}

// DescribeWarning returns the line of a plan for a warning.
func DescribeWarning(warning daisyplan.Warning) string {
	switch w := warning.(type) {
	case daisyplan.FloorsOverOne:
		return fmt.Sprintf("service %s: the floors of its ranks add up to %.2f, more than all slots", w.Service, w.Sum)
	case daisyplan.ZoneLeftEmpty:
		return fmt.Sprintf("availability zone %s is left without a working endpoint", w.Zone)
	case daisyplan.CapacityDropped:
		return fmt.Sprintf("service %s drops from %d slots to %d", w.Service, w.Before, w.After)
	case daisyplan.ServiceLeftEmpty:
		return fmt.Sprintf("service %s is left without a working endpoint", w.Service)
	case daisyplan.AddressUsedTwice:
		return fmt.Sprintf("endpoint address %s is declared by several services: %v", w.Address, w.Services)
	case daisyplan.NothingChanges:
		return "the intent is what is in force; nothing changes"
	}
	return fmt.Sprintf("%T", warning)
}
