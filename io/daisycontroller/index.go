package daisycontroller

import (
	"sync"
	"sync/atomic"
	"time"

	"daisyyoke/core/daisyconfig"
)

// Index publishes the index of the configuration in force. It has to be applied after
// Route, so that a request finds the routing state of each service that its index declares.
type Index struct {
	current atomic.Pointer[daisyconfig.Index]
	asOf    atomic.Pointer[time.Time]
	once    sync.Once
	arrived chan struct{}
}

var _ Controller = (*Index)(nil)

// NewIndex returns a controller without a configuration; Apply sets it.
func NewIndex() *Index { return &Index{arrived: make(chan struct{})} }

func (c *Index) controller() {}

// Close does nothing, since the controller has no goroutines.
func (c *Index) Close() {}

// Apply puts a configuration in force for new requests.
func (c *Index) Apply(snapshot *daisyconfig.Snapshot) {
	c.current.Store(daisyconfig.NewIndex(snapshot))
	c.once.Do(func() { close(c.arrived) })
}

// Current returns the index of the configuration in force; nil if there is none yet.
func (c *Index) Current() *daisyconfig.Index { return c.current.Load() }

// SetCurrentAsOf sets the latest time at which the configuration in force was known to be
// the newest.
func (c *Index) SetCurrentAsOf(asOf time.Time) { c.asOf.Store(&asOf) }

// CurrentAsOf returns the latest time at which the configuration in force was known to be
// the newest; the zero time if it is not known of any.
func (c *Index) CurrentAsOf() time.Time {
	if asOf := c.asOf.Load(); asOf != nil {
		return *asOf
	}
	return time.Time{}
}

// Arrived is closed when the first configuration is in force.
func (c *Index) Arrived() <-chan struct{} { return c.arrived }
