package daisycontroller

import (
	"sync"
	"sync/atomic"
	"time"

	"daisyyoke/core/daisyclock"
	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
)

// Age keeps an upper bound of the age of the configuration in force. Follow and Member report
// what they learn of the store's clock to it. Its methods do nothing on a nil pointer, and all
// of them are safe for concurrent use.
type Age struct {
	sinceBoot func() time.Duration
	// knownAt is the result of KnownAt, so that requests take no lock.
	knownAt atomic.Int64

	mu    sync.Mutex
	clock *daisyclock.Clock
}

var _ Controller = (*Age)(nil)

// NewAge returns a controller that knows no bound. sinceBoot returns the time since the VM
// booted, including the time in which it was suspended.
func NewAge(sinceBoot func() time.Duration) *Age {
	return &Age{sinceBoot: sinceBoot, clock: daisyclock.New()}
}

func (c *Age) controller() {}

// Close does nothing, since the controller has no goroutines.
func (c *Age) Close() {}

// Now returns the time since the VM booted, including the time in which it was suspended; 0
// on a nil pointer.
func (c *Age) Now() time.Duration {
	if c == nil {
		return 0
	}
	return c.sinceBoot()
}

// KnownAt returns a time since boot before which the configuration in force was not outdated;
// 0 if none is known.
func (c *Age) KnownAt() time.Duration {
	if c == nil {
		return 0
	}
	return time.Duration(c.knownAt.Load())
}

// Bound returns an upper bound of the age of the configuration in force, and false if there is
// none.
func (c *Age) Bound() (time.Duration, bool) {
	knownAt := c.KnownAt()
	return c.Now() - knownAt, knownAt > 0
}

func (c *Age) handle(event daisyclock.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock.Handle(event)
	c.knownAt.Store(int64(max(0, c.clock.KnownAt())))
}

// storeReplied notes the clock in a reply of the store to a request sent at a time since boot.
func (c *Age) storeReplied(sent time.Duration, era daisyfeed.Era, clock time.Duration) {
	if c != nil {
		c.handle(daisyclock.StoreReplied{Sent: sent, Received: c.sinceBoot(), Era: era, Store: clock})
	}
}

// confirm notes that the configuration in force has all changes up to a value of the store's
// clock.
func (c *Age) confirm(era daisyfeed.Era, clock time.Duration) {
	if c != nil {
		c.handle(daisyclock.RowsConfirmed{At: c.sinceBoot(), Era: era, Store: clock})
	}
}

// setOutdated sets whether another VM has a later configuration in force, which the store has
// lost.
func (c *Age) setOutdated(known bool) {
	if c != nil {
		c.handle(daisyclock.LaterRowsElsewhere{Known: known})
	}
}

// stamp sets the time and the bound of the store's clock in a heartbeat that is about to be
// sent. Its EchoHeld has to be set: the bound is of a moment that is not before the end of
// that time.
func (c *Age) stamp(to daisyvm.Name, h *daisymessage.Heartbeat) {
	if c == nil {
		h.Sent = now()
		return
	}
	// Read in this order, the time since boot is not after the time in the heartbeat.
	at := c.sinceBoot()
	h.Sent = now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock.Handle(daisyclock.HeartbeatSent{To: to, Sent: h.Sent, At: at})
	h.StoreClock = c.clock.Latest(h.KnownEras[daisyfeed.Configuration], c.sinceBoot())
}

// heartbeatArrived notes the bound of the store's clock in a heartbeat of another VM.
func (c *Age) heartbeatArrived(from daisyvm.Name, h daisymessage.Heartbeat) {
	if c != nil && h.StoreClock > 0 && !h.Echo.IsZero() {
		c.handle(daisyclock.HeartbeatArrived{From: from, Echo: h.Echo, Held: h.EchoHeld, Era: h.KnownEras[daisyfeed.Configuration], Store: h.StoreClock})
	}
}
