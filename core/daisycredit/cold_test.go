package daisycredit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// newColdCluster returns a cluster whose cold endpoints get 4 requests per second.
func newColdCluster(vms, endpoints int) *cluster {
	c := newCluster(vms, endpoints)
	c.service.ColdRate = 4
	for i, b := range c.borrowers {
		b.SetService(c.now, c.service)
		if o := c.owners[i]; o != nil {
			o.SetService(c.now, c.service)
		}
	}
	return c
}

// Guards against a new owner that lends the slots of a cold endpoint, because only the
// answer to a probe of the lost owner said that it is cold.
func TestNewOwnerLearnsColdnessFromTheClaims(t *testing.T) {
	c := newColdCluster(4, 1)
	endpoint := c.service.Endpoints[0].Address
	c.run(200 * time.Millisecond)
	first := c.owner()
	until := c.now.Add(10 * time.Second)
	first.SetCold(c.now, endpoint, until, true)
	c.run(200 * time.Millisecond)
	for i, b := range c.borrowers {
		left := b.endpoints[endpoint].cold.until.Sub(until)
		assert.Check(t, left >= 0 && left < coldTolerance, "VM %d: %v", i, left)
	}
	c.dead[first.options.Self.Name] = true
	c.updateVMs()
	c.run(300 * time.Millisecond)
	second := c.owner().endpoint(endpoint)
	assert.Check(t, second.rate.limited() && !second.rate.cold.until.Before(until))
	c.run(until.Sub(c.now) + coldTolerance)
	c.owner().lend(c.now)
	assert.Check(t, !second.rate.limited() && !second.rate.cold.inForce())
}

// Guards against credits that were lent before the coldness was known and are used beside
// those that the rate allows.
func TestLentCreditsCountAgainstTheColdRate(t *testing.T) {
	c := newColdCluster(3, 1)
	endpoint := c.service.Endpoints[0].Address
	c.waiting[1] = testSlots
	c.run(200 * time.Millisecond)
	o := c.owner()
	lent := o.endpoint(endpoint).lentCredits
	assert.Assert(t, lent > 0)
	o.SetCold(c.now, endpoint, c.now.Add(time.Minute), false)
	next := o.endpoint(endpoint).rate.bucket.Next(c.now)
	assert.Equal(t, next.Sub(c.now), time.Duration(lent+1)*250*time.Millisecond)
}

// Guards against slots that are lent twice or lost while endpoints become cold and recover.
func TestCreditsOfColdEndpointsAreNeitherDoubledNorLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newColdCluster(rapid.IntRange(1, 5).Draw(t, "vms"), rapid.IntRange(1, 3).Draw(t, "endpoints"))
		c.run(200 * time.Millisecond)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			e := c.service.Endpoints[rapid.IntRange(0, len(c.service.Endpoints)-1).Draw(t, "endpoint")].Address
			until := c.now.Add(time.Duration(rapid.IntRange(-1000, 3000).Draw(t, "ms")) * time.Millisecond)
			c.borrowers[rapid.IntRange(0, len(c.vms)-1).Draw(t, "vm")].SetCold(c.now, e, until, rapid.Bool().Draw(t, "learned"))
			if o := c.owner(); o != nil && rapid.Bool().Draw(t, "owner") {
				o.SetCold(c.now, e, until, rapid.Bool().Draw(t, "told"))
			}
			c.step(t)
			c.check(t, false)
		}
		c.run(8 * time.Second)
		c.check(t, true)
	})
}
