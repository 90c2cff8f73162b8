// Package daisyclock bounds the age of what a VM knows of the platform's store.
//
// The store says with each reply what its own clock shows. A Clock relates that clock to
// the local one: it knows a value of the store's clock and a local time before which the
// store's clock did not show it. Whatever the delays, a VM that knows all changes up to a
// value of the store's clock then has a lower bound of the local time of that value, and so
// an upper bound of the age of its rows.
//
// Local times are durations since the VM booted and include the time in which the VM was
// suspended.
package daisyclock

import (
	"time"

	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyvm"
)

const (
	// maxDrift is by how much two clocks may differ in speed, as one in maxDrift.
	maxDrift = 1000
	// maxSent is how many sent heartbeats are remembered. A VM sends up to 36 a second, and
	// hears of 300 VMs in turn within 13 s.
	maxSent = 1024
)

// Event is an input to a Clock. It is one of StoreReplied, HeartbeatSent, HeartbeatArrived,
// RowsConfirmed and LaterRowsElsewhere.
type Event interface{ event() }

// StoreReplied reports a reply of the store to this VM.
type StoreReplied struct {
	// Sent is the local time just before the request was sent, Received that of the reply.
	Sent, Received time.Duration
	Era            daisyfeed.Era
	// Store is the clock in the reply; 0 if there is none.
	Store time.Duration
}

// HeartbeatSent reports that a heartbeat is about to be sent.
type HeartbeatSent struct {
	To daisyvm.Name
	// Sent is the time in the heartbeat, which the receiver echoes, and At a local time
	// that is not after it.
	Sent time.Time
	At   time.Duration
}

// HeartbeatArrived reports a heartbeat that echoes one of this VM.
type HeartbeatArrived struct {
	From daisyvm.Name
	// Echo is the Sent of the echoed heartbeat, and Held how long the sender had had that
	// one when its store clock showed Store at most.
	Echo time.Time
	Held time.Duration
	Era  daisyfeed.Era
	// Store is 0 if the sender knows no bound.
	Store time.Duration
}

// RowsConfirmed reports that the rows in force include all changes up to a value of the
// store's clock.
type RowsConfirmed struct {
	// At is the local time.
	At    time.Duration
	Era   daisyfeed.Era
	Store time.Duration
}

// LaterRowsElsewhere reports whether another VM has a later configuration in force that the
// store does not have any more, because it was restored without it.
type LaterRowsElsewhere struct{ Known bool }

func (StoreReplied) event()       {}
func (HeartbeatSent) event()      {}
func (HeartbeatArrived) event()   {}
func (RowsConfirmed) event()      {}
func (LaterRowsElsewhere) event() {}

// reading is a value of the store's clock in one era. The store's clock did not show it
// before the local time at.
type reading struct {
	era   daisyfeed.Era
	store time.Duration
	at    time.Duration
}

// latest returns the highest value that the store's clock may show at a local time, which
// must not precede the reading.
func (r reading) latest(now time.Duration) time.Duration {
	elapsed := now - r.at
	return r.store + elapsed + elapsed/maxDrift
}

// earliest returns a local time before which the store's clock did not show a value.
func (r reading) earliest(store time.Duration) time.Duration {
	elapsed := store - r.store
	return r.at + elapsed - max(elapsed, -elapsed)/maxDrift
}

// Clock is a state machine without I/O, and is not safe for concurrent use.
type Clock struct {
	// best is the reading that gives the lowest bound; its store is 0 if there is none.
	best reading
	// sent holds the latest heartbeats; the oldest is at next once all are used.
	sent []HeartbeatSent
	next int
	// confirmed is the latest RowsConfirmed, and knownAt the highest lower bound of the local
	// time of any; 0 if there is none.
	confirmed RowsConfirmed
	knownAt   time.Duration
	// outdated is the latest LaterRowsElsewhere.
	outdated bool
}

// New returns a clock that knows no bound.
func New() *Clock { return &Clock{sent: make([]HeartbeatSent, 0, maxSent)} }

// Handle processes an event.
func (c *Clock) Handle(event Event) {
	switch e := event.(type) {
	case StoreReplied:
		if e.Era == c.best.era && c.best.store > 0 && e.Store > c.best.latest(e.Received) {
			// The store's clock runs faster than allowed or was set forward.
			c.best = reading{}
		}
		c.note(reading{era: e.Era, store: e.Store, at: e.Sent})
	case HeartbeatSent:
		c.remember(e)
	case HeartbeatArrived:
		if at, ok := c.sentAt(e.From, e.Echo); ok {
			c.note(reading{era: e.Era, store: e.Store, at: at + e.Held - e.Held/maxDrift})
		}
	case RowsConfirmed:
		c.confirmed = e
		if e.Era == c.best.era && c.best.store > 0 && e.Store > c.best.latest(e.At) {
			// As above; the next heartbeat or reply gives another reading.
			c.best = reading{}
		}
		c.update()
	case LaterRowsElsewhere:
		c.outdated = e.Known
	}
}

// KnownAt returns a local time before which the rows in force were not outdated; 0 if none
// is known.
func (c *Clock) KnownAt() time.Duration {
	if c.outdated {
		return 0
	}
	return c.knownAt
}

// Latest returns the highest value that the store's clock may show in an era at a local
// time; 0 if that is not known.
func (c *Clock) Latest(era daisyfeed.Era, now time.Duration) time.Duration {
	if c.best.store == 0 || era != c.best.era || now < c.best.at {
		return 0
	}
	return c.best.latest(now)
}

// note keeps a reading if it is of a later era or gives a lower bound than the one known.
func (c *Clock) note(r reading) {
	if r.store <= 0 || c.best.store > 0 && !r.improves(c.best) {
		return
	}
	c.best = r
	c.update()
}

// improves reports whether r is of a later era than o, or bounds the store's clock better
// from now on. The readings are compared at the later of their values: what matters is what
// they say of values that are yet to come.
func (r reading) improves(o reading) bool {
	switch {
	case r.era != o.era:
		return r.era > o.era
	case r.store < o.store:
		return r.earliest(o.store) > o.at
	}
	return r.at > o.earliest(r.store)
}

// update recomputes since when the rows in force are known. The bounds of earlier eras
// remain true, although their clocks say nothing about this one.
func (c *Clock) update() {
	if c.confirmed.Store > 0 && c.best.store > 0 && c.confirmed.Era == c.best.era {
		c.knownAt = max(c.knownAt, c.best.earliest(c.confirmed.Store))
	}
}

func (c *Clock) remember(e HeartbeatSent) {
	if len(c.sent) < maxSent {
		c.sent = append(c.sent, e)
		return
	}
	c.sent[c.next] = e
	c.next = (c.next + 1) % maxSent
}

// sentAt returns a local time at which a heartbeat was not sent yet. It must be known: an
// echo to an earlier process of this VM says nothing.
func (c *Clock) sentAt(to daisyvm.Name, echo time.Time) (time.Duration, bool) {
	for _, s := range c.sent {
		// Heartbeats carry microseconds.
		if d := s.Sent.Sub(echo); d >= 0 && d < time.Microsecond && s.To == to {
			return s.At, true
		}
	}
	return 0, false
}
