package daisycredit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
)

// evacuate returns the service with the endpoints of the first zone evacuated.
func evacuate(s daisyservice.Service, evacuated bool) daisyservice.Service {
	for i := range s.Endpoints {
		s.Endpoints[i].Evacuated = evacuated && s.Endpoints[i].Zone == s.Endpoints[0].Zone
	}
	return s
}

// Guards against credits that VMs keep or get at an evacuated endpoint, whoever learns of the
// evacuation first, and against slots that come back all at once.
func TestNothingIsLentAtEvacuatedEndpoints(t *testing.T) {
	for _, first := range []string{"owner", "borrowers"} {
		c := newCluster(3, 8)
		c.run(time.Second)
		evacuated := c.service.Endpoints[0].Address
		assert.Assert(t, c.held(evacuated) > 0, first)
		next := evacuate(testService(8), true)
		if first == "owner" {
			c.owner().SetService(c.now, next)
		} else {
			for _, b := range c.borrowers {
				b.SetService(c.now, next)
				b.SetRestricted(c.now, evacuated, true)
			}
		}
		c.run(time.Second)
		assert.Equal(t, c.held(evacuated), 0, first)
		assert.Assert(t, c.held(c.service.Endpoints[1].Address) > 0, first)
		if first != "owner" {
			continue
		}
		c.owner().SetService(c.now, testService(8))
		c.run(returnTime / testSlots / 2)
		assert.Assert(t, c.held(evacuated) <= 1, "%d credits at first", c.held(evacuated))
		c.waiting = []int{8, 8, 8}
		c.run(returnTime)
		assert.Equal(t, c.held(evacuated), testSlots)
	}
}

// Guards against a VM without an owner that uses the slots of evacuated endpoints, or takes
// them for part of its share.
func TestFallbackShareLeavesOutEvacuatedEndpoints(t *testing.T) {
	c := newCluster(2, 8)
	b := NewBorrower(c.vms[0], evacuate(testService(8), true), InAdvance{})
	b.SetShare(2)
	started := 0
	for _, e := range c.service.Endpoints {
		for b.Idle(e.Address) > 0 {
			assert.Assert(t, e.Zone != c.service.Endpoints[0].Zone)
			b.Take(e.Address)
			started++
		}
	}
	assert.Equal(t, started, 6*testSlots/2)
}
