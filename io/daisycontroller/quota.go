package daisycontroller

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyquota"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisylog"
	"daisyyoke/io/daisymetric"
)

// quotaShards is the number of shards. A VM handles a few hundred requests a second.
const quotaShards = 16

// QuotaOptions are the dependencies and settings of a Quota controller.
type QuotaOptions struct {
	Self   daisyvm.VM
	Sender Sender
	// Bounds apply to the quotas of all accounts; the zero value means the default.
	Bounds daisyquota.Bounds
	// OthersExist reports whether there are other VMs, although this one may not know them yet.
	OthersExist bool
	// Log records accounts that reach their limits; nil disables it.
	Log *daisylog.Log
	// Metrics counts requests of accounts with a quota, and messages; nil disables it.
	Metrics *daisymetric.Metrics
	// Seed makes the random choices reproducible.
	Seed uint64
	// Now is the clock; nil means one that includes suspensions of the machine.
	Now func() time.Time
}

// Quota keeps the tokens of client accounts with a quota, in shards by account.
type Quota struct {
	options QuotaOptions
	shards  [quotaShards]*quotaShard
	lastID  atomic.Uint64
	// outboxMu guards outbox, which gathers the requests of all shards.
	outboxMu sync.Mutex
	outbox   *daisyquota.Outbox
	done     chan struct{}
	// limited is closed when the first configuration with a quota is in force. Without quotas
	// there is nothing that time changes, and the controller does not wake up.
	limited     chan struct{}
	limitedOnce sync.Once
	wg          sync.WaitGroup
}

var _ Controller = (*Quota)(nil)

// NewQuota returns a controller without quotas; Apply sets them.
func NewQuota(options QuotaOptions) *Quota {
	if options.Now == nil {
		options.Now = bootNow
	}
	c := &Quota{options: options, outbox: daisyquota.NewOutbox(), done: make(chan struct{}), limited: make(chan struct{})}
	for i := range c.shards {
		c.shards[i] = newQuotaShard(c, uint64(i))
	}
	c.wg.Go(func() {
		select {
		case <-c.limited:
		case <-c.done:
			return
		}
		ticker := time.NewTicker(daisyquota.TickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.tick()
			case <-c.done:
				return
			}
		}
	})
	return c
}

func newQuotaShard(c *Quota, index uint64) *quotaShard {
	return &quotaShard{
		quota: c,
		state: daisyquota.NewShard(daisyquota.Options{
			Self:        c.options.Self,
			Bounds:      c.options.Bounds,
			OthersExist: c.options.OthersExist,
			Random:      rand.New(rand.NewPCG(c.options.Seed, index)),
			Now:         c.options.Now(),
		}),
		waiting: make(map[daisyquota.RequestID]chan daisyquota.Decision),
	}
}

func (c *Quota) controller() {}

// Close stops the controller and waits for its goroutine. Requests that wait for tokens
// still end in time.
func (c *Quota) Close() {
	close(c.done)
	c.wg.Wait()
}

func (c *Quota) shard(account daisyquota.Key) *quotaShard {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(account.Fleet))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(account.Account))
	return c.shards[d.Sum64()%quotaShards]
}

// Apply puts the quotas of a configuration in force.
func (c *Quota) Apply(snapshot *daisyconfig.Snapshot) {
	quotas := make(map[daisyquota.Key]daisyaccount.Quota)
	for _, f := range snapshot.Intent.Fleets {
		for _, a := range f.Accounts {
			quotas[daisyquota.Key{Fleet: f.Name, Account: a.Name}] = a.Quota
			if a.Quota.Limited() {
				c.limitedOnce.Do(func() { close(c.limited) })
			}
		}
	}
	c.options.Metrics.SetQuotas(quotas)
	for _, s := range c.shards {
		s.handle(daisyquota.QuotasChanged{Quotas: quotas})
	}
}

// SetPeers sets the VMs among which the accounts are divided, and those in a planned stop.
func (c *Quota) SetPeers(vms, leaving []daisyvm.VM) {
	for _, s := range c.shards {
		s.handle(daisyquota.PeersChanged{VMs: vms, Leaving: leaving})
	}
}

// SetListed sets the number of VMs in the platform's list.
func (c *Quota) SetListed(vms int) {
	for _, s := range c.shards {
		s.handle(daisyquota.VMsListed{Count: vms})
	}
}

// Receive handles a message from another VM.
func (c *Quota) Receive(from daisyvm.Name, message daisymessage.Message) {
	c.options.Metrics.MessageReceived(message)
	switch m := message.(type) {
	case daisymessage.QuotaRequests:
		var grants []daisyquota.Grant
		for _, r := range m.Requests {
			grants = append(grants, c.shard(r.Account).handle(daisyquota.RequestReceived{From: from, Request: r})...)
		}
		if len(grants) > 0 {
			c.send(from, daisymessage.QuotaGrants{Grants: grants})
		}
	case daisymessage.QuotaGrants:
		for _, g := range m.Grants {
			c.shard(g.Account).handle(daisyquota.GrantReceived{From: from, Grant: g})
		}
	}
}

func (c *Quota) send(to daisyvm.Name, message daisymessage.Message) {
	c.options.Sender.Send(to, message)
	c.options.Metrics.MessageSent(message)
}

// tick lets time pass and sends the requests that have waited for others to the same VM.
func (c *Quota) tick() {
	for _, s := range c.shards {
		s.handle(daisyquota.TimePassed{})
	}
	c.outboxMu.Lock()
	all := c.outbox.TakeAll()
	c.outboxMu.Unlock()
	for to, requests := range all {
		c.send(to, daisymessage.QuotaRequests{Requests: requests})
	}
}

func (c *Quota) request(d daisyquota.SendRequest) {
	c.outboxMu.Lock()
	requests := c.outbox.Add(d)
	c.outboxMu.Unlock()
	if len(requests) > 0 {
		c.send(d.To, daisymessage.QuotaRequests{Requests: requests})
	}
}
