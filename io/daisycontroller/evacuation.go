package daisycontroller

import (
	"slices"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyfleet"
)

// logEvacuations logs the availability zones whose evacuation has begun or ended, with
// further fields.
func logEvacuations(logger hclog.Logger, before, after []daisyfleet.ZoneID, fields ...any) {
	for _, z := range after {
		if !slices.Contains(before, z) {
			logger.Info("availability zone evacuated", slices.Concat(fields, []any{"zone", z.String()})...)
		}
	}
	for _, z := range before {
		if !slices.Contains(after, z) {
			logger.Info("evacuation of availability zone ended", slices.Concat(fields, []any{"zone", z.String()})...)
		}
	}
}

// EvacuatedZones returns the number of availability zones that are evacuated.
func (c *Route) EvacuatedZones() int { return int(c.evacuatedZones.Load()) }

// EvacuatedInFlight returns the number of attempts of this VM under way at evacuated
// endpoints.
func (c *Route) EvacuatedInFlight() int {
	n := 0
	for _, s := range *c.shards.Load() {
		s.mu.Lock()
		n += s.dispatcher.EvacuatedInFlight()
		s.mu.Unlock()
	}
	return n
}
