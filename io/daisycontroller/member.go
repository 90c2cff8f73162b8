package daisycontroller

import (
	"context"
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

// Linker keeps the links to other VMs and sends over them.
type Linker interface {
	Sender
	// Connect keeps dialing a VM until Forget.
	Connect(vm daisyvm.VM)
	Forget(name daisyvm.Name)
}

// PeerApplier puts the VMs that share the services to use.
type PeerApplier interface {
	SetPeers(vms, leaving []daisyvm.VM)
}

// SpareSource says how many further requests this VM could start at once.
type SpareSource interface {
	Spare() uint32
}

// MemberOptions are what a Member controller depends on.
type MemberOptions struct {
	Self   daisyvm.VM
	Linker Linker
	// List is the platform's list of VMs, which this VM announces itself to.
	List daisyplatform.VMs
	// Peers get the VMs that share the services whenever they change.
	Peers []PeerApplier
	// Spare may be nil for a VM without spare capacity.
	Spare  SpareSource
	Logger hclog.Logger
	// ListEvery is the time between two reads of the platform's list; 0 stands for listInterval.
	ListEvery time.Duration
	// KeepFor is how long callers may keep an answer; 0 stands for daisyvm.KeepFor.
	KeepFor time.Duration
	// Seed makes the random choices repeatable, together with the name of the VM.
	Seed uint64
}

const (
	// listInterval is the time between two reads of the platform's list.
	listInterval = 10 * time.Second
	// memberEvents bounds the events that wait for the controller.
	memberEvents = 1024
)

// Member keeps the membership: which VMs live, and what callers are told of them.
type Member struct {
	options MemberOptions
	table   atomic.Pointer[MemberTable]
	// replaced belongs to the present table; only run uses it.
	replaced chan struct{}
	events   chan daisyvm.MemberEvent
	ctx      context.Context
	cancel   context.CancelFunc
	ended    sync.WaitGroup
	// superseded is closed once a later incarnation has this VM's name.
	superseded chan struct{}

	mu        sync.Mutex
	status    daisyvm.Status
	hash      daisyconfig.Hash
	known     [daisyfeed.Topics]daisyfeed.Version
	blind     bool
	changed   chan struct{}
	addresses *daisyvm.AddressSelector
	// listNow has a token when the platform should hear of this VM at once.
	listNow chan struct{}
}

// MemberTable is the membership at one moment; it never changes once made.
type MemberTable struct {
	Self   daisyvm.Member
	Others []daisyvm.Member
	// Replaced is closed when a newer table has taken this one's place.
	Replaced <-chan struct{}
}

// Find gives the VM of this name, this one among them.
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

// NewMember gives a controller that knows only its own VM and looks for the others.
func NewMember(options MemberOptions) *Member {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	if options.ListEvery == 0 {
		options.ListEvery = listInterval
	}
	c := &Member{
		options:    options,
		events:     make(chan daisyvm.MemberEvent, memberEvents),
		superseded: make(chan struct{}),
		changed:    make(chan struct{}, 1),
		listNow:    make(chan struct{}, 1),
		addresses:  newAddresses(options),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	members := daisyvm.NewMembership(options.Self, now(), newRandom(options.Seed+1, options.Self.Name))
	c.publish(members)
	c.ended.Go(func() { c.run(members) })
	if options.List != nil {
		c.ended.Go(func() { c.watchList(newRandom(options.Seed+2, options.Self.Name)) })
	}
	return c
}

func newAddresses(options MemberOptions) *daisyvm.AddressSelector {
	a := daisyvm.NewAddressSelector(newRandom(options.Seed, options.Self.Name), daisyvm.DefaultSpareExponent)
	if options.KeepFor > 0 {
		a.SetTTL(options.KeepFor)
	}
	return a
}

func (c *Member) controller() {}

// Close stops the heartbeats and waits for all that was started.
func (c *Member) Close() {
	c.cancel()
	c.ended.Wait()
}

// Table gives the membership as it is now.
func (c *Member) Table() MemberTable { return *c.table.Load() }

// Superseded is closed when another process with this VM's name has started
// later; this one should then stop.
func (c *Member) Superseded() <-chan struct{} { return c.superseded }

// CallersAddresses gives the VMs that callers should use, the best first, and how
// long they may keep the answer.
func (c *Member) CallersAddresses() (vms []daisyvm.VM, keepFor time.Duration) {
	table := c.Table()
	c.mu.Lock()
	defer c.mu.Unlock()
	table.Self.Status = c.status
	answer := c.addresses.Answer(table.Self, table.Others)
	return answer.VMs, answer.TTL
}

// LinkOpened says that messages to a VM can be sent.
func (c *Member) LinkOpened(vm daisyvm.VM) { c.post(daisyvm.LinkOpened{VM: vm}) }

// Receive takes a message of another VM; those that do not concern the membership are passed over.
func (c *Member) Receive(_ daisyvm.Name, message daisymessage.Message) {
	switch m := message.(type) {
	case daisymessage.Heartbeat:
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
		daisymessage.CreditGrant, daisymessage.EndpointNews, daisymessage.RowsWanted, daisymessage.RowsGiven,
		daisymessage.StopWanted:
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

// SetInForce says which configuration this VM has in force.
func (c *Member) SetInForce(revision daisyconfig.Revision, hash daisyconfig.Hash) {
	c.setStatus(func(s *daisyvm.Status) {
		s.Revision = uint64(revision)
		c.hash = hash
	})
}

// Apply says that a configuration is in force.
func (c *Member) Apply(snapshot *daisyconfig.Snapshot) {
	c.SetInForce(snapshot.Revision, snapshot.Hash)
}

// SetKnown says which change of a feed this VM knows last.
func (c *Member) SetKnown(topic daisyfeed.Topic, last daisyfeed.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[topic] = last
}

// SetBlind says whether the platform's store does not answer this VM.
func (c *Member) SetBlind(blind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blind = blind
}

// SetReady says whether every service of the configuration can be served.
func (c *Member) SetReady(ready bool) {
	c.setStatus(func(s *daisyvm.Status) { s.Ready = ready })
}

// SetStopping says whether a planned stop is wanted, and whether it has begun.
func (c *Member) SetStopping(stopping, leaving bool) {
	c.setStatus(func(s *daisyvm.Status) { s.Stopping, s.Leaving = stopping, leaving })
	select {
	case c.listNow <- struct{}{}:
	default:
	}
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
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *Member) post(event daisyvm.MemberEvent) {
	select {
	case c.events <- event:
	case <-c.ctx.Done():
	}
}

func (c *Member) run(members *daisyvm.Membership) {
	timer := time.NewTimer(time.Until(members.NextWake()))
	defer timer.Stop()
	for {
		select {
		case e := <-c.events:
			c.handle(members, e)
		case <-c.changed:
			c.handle(members, daisyvm.SelfChanged{Status: c.currentStatus()})
		case <-timer.C:
			if c.options.Spare != nil {
				spare := c.options.Spare.Spare()
				c.setStatus(func(s *daisyvm.Status) { s.Spare = spare })
			}
			c.handle(members, daisyvm.TimePassed{})
			timer.Reset(time.Until(members.NextWake()))
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

// handle carries the decisions out in their order; only run calls it.
func (c *Member) handle(members *daisyvm.Membership, event daisyvm.MemberEvent) {
	decisions := members.Handle(now(), event)
	c.publish(members)
	for _, d := range decisions {
		c.carryOut(d)
	}
}

func (c *Member) publish(members *daisyvm.Membership) {
	replaced := c.replaced
	c.replaced = make(chan struct{})
	c.table.Store(&MemberTable{Self: members.Self(), Others: members.All(), Replaced: c.replaced})
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
		c.options.Logger.Info("VMs that share the services", "count", len(d.VMs), "vms", namesOf(d.VMs), "leaving", namesOf(d.Leaving))
		for _, p := range c.options.Peers {
			p.SetPeers(d.VMs, d.Leaving)
		}
	case daisyvm.StateChanged:
		c.options.Logger.Info("VM seen", "vm", string(d.Member.VM.Name), "state", d.Member.State.String(), "was", d.Previous.String())
	case daisyvm.Superseded:
		c.supersede(d.By)
	}
}

func (c *Member) supersede(by daisyvm.VM) {
	select {
	case <-c.superseded:
	default:
		c.options.Logger.Error("another process has this VM's name", "incarnation", uint64(by.Incarnation), "peers", by.Peers.String())
		close(c.superseded)
	}
}

func (c *Member) heartbeat(d daisyvm.SendHeartbeat) daisymessage.Heartbeat {
	c.mu.Lock()
	hash, known, blind := c.hash, c.known, c.blind
	c.mu.Unlock()
	return daisymessage.Heartbeat{
		VM:               c.options.Self,
		Sequence:         d.Sequence,
		Revision:         daisyconfig.Revision(d.Status.Revision),
		Hash:             hash,
		Spare:            d.Status.Spare,
		Leaving:          d.Status.Leaving,
		Ready:            d.Status.Ready,
		Stopping:         d.Status.Stopping,
		Sent:             now(),
		Echo:             d.Echo,
		EchoHeld:         d.EchoHeld,
		Known:            known,
		StoreUnavailable: blind,
		Heard:            d.Heard,
		Introduced:       d.Introduced,
	}
}

func namesOf(vms []daisyvm.VM) []string {
	names := make([]string, 0, len(vms))
	for _, v := range vms {
		names = append(names, string(v.Name))
	}
	return names
}
