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

// stopLease is the lease that planned stops take turns under.
const stopLease daisylease.Name = "stop"

// Callers is the callers' side of a VM that stops.
type Callers interface {
	// SetLeaving says that connections should end with their next answer.
	SetLeaving(leaving bool)
	// Shutdown takes no more connections and waits until no request is in flight.
	Shutdown(ctx context.Context) error
}

// StopOptions are what a Stop controller depends on.
type StopOptions struct {
	Member *Member
	// Mode is daisystop.InTurn when it is nil.
	Mode daisystop.Mode
	// Leases may be nil for a stop that needs no turn.
	Leases  *Lease
	Sender  Sender
	Callers Callers
	Logger  hclog.Logger
}

// Stop carries out the planned stop of this VM, and passes on that of another.
type Stop struct {
	options  StopOptions
	phase    atomic.Int64
	events   chan daisystop.Event
	finished chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	ended    sync.WaitGroup

	// claim ends the present claim on the lease; only run uses it.
	claim context.CancelFunc
}

var (
	_ Controller = (*Stop)(nil)
	_ Stopper    = (*Stop)(nil)
)

// stopEvents bounds the events that wait for the controller.
const stopEvents = 16

// NewStop gives a controller that waits until a stop is wanted.
func NewStop(options StopOptions) *Stop {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	if options.Mode == nil {
		options.Mode = daisystop.InTurn{}
	}
	c := &Stop{options: options, events: make(chan daisystop.Event, stopEvents), finished: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.claim = func() {}
	c.ended.Go(c.run)
	return c
}

func (c *Stop) controller() {}

// Close gives up the stop and waits for all that was started.
func (c *Stop) Close() {
	c.cancel()
	c.ended.Wait()
}

// Finished is closed when a planned stop has come to its end and the process may exit.
func (c *Stop) Finished() <-chan struct{} { return c.finished }

// Phase gives how far the stop has come.
func (c *Stop) Phase() daisystop.Phase { return daisystop.Phase(c.phase.Load()) }

// WantStop begins a planned stop of this VM; by says who asked for it.
func (c *Stop) WantStop(by string) {
	c.options.Logger.Info("planned stop wanted", "by", by)
	c.post(daisystop.StopWanted{})
}

// Drain asks for the planned stop of a VM, this or another, and waits until it
// says that it has taken the order. It fails with daisyerror.NotFound for an unknown
// VM and with daisyerror.Unknown when ctx ends first.
func (c *Stop) Drain(ctx context.Context, name daisyvm.Name, by string) error {
	table := c.options.Member.Table()
	if _, ok := table.Find(name); !ok {
		return daisyerror.NotFound.New("no VM %q", name)
	}
	if table.Self.VM.Name == name {
		c.WantStop(by)
		return nil
	}
	c.options.Sender.Send(name, daisymessage.StopWanted{By: by})
	again := time.NewTicker(time.Second)
	defer again.Stop()
	for {
		if m, ok := table.Find(name); ok && m.Status.Stopping {
			return nil
		}
		select {
		case <-table.Replaced:
			table = c.options.Member.Table()
		case <-again.C:
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
	defer func() { c.claim() }()
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

// setTimer stops the timer for the zero time.
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
		c.options.Logger.Info("planned stop", "phase", stop.Phase().String(), "was", was.String())
	}
}

func (c *Stop) carryOut(decision daisystop.Decision) {
	switch d := decision.(type) {
	case daisystop.Announce:
		c.options.Member.SetStopping(d.Stopping, d.Leaving)
		c.options.Callers.SetLeaving(d.Leaving)
	case daisystop.AcquireLease:
		c.claim()
		ctx, cancel := context.WithCancel(c.ctx)
		c.claim = cancel
		c.ended.Go(func() { c.hold(ctx) })
	case daisystop.ReleaseLease:
		c.claim()
	case daisystop.CloseCallers:
		c.ended.Go(func() {
			if err := c.options.Callers.Shutdown(c.ctx); err != nil {
				c.options.Logger.Error("callers not finished", "error", err)
				return
			}
			c.post(daisystop.CallersGone{})
		})
	case daisystop.Finish:
		close(c.finished)
	}
}

// hold waits for the lease and holds it until ctx ends or it is lost.
func (c *Stop) hold(ctx context.Context) {
	held, err := c.options.Leases.Acquire(ctx, stopLease)
	if err != nil {
		c.options.Logger.Info("no turn to stop", "cause", err.Error())
		return
	}
	c.post(daisystop.LeaseAcquired{})
	select {
	case <-held.Lost():
		held.Close()
		c.post(daisystop.LeaseLost{})
	case <-ctx.Done():
		c.giveBack(held)
	}
}

func (c *Stop) giveBack(held *Held) {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if err := held.Release(ctx); err != nil {
		c.options.Logger.Warn("turn not given back; it runs out", "error", err)
	}
}
