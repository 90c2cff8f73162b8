package daisycontroller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisylease"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisystop"
	"daisyyoke/core/daisyvm"
)

// stopLeaseName is the lease that serializes the planned stops of VMs.
const stopLeaseName daisylease.Name = "stop"

// Callers controls the server that callers connect to while this VM stops.
type Callers interface {
	// SetLeaving sets whether connections are closed after their next answer.
	SetLeaving(leaving bool)
	// Shutdown stops accepting connections and waits until no request is in flight.
	Shutdown(ctx context.Context) error
}

// RequestLimiter limits the time that requests may take while this VM stops.
type RequestLimiter interface {
	// LimitRequests sets the time by which all requests have to be answered, and until when
	// those that may take longer are accepted.
	LimitRequests(by, acceptUntil time.Time)
}

// StopOptions are the dependencies and settings of a Stop controller.
type StopOptions struct {
	Member *Member
	// Mode is how this VM stops; nil means daisystop.InTurn.
	Mode daisystop.Mode
	// Leases may be nil when Mode does not serialize the stops of VMs.
	Leases  *Lease
	Sender  Sender
	Callers Callers
	// Requests may be nil when Mode sets no time for the requests.
	Requests RequestLimiter
	Logger   hclog.Logger
}

// Stop executes the planned stop of this VM, and requests that of other VMs.
type Stop struct {
	options  StopOptions
	phase    atomic.Int64
	events   chan daisystop.Event
	finished chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	// cancelClaim cancels the current claim on the lease; only run uses it.
	cancelClaim context.CancelFunc
}

var (
	_ Controller = (*Stop)(nil)
	_ Stopper    = (*Stop)(nil)
)

// stopQueueSize is the capacity of the event queue.
const stopQueueSize = 16

// NewStop returns a controller that waits until a stop is requested.
func NewStop(options StopOptions) *Stop {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	if options.Mode == nil {
		options.Mode = daisystop.InTurn{}
	}
	c := &Stop{options: options, events: make(chan daisystop.Event, stopQueueSize), finished: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.cancelClaim = func() {}
	c.wg.Go(c.run)
	return c
}

func (c *Stop) controller() {}

// Close cancels the stop and waits for the goroutines of the controller.
func (c *Stop) Close() {
	c.cancel()
	c.wg.Wait()
}

// Finished returns a channel that is closed when the planned stop is complete and the
// process may exit.
func (c *Stop) Finished() <-chan struct{} { return c.finished }

// Phase returns the current phase of the stop.
func (c *Stop) Phase() daisystop.Phase { return daisystop.Phase(c.phase.Load()) }

// RequestStop starts a planned stop of this VM; by names who requested it.
func (c *Stop) RequestStop(by string) {
	c.options.Logger.Info("planned stop requested", "by", by)
	c.post(daisystop.StopWanted{})
}

// Drain requests the planned stop of this or another VM and waits until that VM reports
// that it is stopping. It fails with daisyerror.NotFound for an unknown VM and with
// daisyerror.Unknown when ctx ends first.
func (c *Stop) Drain(ctx context.Context, name daisyvm.Name, by string) error {
	table := c.options.Member.Table()
	if _, ok := table.Find(name); !ok {
		return daisyerror.NotFound.New("no VM %q", name)
	}
	if table.Self.VM.Name == name {
		c.RequestStop(by)
		return nil
	}
	c.options.Sender.Send(name, daisymessage.StopWanted{By: by})
	resend := time.NewTicker(time.Second)
	defer resend.Stop()
	for {
		if m, ok := table.Find(name); ok && m.Status.Stopping {
			return nil
		}
		select {
		case <-table.Replaced:
			table = c.options.Member.Table()
		case <-resend.C:
			c.options.Sender.Send(name, daisymessage.StopWanted{By: by})
		case <-ctx.Done():
			return daisyerror.Unknown.Wrap(ctx.Err(), "VM %q has not said that it stops", name)
		}
	}
}

func (c *Stop) post(event daisystop.Event) {
	select {
	case c.events <- event:
	case <-c.ctx.Done():
	}
}

func (c *Stop) run() {
	stop := daisystop.NewStop(c.options.Mode)
	var seen daisystop.PeersSeen
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	defer func() { c.cancelClaim() }()
	for {
		table := c.options.Member.Table()
		if s := peersSeen(table); s != seen {
			seen = s
			c.handle(stop, s)
		}
		setTimer(wake, stop.NextWake())
		select {
		case e := <-c.events:
			c.handle(stop, e)
		case <-table.Replaced:
		case <-wake.C:
			c.handle(stop, daisystop.TimePassed{})
		case <-c.ctx.Done():
			return
		}
	}
}

// setTimer resets the timer to a time; the zero time stops it.
func setTimer(timer *time.Timer, wake time.Time) {
	if wake.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(wake))
}

func peersSeen(table MemberTable) daisystop.PeersSeen {
	seen := daisystop.PeersSeen{Alone: len(table.Others) == 0}
	for _, m := range table.Others {
		if m.State != daisyvm.Live && m.State != daisyvm.Suspect {
			continue
		}
		if m.Status.Leaving {
			seen.Leaving++
		} else if m.Status.Stopping && m.VM.Name < table.Self.VM.Name {
			seen.Ahead++
		}
	}
	return seen
}

func (c *Stop) handle(stop *daisystop.Stop, event daisystop.Event) {
	was := stop.Phase()
	for _, d := range stop.Handle(now(), event) {
		c.carryOut(d)
	}
	c.phase.Store(int64(stop.Phase()))
	if stop.Phase() != was {
		c.options.Logger.Info("planned stop changed phase", "phase", stop.Phase().String(), "was", was.String())
	}
}

func (c *Stop) carryOut(decision daisystop.Decision) {
	switch d := decision.(type) {
	case daisystop.Announce:
		c.options.Member.SetStopping(d.Stopping, d.Leaving)
		c.options.Callers.SetLeaving(d.Leaving)
	case daisystop.LimitRequests:
		if c.options.Requests != nil {
			c.options.Requests.LimitRequests(d.By, d.AcceptUntil)
		}
	case daisystop.AcquireLease:
		c.cancelClaim()
		ctx, cancel := context.WithCancel(c.ctx)
		c.cancelClaim = cancel
		c.wg.Go(func() { c.holdLease(ctx) })
	case daisystop.ReleaseLease:
		c.cancelClaim()
	case daisystop.CloseCallers:
		c.wg.Go(func() {
			if err := c.options.Callers.Shutdown(c.ctx); err != nil {
				c.options.Logger.Error("failed to shut down the callers' server", "error", err)
				return
			}
			c.post(daisystop.CallersGone{})
		})
	case daisystop.Finish:
		close(c.finished)
	}
}

// holdLease acquires the lease and holds it until ctx ends or the lease is lost.
func (c *Stop) holdLease(ctx context.Context) {
	held, err := c.options.Leases.Acquire(ctx, stopLeaseName)
	if err != nil {
		c.options.Logger.Info("stop lease not acquired", "cause", err.Error())
		return
	}
	c.post(daisystop.LeaseAcquired{})
	select {
	case <-held.Lost():
		held.Close()
		c.post(daisystop.LeaseLost{})
	case <-ctx.Done():
		c.releaseLease(held)
	}
}

func (c *Stop) releaseLease(held *HeldLease) {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if err := held.Release(ctx); err != nil {
		c.options.Logger.Warn("failed to release stop lease; it will expire", "error", err)
	}
}
