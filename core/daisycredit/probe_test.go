package daisycredit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner that repeats failed probes as often as its reports expire. A new
// process at the address that is not declared yet fails them, and may be cold: it got 24 in
// a second (soak, seed 22).
func TestFailedProbesAreNotRepeatedAtOnce(t *testing.T) {
	c := newOnDemandCluster(2, 1)
	c.unresponsive[0] = true
	c.beginTerms()
	address := c.service.Endpoints[0].Address
	run := func(d time.Duration) (sent int) {
		before := c.probes
		for range d / time.Millisecond {
			c.waiting[0] = 2
			known := c.probes
			for range c.step() {
				c.borrowers[0].Release(c.now, address)
			}
			if c.unresponsive[0] && c.probes > known {
				c.owner.NoteProbeFailure(c.now, address)
			}
		}
		return c.probes - before
	}
	sent := run(time.Second)
	assert.Check(t, sent > 0 && sent <= 1+int(time.Second/failedProbeInterval), "%d probes", sent)
	c.unresponsive[0] = false
	assert.Check(t, run(failedProbeInterval) > 0, "not probed again")
}
