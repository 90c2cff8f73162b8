package daisycontroller

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyplatform"
)

// Linker maintains the links to other VMs and sends messages over them.
type Linker interface {
	Sender
	// Connect dials a VM whenever there is no link to it, until Forget.
	Connect(vm daisyvm.VM)
	// Forget stops dialing a VM; an open link stays open.
	Forget(name daisyvm.Name)
}

// PeerApplier is notified of the VMs that share the services.
type PeerApplier interface {
	// SetPeers sets the VMs that share the services, and those in a planned stop.
	SetPeers(vms, leaving []daisyvm.VM)
}

// ListApplier is notified of the platform's list of VMs.
type ListApplier interface {
	// SetListed sets the number of VMs in the list, this one included.
	SetListed(vms int)
}

// SpareSource reports the spare capacity of this VM.
type SpareSource interface {
	// Spare returns how many more requests this VM could start immediately.
	Spare() uint32
}

// MemberOptions are the dependencies and settings of a Member controller.
type MemberOptions struct {
	Self   daisyvm.VM
	Linker Linker
	// List is the platform's list of VMs, in which this VM registers itself; nil means
	// that there is none.
	List daisyplatform.VMs
	// Peers are notified whenever the VMs that share the services change.
	Peers []PeerApplier
	// Listed is notified of each list that was read; it may be nil.
	Listed ListApplier
	// Spare may be nil for a VM without spare capacity.
	Spare  SpareSource
	Logger hclog.Logger
	// Age is told of heartbeats; nil if no bound of the age of the configuration is needed.
	Age *Age
	// ListInterval is the interval between reads of the platform's list while there are few
	// VMs; 0 means listInterval. It grows with the number of VMs up to MaxListInterval, which
	// is ListInterval if it is 0.
	ListInterval, MaxListInterval time.Duration
	// FirstListDelay is how long after the start this VM first announces itself. It then
	// reads the list only if it has found no other VM without it.
	FirstListDelay time.Duration
	// AnswerTTL is how long callers may cache an answer; 0 means daisyvm.AnswerTTL.
	AnswerTTL time.Duration
	// Seed and the name of the VM together make the random choices reproducible.
	Seed uint64
}

const (
	// listInterval is the default interval between reads of the platform's list.
	listInterval = 10 * time.Second
	// memberQueueSize is the capacity of the event queue.
	memberQueueSize = 1024
)

// Member keeps the membership: the state of each known VM, and the addresses that
// callers are given.
type Member struct {
	options MemberOptions
	table   atomic.Pointer[MemberTable]
	// replaced is the Replaced channel of the current table; only run uses it.
	replaced chan struct{}
	events   chan daisyvm.MemberEvent
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	// superseded is closed once a later incarnation uses this VM's name.
	superseded chan struct{}

	mu               sync.Mutex
	status           daisyvm.Status
	hash             daisyconfig.Hash
	knownVersions    [daisyfeed.Topics]daisyfeed.Version
	knownEras        [daisyfeed.Topics]daisyfeed.Era
	holding          [daisyfeed.Topics]bool
	storeUnavailable bool
	statusChanged    chan struct{}
	addresses        *daisyvm.AddressSelector
	// announceSignal wakes watchList when the platform's list has to be updated immediately.
	announceSignal chan struct{}
}

// MemberTable is an immutable snapshot of the membership.
type MemberTable struct {
	Self   daisyvm.Member
	Others []daisyvm.Member
	// Replaced is closed when a newer table has replaced this one.
	Replaced <-chan struct{}
}

// Find returns the VM with the given name, which may be this VM.
func (t MemberTable) Find(name daisyvm.Name) (daisyvm.Member, bool) {
	if t.Self.VM.Name == name {
		return t.Self, true
	}
	for _, m := range t.Others {
		if m.VM.Name == name {
			return m, true
		}
	}
	return daisyvm.Member{}, false
}

var _ Controller = (*Member)(nil)

// NewMember returns a controller that initially knows only its own VM and discovers
// the others.
func NewMember(options MemberOptions) *Member {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	if options.ListInterval == 0 {
		options.ListInterval = listInterval
	}
	options.MaxListInterval = max(options.MaxListInterval, options.ListInterval)
	c := &Member{
		options:        options,
		events:         make(chan daisyvm.MemberEvent, memberQueueSize),
		superseded:     make(chan struct{}),
		statusChanged:  make(chan struct{}, 1),
		announceSignal: make(chan struct{}, 1),
		addresses:      newAddressSelector(options),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	membership := daisyvm.NewMembership(options.Self, now(), newRandom(options.Seed+1, options.Self.Name))
	c.publish(membership)
	c.wg.Go(func() { c.run(membership) })
	if options.List != nil {
		c.wg.Go(func() { c.watchList(newRandom(options.Seed+2, options.Self.Name)) })
	}
	return c
}

func newAddressSelector(options MemberOptions) *daisyvm.AddressSelector {
	a := daisyvm.NewAddressSelector(newRandom(options.Seed, options.Self.Name), daisyvm.DefaultSpareExponent)
	if options.AnswerTTL > 0 {
		a.SetTTL(options.AnswerTTL)
	}
	return a
}

func (c *Member) controller() {}

// Close stops the heartbeats and waits for the goroutines of the controller.
func (c *Member) Close() {
	c.cancel()
	c.wg.Wait()
}

// Table returns the current membership.
func (c *Member) Table() MemberTable { return *c.table.Load() }

// Superseded returns a channel that is closed when another process with this VM's name
// has started later; this process should then stop.
func (c *Member) Superseded() <-chan struct{} { return c.superseded }

// CallerAddresses returns the VMs that callers should use, best first, and how long
// callers may cache the answer.
func (c *Member) CallerAddresses() (vms []daisyvm.VM, ttl time.Duration) {
	table := c.Table()
	c.mu.Lock()
	defer c.mu.Unlock()
	table.Self.Status = c.status
	answer := c.addresses.Answer(table.Self, table.Others)
	return answer.VMs, answer.TTL
}

// LinkOpened reports that a link to a VM is open, so that messages can be sent to it.
func (c *Member) LinkOpened(vm daisyvm.VM) { c.post(daisyvm.LinkOpened{VM: vm}) }

// Receive handles a message from another VM and ignores those that do not concern the membership.
func (c *Member) Receive(from daisyvm.Name, message daisymessage.Message) {
	switch m := message.(type) {
	case daisymessage.Heartbeat:
		c.options.Age.heartbeatArrived(from, m)
		c.post(daisyvm.HeartbeatArrived{
			VM:         m.VM,
			Sequence:   m.Sequence,
			Status:     statusOf(m),
			Sent:       m.Sent,
			Echo:       m.Echo,
			EchoHeld:   m.EchoHeld,
			Heard:      m.Heard,
			Introduced: m.Introduced,
		})
	case daisymessage.SnapshotWanted, daisymessage.SnapshotGiven, daisymessage.CreditReport,
		daisymessage.CreditGrant, daisymessage.EndpointNews, daisymessage.EndpointLeaving, daisymessage.CrashFindings, daisymessage.RowsWanted, daisymessage.RowsGiven,
		daisymessage.StopWanted, daisymessage.QuotaRequests, daisymessage.QuotaGrants:
	}
}

func statusOf(m daisymessage.Heartbeat) daisyvm.Status {
	return daisyvm.Status{
		Revision: uint64(m.Revision),
		Spare:    m.Spare,
		Leaving:  m.Leaving,
		Ready:    m.Ready,
		Stopping: m.Stopping,
	}
}

// SetInForce sets the configuration that this VM reports to have in force.
func (c *Member) SetInForce(revision daisyconfig.Revision, hash daisyconfig.Hash) {
	c.setStatus(func(s *daisyvm.Status) {
		s.Revision = uint64(revision)
		c.hash = hash
	})
}

// Apply reports a snapshot as the configuration in force.
func (c *Member) Apply(snapshot *daisyconfig.Snapshot) {
	c.SetInForce(snapshot.Revision, snapshot.Hash)
}

// SetKnown sets the latest version of a feed that this VM knows, its era, and whether rows
// of earlier eras are in force.
func (c *Member) SetKnown(topic daisyfeed.Topic, era daisyfeed.Era, last daisyfeed.Version, holding bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knownVersions[topic], c.knownEras[topic], c.holding[topic] = last, era, holding
}

// StoreEra returns the latest known era of the platform's store; 0 if none is known.
func (c *Member) StoreEra() daisyfeed.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Max(c.knownEras[:])
}

// AnnounceAgain announces this VM to the platform and reads the list of VMs now, since the
// platform may have lost the announcement.
func (c *Member) AnnounceAgain() {
	select {
	case c.announceSignal <- struct{}{}:
	default:
	}
}

// SetStoreUnavailable sets whether the platform's store fails to answer this VM.
func (c *Member) SetStoreUnavailable(unavailable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeUnavailable = unavailable
}

// SetReady sets whether this VM can serve every service of the configuration.
func (c *Member) SetReady(ready bool) {
	c.setStatus(func(s *daisyvm.Status) { s.Ready = ready })
}

// SetStopping sets whether a planned stop is requested, and whether this VM is leaving.
func (c *Member) SetStopping(stopping, leaving bool) {
	c.setStatus(func(s *daisyvm.Status) { s.Stopping, s.Leaving = stopping, leaving })
	c.AnnounceAgain()
}

func (c *Member) setStatus(change func(s *daisyvm.Status)) {
	c.mu.Lock()
	was := c.status
	change(&c.status)
	same := c.status == was
	c.mu.Unlock()
	if same {
		return
	}
	select {
	case c.statusChanged <- struct{}{}:
	default:
	}
}

func (c *Member) post(event daisyvm.MemberEvent) {
	select {
	case c.events <- event:
	case <-c.ctx.Done():
	}
}

func (c *Member) run(membership *daisyvm.Membership) {
	timer := time.NewTimer(time.Until(membership.NextWake()))
	defer timer.Stop()
	for {
		select {
		case e := <-c.events:
			c.handle(membership, e)
		case <-c.statusChanged:
			c.handle(membership, daisyvm.SelfChanged{Status: c.currentStatus()})
		case <-timer.C:
			if c.options.Spare != nil {
				spare := c.options.Spare.Spare()
				c.setStatus(func(s *daisyvm.Status) { s.Spare = spare })
			}
			c.handle(membership, daisyvm.TimePassed{})
			timer.Reset(time.Until(membership.NextWake()))
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *Member) currentStatus() daisyvm.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}

// handle executes the decisions in their order; only run calls it.
func (c *Member) handle(membership *daisyvm.Membership, event daisyvm.MemberEvent) {
	decisions := membership.Handle(now(), event)
	c.publish(membership)
	for _, d := range decisions {
		c.carryOut(d)
	}
}

func (c *Member) publish(membership *daisyvm.Membership) {
	replaced := c.replaced
	c.replaced = make(chan struct{})
	c.table.Store(&MemberTable{Self: membership.Self(), Others: membership.All(), Replaced: c.replaced})
	if replaced != nil {
		close(replaced)
	}
}

func (c *Member) carryOut(decision daisyvm.MemberDecision) {
	switch d := decision.(type) {
	case daisyvm.SendHeartbeat:
		c.options.Linker.Send(d.To, c.heartbeat(d))
	case daisyvm.Connect:
		c.options.Linker.Connect(d.VM)
	case daisyvm.Forget:
		c.options.Linker.Forget(d.Name)
	case daisyvm.PeersChanged:
		c.options.Logger.Info("VMs that share the services changed", "count", len(d.VMs), "vms", namesOf(d.VMs), "leaving", namesOf(d.Leaving))
		for _, p := range c.options.Peers {
			p.SetPeers(d.VMs, d.Leaving)
		}
	case daisyvm.StateChanged:
		c.options.Logger.Info("VM state changed", "vm", string(d.Member.VM.Name), "state", d.Member.State.String(), "was", d.Previous.String())
	case daisyvm.Superseded:
		c.supersede(d.By)
	}
}

func (c *Member) supersede(by daisyvm.VM) {
	select {
	case <-c.superseded:
	default:
		c.options.Logger.Error("another process has started later with this VM's name", "incarnation", uint64(by.Incarnation), "peers", by.Peers.String())
		close(c.superseded)
	}
}

func (c *Member) heartbeat(d daisyvm.SendHeartbeat) daisymessage.Heartbeat {
	c.mu.Lock()
	hash, known, eras, holding, unavailable := c.hash, c.knownVersions, c.knownEras, c.holding, c.storeUnavailable
	c.mu.Unlock()
	h := daisymessage.Heartbeat{
		VM:               c.options.Self,
		Sequence:         d.Sequence,
		Revision:         daisyconfig.Revision(d.Status.Revision),
		Hash:             hash,
		Spare:            d.Status.Spare,
		Leaving:          d.Status.Leaving,
		Ready:            d.Status.Ready,
		Stopping:         d.Status.Stopping,
		Echo:             d.Echo,
		EchoHeld:         d.EchoHeld,
		Known:            known,
		KnownEras:        eras,
		Holding:          holding,
		StoreUnavailable: unavailable,
		Heard:            d.Heard,
		Introduced:       d.Introduced,
	}
	c.options.Age.stamp(d.To, &h)
	return h
}

func namesOf(vms []daisyvm.VM) []string {
	names := make([]string, 0, len(vms))
	for _, v := range vms {
		names = append(names, string(v.Name))
	}
	return names
}
