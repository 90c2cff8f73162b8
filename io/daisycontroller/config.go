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
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysnapshot"
)

// headKey is the key of the row that refers to the confirmed configuration.
const headKey = "head"

// snapshotPrefix is the prefix of a snapshot's object name; the hash follows.
const snapshotPrefix = "snapshot/"

// platformTimeout is the timeout of a background operation on the platform.
const platformTimeout = 5 * time.Second

// Applier applies a confirmed configuration. Snapshots arrive in the order of their
// revisions; one that is superseded before it was applied may be skipped.
type Applier interface {
	Apply(snapshot *daisyconfig.Snapshot)
}

// ConfigOptions are the dependencies and settings of a Config controller.
type ConfigOptions struct {
	Self     daisyvm.VM
	Platform daisyplatform.Platform
	Sender   Sender
	// Appliers receive each new snapshot, in the order of the slice.
	Appliers []Applier
	Logger   hclog.Logger
	// Seed and the name of the VM together make the random choices reproducible.
	Seed uint64
}

// Config keeps the confirmed configuration in force on this VM. It receives new
// configurations from other VMs, from the Plan controller and from the platform.
type Config struct {
	options ConfigOptions
	inForce atomic.Pointer[daisyconfig.Snapshot]
	chain   *snapshotChain

	mu       sync.Mutex
	follower *daisyconfig.Follower
	// peerConfigs is what the other VMs last reported, by VM.
	peerConfigs map[daisyvm.Name]PeerConfig
	// pending is the newest snapshot that the follower selected; a goroutine applies it
	// after a value on applySignal.
	pending *daisyconfig.Snapshot
	// applied is closed, and replaced, whenever another snapshot is in force.
	applied chan struct{}

	applySignal chan struct{}
	wake        *wakeTimer
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// PeerConfig is the configuration that another VM last reported to have in force.
type PeerConfig struct {
	VM         daisyvm.Name
	Revision   daisyconfig.Revision
	Hash       daisyconfig.Hash
	ReceivedAt time.Time
}

var _ Controller = (*Config)(nil)

// NewConfig returns a controller that immediately starts to look for the confirmed configuration.
func NewConfig(options ConfigOptions) *Config {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	c := &Config{
		options:     options,
		chain:       newSnapshotChain(options.Platform),
		peerConfigs: make(map[daisyvm.Name]PeerConfig),
		applied:     make(chan struct{}),
		applySignal: make(chan struct{}, 1),
		wake:        newWakeTimer(),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.follower = daisyconfig.NewFollower(now(), newRandom(options.Seed, options.Self.Name))
	c.wg.Go(func() {
		for {
			select {
			case <-c.wake.fired:
				c.handle(daisyconfig.TimePassed{})
			case <-c.ctx.Done():
				return
			}
		}
	})
	c.wg.Go(func() {
		for {
			select {
			case <-c.applySignal:
				c.applyPending()
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

// Close stops the controller and waits for its goroutines.
func (c *Config) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.wg.Wait()
	c.wake.stop()
}

// InForce returns the configuration in force, or nil when there is none yet.
func (c *Config) InForce() *daisyconfig.Snapshot { return c.inForce.Load() }

// Revision returns the revision in force, or 0 when there is none.
func (c *Config) Revision() daisyconfig.Revision {
	s := c.InForce()
	if s == nil {
		return 0
	}
	return s.Revision
}

// WaitReason returns the reason why no configuration is in force, or nil when there is one.
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

// PeerConfigs returns the configuration in force on each VM that has sent a heartbeat.
func (c *Config) PeerConfigs() []PeerConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := make([]PeerConfig, 0, len(c.peerConfigs))
	for _, h := range c.peerConfigs {
		others = append(others, h)
	}
	return others
}

// Receive handles a message from another VM and ignores those that do not concern the configuration.
func (c *Config) Receive(from daisyvm.Name, message daisymessage.Message) {
	switch m := message.(type) {
	case daisymessage.Heartbeat:
		c.recordHeartbeat(from, m)
	case daisymessage.SnapshotWanted:
		c.handle(daisyconfig.SnapshotRequested{From: from})
	case daisymessage.SnapshotGiven:
		c.verifySnapshot(from, &m.Snapshot)
	case daisymessage.CreditReport, daisymessage.CreditGrant, daisymessage.EndpointNews, daisymessage.EndpointLeaving, daisymessage.CrashFindings, daisymessage.RowsWanted,
		daisymessage.RowsGiven, daisymessage.StopWanted, daisymessage.QuotaRequests, daisymessage.QuotaGrants:
	}
}

// verifySnapshot accepts a snapshot from another VM if its hash matches its content. A VM
// that runs another version may have dropped fields unknown to it; the snapshot is
// then read from the platform.
func (c *Config) verifySnapshot(from daisyvm.Name, snapshot *daisyconfig.Snapshot) {
	if s := c.InForce(); s != nil && s.Hash == snapshot.Hash {
		return
	}
	hash, err := daisysnapshot.Hash(snapshot)
	if err != nil || hash != snapshot.Hash {
		c.options.Logger.Error("rejected snapshot that failed verification", "from", from, "said", snapshot.Hash, "hash", hash, "error", err)
		return
	}
	c.handle(daisyconfig.SnapshotReceived{From: from, Snapshot: snapshot})
}

func (c *Config) recordHeartbeat(from daisyvm.Name, heartbeat daisymessage.Heartbeat) {
	c.mu.Lock()
	c.peerConfigs[from] = PeerConfig{VM: from, Revision: heartbeat.Revision, Hash: heartbeat.Hash, ReceivedAt: now()}
	c.mu.Unlock()
	c.handle(daisyconfig.HeadAnnounced{From: from, Revision: heartbeat.Revision, Hash: heartbeat.Hash})
}

// Adopt puts a snapshot that was just confirmed on this VM in force and sends it to the
// other VMs. It waits until its revision or a later one is in force on this VM, and
// returns an error when ctx ends or the controller is closed before that.
func (c *Config) Adopt(ctx context.Context, snapshot *daisyconfig.Snapshot) error {
	c.handle(daisyconfig.SnapshotConfirmed{Snapshot: snapshot})
	return c.awaitRevision(ctx, snapshot.Revision)
}

func (c *Config) awaitRevision(ctx context.Context, revision daisyconfig.Revision) error {
	for {
		c.mu.Lock()
		applied := c.applied
		c.mu.Unlock()
		if c.Revision() >= revision {
			return nil
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return ctx.Err()
		case <-c.ctx.Done():
			return daisyerror.Closed.New("the configuration is closed")
		}
	}
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
	c.wake.reset(c.follower.NextWake())
}

// carryOut executes a decision without blocking on I/O. The caller must hold c.mu.
func (c *Config) carryOut(decision daisyconfig.Decision) {
	switch d := decision.(type) {
	case daisyconfig.ReadHead:
		c.wg.Go(func() { c.handle(c.readHead()) })
	case daisyconfig.ReadSnapshot:
		c.wg.Go(func() { c.handle(c.readSnapshot(d.Hash)) })
	case daisyconfig.RequestSnapshot:
		c.options.Sender.Send(d.To, daisymessage.SnapshotWanted{Hash: d.Hash})
	case daisyconfig.SendSnapshot:
		c.options.Sender.Send(d.To, daisymessage.SnapshotGiven{Snapshot: *d.Snapshot})
	case daisyconfig.PutInForce:
		c.pending = d.Snapshot
		select {
		case c.applySignal <- struct{}{}:
		default:
		}
	case daisyconfig.RestoreHead:
		c.wg.Go(func() { c.restoreHead(d.Snapshot) })
	case daisyconfig.ReportConflict:
		c.options.Logger.Error("two different snapshots have the same revision",
			"revision", d.Revision, "in-force", d.InForce, "other", d.Other)
	}
}

func (c *Config) applyPending() {
	c.mu.Lock()
	s := c.pending
	c.mu.Unlock()
	for _, a := range c.options.Appliers {
		a.Apply(s)
	}
	c.chain.add(s)
	previous := c.inForce.Swap(s)
	c.mu.Lock()
	close(c.applied)
	c.applied = make(chan struct{})
	c.mu.Unlock()
	c.options.Logger.Info("configuration in force",
		"revision", s.Revision, "hash", s.Hash, "plan", s.PlanID, "by", s.ConfirmedBy)
	var evacuated []daisyfleet.ZoneID
	if previous != nil {
		evacuated = previous.EvacuatedZones()
	}
	logEvacuations(c.options.Logger, evacuated, s.EvacuatedZones(), "revision", s.Revision)
}

func (c *Config) readHead() daisyconfig.Event {
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	row, err := getHead(ctx, c.options.Platform)
	if err != nil {
		c.options.Logger.Warn("failed to read the head row", "error", err)
		return daisyconfig.HeadReadFailed{}
	}
	if row.version == 0 {
		return daisyconfig.HeadMissing{Era: row.era}
	}
	return daisyconfig.HeadRead{Head: row.head, Era: row.era}
}

// restoreHead writes a snapshot and its head to the platform again, unless the head row
// has the revision or a later one by now.
func (c *Config) restoreHead(s *daisyconfig.Snapshot) {
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	written, err := c.writeHead(ctx, s)
	switch {
	case err != nil:
		c.options.Logger.Warn("failed to write the configuration in force to the restored platform", "revision", s.Revision, "error", err)
	case written:
		c.options.Logger.Warn("the platform was restored from a backup without the configuration in force; written again", "revision", s.Revision, "hash", s.Hash)
	}
}

// writeHead writes a snapshot and its head over an older head, and reports whether it did.
func (c *Config) writeHead(ctx context.Context, s *daisyconfig.Snapshot) (written bool, err error) {
	row, err := getHead(ctx, c.options.Platform)
	if err != nil || row.head.Revision >= s.Revision {
		return false, err
	}
	data, _, err := daisysnapshot.Encode(s)
	if err != nil {
		return false, err
	}
	if err := putObject(ctx, c.options.Platform, snapshotPrefix+string(s.Hash), data); err != nil {
		return false, err
	}
	value, err := daisysnapshot.EncodeHead(s.Head())
	if err != nil {
		return false, err
	}
	switch a := c.options.Platform.SwapRow(ctx, headKey, row.version, value).(type) {
	case daisyplatform.RowWritten:
		return true, nil
	case daisyplatform.Conflict:
		// The next read shows whether another VM has written the head.
		return false, nil
	case daisyplatform.Unknown:
		return false, a.Err
	case daisyplatform.Unavailable:
		return false, a.Err
	default:
		return false, unexpectedError(a, "write the head row")
	}
}

func (c *Config) readSnapshot(hash daisyconfig.Hash) daisyconfig.Event {
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	s, err := fetchSnapshot(ctx, c.options.Platform, hash)
	if err != nil {
		c.options.Logger.Warn("failed to read snapshot", "hash", hash, "error", err)
		return daisyconfig.SnapshotReadFailed{Hash: hash}
	}
	return daisyconfig.SnapshotRead{Snapshot: s}
}
