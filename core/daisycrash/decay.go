package daisycrash

import (
	"math"
	"time"
)

// memory is the time constant with which runs of requests are forgotten.
const memory = 30 * time.Second

// decayingCount counts events, of which it forgets older ones.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c *decayingCount) add(now time.Time) {
	c.value = c.get(now) + 1
	c.at = now
}

func (c *decayingCount) get(now time.Time) float64 { return c.value * decay(now.Sub(c.at)) }

// decay returns what an event of an age counts: 1/e when it is as old as memory.
func decay(age time.Duration) float64 { return math.Exp(-age.Seconds() / memory.Seconds()) }
