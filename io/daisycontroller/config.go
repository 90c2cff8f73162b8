package daisycontroller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysnapshot"
)

// headKey is the key of the row that names the confirmed configuration.
const headKey = "head"

// snapshotPrefix begins the name of a snapshot's object; its hash follows.
const snapshotPrefix = "snapshot/"

// platformTimeout bounds one operation on the platform that nobody waits for.
const platformTimeout = 5 * time.Second

// Applier puts a confirmed configuration to use. Snapshots come in the order of
// their revisions; one that was followed by another at once may be left out.
type Applier interface {
	Apply(snapshot *daisyconfig.Snapshot)
}

// ConfigOptions are what a Config controller depends on.
type ConfigOptions struct {
	Self     daisyvm.VM
	Platform daisyplatform.Platform
	Sender   Sender
	// Appliers get each new snapshot, one after the other.
	Appliers []Applier
	Logger   hclog.Logger
	// Seed makes the random choices repeatable, together with the name of the VM.
	Seed uint64
}

// Config keeps the confirmed configuration in force on this VM. It learns of it
// from other VMs, from the Plan controller and from the platform.
type Config struct {
	options ConfigOptions
	inForce atomic.Pointer[daisyconfig.Snapshot]
	chain   *chain

	mu       sync.Mutex
	follower *daisyconfig.Follower
	heads    map[daisyvm.Name]InForceAt
	// chosen is the newest snapshot that was decided on; the loop applies it.
	chosen *daisyconfig.Snapshot

	apply  chan struct{}
	wake   *alarm
	ctx    context.Context
	cancel context.CancelFunc
	ended  sync.WaitGroup
}

// InForceAt says what another VM has in force, as it last said itself.
type InForceAt struct {
	VM       daisyvm.Name
	Revision daisyconfig.Revision
	Hash     daisyconfig.Hash
	Heard    time.Time
}

var _ Controller = (*Config)(nil)

// NewConfig gives a controller that starts at once to look for the confirmed configuration.
func NewConfig(options ConfigOptions) *Config {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	c := &Config{
		options: options,
		chain:   newChain(options.Platform),
		heads:   make(map[daisyvm.Name]InForceAt),
		apply:   make(chan struct{}, 1),
		wake:    newAlarm(),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.follower = daisyconfig.NewFollower(now(), newRandom(options.Seed, options.Self.Name))
	c.ended.Go(func() {
		for {
			select {
			case <-c.wake.rung:
				c.handle(daisyconfig.TimePassed{})
			case <-c.ctx.Done():
				return
			}
		}
	})
	c.ended.Go(func() {
		for {
			select {
			case <-c.apply:
				c.applyChosen()
			case <-c.ctx.Done():
				return
			}
		}
	})
	return c
}

func newRandom(seed uint64, name daisyvm.Name) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(name))))
}

func (c *Config) controller() {}

// Close stops the controller and waits for what it started.
func (c *Config) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.ended.Wait()
	c.wake.stop()
}

// InForce gives the configuration in force, or nil when there is none yet.
func (c *Config) InForce() *daisyconfig.Snapshot { return c.inForce.Load() }

// Revision gives the revision in force; 0 means none.
func (c *Config) Revision() daisyconfig.Revision {
	s := c.InForce()
	if s == nil {
		return 0
	}
	return s.Revision
}

// WaitReason says why no configuration is in force; it is nil when there is one.
func (c *Config) WaitReason() daisyconfig.WaitReason {
	if c.InForce() != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.follower.InForce(); s != nil {
		return daisyconfig.Fetching{Revision: s.Revision}
	}
	return c.follower.WaitReason()
}

// OtherVMs says what the other VMs have in force, for each VM that was heard.
func (c *Config) OtherVMs() []InForceAt {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := make([]InForceAt, 0, len(c.heads))
	for _, h := range c.heads {
		others = append(others, h)
	}
	return others
}

// Receive takes a message of another VM; those that do not concern the configuration are passed over.
func (c *Config) Receive(from daisyvm.Name, message daisymessage.Message) {
	switch m := message.(type) {
	case daisymessage.Heartbeat:
		c.hear(from, m)
	case daisymessage.SnapshotWanted:
		c.handle(daisyconfig.SnapshotRequested{From: from})
	case daisymessage.SnapshotGiven:
		c.check(from, &m.Snapshot)
	case daisymessage.CreditReport, daisymessage.CreditGrant, daisymessage.EndpointNews, daisymessage.RowsWanted,
		daisymessage.RowsGiven, daisymessage.StopWanted:
	}
}

// check takes a snapshot from another VM if its hash is that of its content. A VM
// of another version may have dropped fields that it does not know; then the
// snapshot comes from the platform.
func (c *Config) check(from daisyvm.Name, snapshot *daisyconfig.Snapshot) {
	if s := c.InForce(); s != nil && s.Hash == snapshot.Hash {
		return
	}
	hash, err := daisysnapshot.Hash(snapshot)
	if err != nil || hash != snapshot.Hash {
		c.options.Logger.Error("snapshot refused", "from", from, "said", snapshot.Hash, "hash", hash, "error", err)
		return
	}
	c.handle(daisyconfig.SnapshotReceived{From: from, Snapshot: snapshot})
}

func (c *Config) hear(from daisyvm.Name, heartbeat daisymessage.Heartbeat) {
	c.mu.Lock()
	c.heads[from] = InForceAt{VM: from, Revision: heartbeat.Revision, Hash: heartbeat.Hash, Heard: now()}
	c.mu.Unlock()
	c.handle(daisyconfig.HeadAnnounced{From: from, Revision: heartbeat.Revision, Hash: heartbeat.Hash})
}

// Adopt takes a snapshot that was just confirmed on this VM and sends it to the others.
func (c *Config) Adopt(snapshot *daisyconfig.Snapshot) {
	c.handle(daisyconfig.SnapshotConfirmed{Snapshot: snapshot})
}

func (c *Config) handle(event daisyconfig.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	for _, d := range c.follower.Handle(now(), event) {
		c.carryOut(d)
	}
	c.wake.set(c.follower.NextWake())
}

// carryOut runs under the lock; it starts reads and sends messages without waiting.
func (c *Config) carryOut(decision daisyconfig.Decision) {
	switch d := decision.(type) {
	case daisyconfig.ReadHead:
		c.ended.Go(func() { c.handle(c.readHead()) })
	case daisyconfig.ReadSnapshot:
		c.ended.Go(func() { c.handle(c.readSnapshot(d.Hash)) })
	case daisyconfig.RequestSnapshot:
		c.options.Sender.Send(d.To, daisymessage.SnapshotWanted{Hash: d.Hash})
	case daisyconfig.SendSnapshot:
		c.options.Sender.Send(d.To, daisymessage.SnapshotGiven{Snapshot: *d.Snapshot})
	case daisyconfig.PutInForce:
		c.chosen = d.Snapshot
		select {
		case c.apply <- struct{}{}:
		default:
		}
	case daisyconfig.ReportConflict:
		c.options.Logger.Error("two snapshots with one revision",
			"revision", d.Revision, "in-force", d.InForce, "other", d.Other)
	}
}

func (c *Config) applyChosen() {
	c.mu.Lock()
	s := c.chosen
	c.mu.Unlock()
	for _, a := range c.options.Appliers {
		a.Apply(s)
	}
	c.chain.add(s)
	c.inForce.Store(s)
	c.options.Logger.Info("configuration in force",
		"revision", s.Revision, "hash", s.Hash, "plan", s.PlanID, "by", s.ConfirmedBy)
}

func (c *Config) readHead() daisyconfig.Event {
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	row, err := getHead(ctx, c.options.Platform)
	if err != nil {
		c.options.Logger.Warn("head not read", "error", err)
		return daisyconfig.HeadReadFailed{}
	}
	if row.version == 0 {
		return daisyconfig.HeadMissing{}
	}
	return daisyconfig.HeadRead{Head: row.head}
}

func (c *Config) readSnapshot(hash daisyconfig.Hash) daisyconfig.Event {
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	s, err := fetchSnapshot(ctx, c.options.Platform, hash)
	if err != nil {
		c.options.Logger.Warn("snapshot not read", "hash", hash, "error", err)
		return daisyconfig.SnapshotReadFailed{Hash: hash}
	}
	return daisyconfig.SnapshotRead{Snapshot: s}
}
