package daisycontroller

import (
	"context"
	"sync"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisylease"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyplatform"
)

// leasePrefix is the prefix of the key of a lease's row; the name follows.
const leasePrefix = "lease/"

// LeaseOptions are the dependencies and settings of a Lease controller.
type LeaseOptions struct {
	Self     daisyvm.VM
	Platform daisyplatform.Table
	Logger   hclog.Logger
	// Seed and the name of the VM together make the random choices reproducible.
	Seed uint64
}

// Lease keeps the leases that this VM holds or waits for.
type Lease struct {
	options LeaseOptions

	mu         sync.Mutex
	claims     map[daisylease.Name]*HeldLease
	claimCount uint64
	closed     bool
}

var _ Controller = (*Lease)(nil)

// NewLease returns a controller that holds no lease.
func NewLease(options LeaseOptions) *Lease {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	return &Lease{options: options, claims: make(map[daisylease.Name]*HeldLease)}
}

func (c *Lease) controller() {}

// Close stops renewing all leases and waits for their goroutines. Leases that are still
// held expire.
func (c *Lease) Close() {
	c.mu.Lock()
	c.closed = true
	claims := make([]*HeldLease, 0, len(c.claims))
	for _, h := range c.claims {
		claims = append(claims, h)
	}
	c.mu.Unlock()
	for _, h := range claims {
		h.Close()
	}
}

// Acquire waits until this VM holds the lease. It fails with
// daisyerror.Unavailable when ctx ends first, with daisyerror.InvalidRequest when
// this VM already holds the lease or waits for it, and with daisyerror.Closed when
// the controller is closed. The lease is renewed until it is released, closed or lost.
func (c *Lease) Acquire(ctx context.Context, name daisylease.Name) (*HeldLease, error) {
	h, err := c.claim(name)
	if err != nil {
		return nil, err
	}
	select {
	case <-h.acquired:
		return h, nil
	case <-h.ended:
		h.Close()
		return nil, daisyerror.Closed.New("lease %s: closed while waiting", name)
	case <-ctx.Done():
		h.withdraw()
		return nil, daisyerror.Unavailable.Wrap(ctx.Err(), "lease %s not acquired", name)
	}
}

func (c *Lease) claim(name daisylease.Name) (*HeldLease, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, daisyerror.Closed.New("leases are closed")
	}
	if c.claims[name] != nil {
		return nil, daisyerror.InvalidRequest.New("lease %s is held or waited for by this VM", name)
	}
	c.claimCount++
	h := newHeldLease(c, name, newRandom(c.options.Seed+c.claimCount, c.options.Self.Name))
	c.claims[name] = h
	return h, nil
}

func (c *Lease) remove(h *HeldLease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claims[h.name] == h {
		delete(c.claims, h.name)
	}
}
