package daisycontroller

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
	"daisyyoke/core/daisywake"
)

const (
	// feedWait is how long the store may hold a long poll for changes. It limits the
	// time until a dead connection is noticed.
	feedWait = 2500 * time.Millisecond
	// feedMargin is the time after feedWait at which an answer counts as lost.
	feedMargin = time.Second
	// feedLate is the time after feedWait at which the store counts as temporarily unavailable.
	feedLate = 300 * time.Millisecond
	// readTimeout is the timeout for reading all rows of a topic.
	readTimeout = 2 * time.Second
	// feedEvents is the capacity of the event queue.
	feedEvents = 256
)

// Feeds reads the rows in the platform's store.
type Feeds interface {
	// ReadRows reads all rows of a topic. It returns FeedRead or FeedFailed.
	ReadRows(ctx context.Context, topic daisyfeed.Topic) FeedAnswer
	// AwaitChanges waits for changes after the given version, for at most wait. It
	// returns FeedChanged, FeedHistoryLost or FeedFailed.
	AwaitChanges(ctx context.Context, topic daisyfeed.Topic, after daisyfeed.Version, wait time.Duration) FeedAnswer
}

// FeedAnswer is the result of a read from the store. It is one of FeedRead,
// FeedChanged, FeedHistoryLost and FeedFailed.
type FeedAnswer interface{ feedAnswer() }

// FeedRead contains all rows of a topic as of a version.
type FeedRead struct {
	Rows []daisyfeed.Row
	AsOf daisyfeed.Version
}

// FeedChanged contains the changes up to a version; there may be none.
type FeedChanged struct {
	Rows []daisyfeed.Row
	AsOf daisyfeed.Version
}

// FeedHistoryLost reports that the store no longer keeps the requested changes.
type FeedHistoryLost struct{}

// FeedFailed reports that the read failed.
type FeedFailed struct{ Err error }

func (FeedRead) feedAnswer()        {}
func (FeedChanged) feedAnswer()     {}
func (FeedHistoryLost) feedAnswer() {}
func (FeedFailed) feedAnswer()      {}

// RowDecoder decodes rows. Its errors name the part that is invalid and the reason.
type RowDecoder interface {
	// DecodeConfiguration returns the configuration without endpoints. It returns nil
	// for a row that does not contain a configuration.
	DecodeConfiguration(row daisyfeed.Row) (*daisyconfig.Snapshot, error)
	// DecodeEndpoint returns the registration of an endpoint.
	DecodeEndpoint(row daisyfeed.Row) (daisyconfig.Entry, error)
}

// FollowOptions are the dependencies and settings of a Follow controller.
type FollowOptions struct {
	Self    daisyvm.Name
	Feeds   Feeds
	Decoder RowDecoder
	Sender  Sender
	// Member reports to the other VMs which changes this VM knows.
	Member *Member
	// Appliers receive each new snapshot, in the order of the slice.
	Appliers []Applier
	Logger   hclog.Logger
}

// Follow keeps the configuration and the endpoints of the platform's store in force.
// Rows take effect as soon as they are read, without a plan.
type Follow struct {
	options   FollowOptions
	followers [daisyfeed.Topics]*daisyfeed.Follower
	readers   *daisyfeed.Readers
	events    chan topicEvent
	ctx       context.Context
	cancel    context.CancelFunc
	ended     sync.WaitGroup

	// The following fields are used only by the run goroutine.

	// blind is set while the store does not answer this VM.
	blind bool
	// declared is the configuration in force, without endpoints.
	declared *daisyconfig.Snapshot
	// entries are the registered endpoints by row key.
	entries map[string]daisyconfig.Entry
	// refused contains the versions of the current rows that could not be decoded.
	refused [daisyfeed.Topics]map[string]daisyfeed.Version
}

type topicEvent struct {
	topic daisyfeed.Topic
	event daisyfeed.Event
	// readers is set instead of topic and event. It updates the set of VMs that read the store.
	readers func(*daisyfeed.Readers)
}

var _ Controller = (*Follow)(nil)

// NewFollow returns a controller that immediately starts to follow the store.
func NewFollow(options FollowOptions) *Follow {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	c := &Follow{
		options: options,
		readers: daisyfeed.NewReaders(options.Self),
		events:  make(chan topicEvent, feedEvents),
		entries: make(map[string]daisyconfig.Entry),
	}
	for t := range c.followers {
		c.followers[t] = daisyfeed.NewFollower()
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.ended.Go(c.run)
	return c
}

func (c *Follow) controller() {}

// Close stops the controller and waits for its goroutines.
func (c *Follow) Close() {
	c.cancel()
	c.ended.Wait()
}

// Receive handles the known versions, row requests and rows sent by another VM.
func (c *Follow) Receive(from daisyvm.Name, message daisymessage.Message) {
	switch m := message.(type) {
	case daisymessage.Heartbeat:
		c.change(func(r *daisyfeed.Readers) { r.SetBlind(from, m.Blind) })
		for t, last := range m.Known {
			if last > 0 {
				c.post(daisyfeed.Topic(t), daisyfeed.PeerKnows{From: from, Last: last})
			}
		}
	case daisymessage.RowsWanted:
		c.post(m.Topic, daisyfeed.PeerAsked{From: from, After: m.After})
	case daisymessage.RowsGiven:
		c.post(m.Topic, daisyfeed.PeerGave{From: from, Changes: m.Changes})
	case daisymessage.SnapshotWanted, daisymessage.SnapshotGiven, daisymessage.CreditReport,
		daisymessage.CreditGrant, daisymessage.EndpointNews, daisymessage.StopWanted:
	}
}

// SetPeers sets the VMs that share the services, and so the work of reading the store.
func (c *Follow) SetPeers(vms, leaving []daisyvm.VM) {
	c.change(func(r *daisyfeed.Readers) { r.SetVMs(vms, leaving) })
}

// change queues an update of the VMs that read the store.
func (c *Follow) change(change func(*daisyfeed.Readers)) {
	select {
	case c.events <- topicEvent{readers: change}:
	case <-c.ctx.Done():
	}
}

func (c *Follow) post(topic daisyfeed.Topic, event daisyfeed.Event) {
	select {
	case c.events <- topicEvent{topic: topic, event: event}:
	case <-c.ctx.Done():
	}
}

func (c *Follow) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-c.events:
			if e.readers != nil {
				e.readers(c.readers)
				c.assign()
				break
			}
			c.handle(e.topic, e.event)
		case <-timer.C:
			for t := range c.followers {
				c.handle(daisyfeed.Topic(t), daisyfeed.TimePassed{})
			}
		case <-c.ctx.Done():
			return
		}
		setTimer(timer, c.nextWake())
	}
}

// assign notifies the followers when the VMs that read the store have changed.
func (c *Follow) assign() {
	duty, changed := c.readers.Duty()
	if !changed {
		return
	}
	c.options.Logger.Info("VMs that read the store changed", "vms", c.readers.Names(), "this-vm", duty.Reader)
	for t := range c.followers {
		c.handle(daisyfeed.Topic(t), duty)
	}
}

func (c *Follow) nextWake() time.Time {
	var wake time.Time
	for _, f := range c.followers {
		wake = daisywake.Sooner(wake, f.NextWake())
	}
	return wake
}

func (c *Follow) handle(topic daisyfeed.Topic, event daisyfeed.Event) {
	f := c.followers[topic]
	publish := false
	for _, d := range f.Handle(now(), event) {
		publish = c.carryOut(topic, d) || publish
	}
	c.options.Member.SetKnown(topic, f.Last())
	if blind := c.followers[daisyfeed.Configuration].Away() || c.followers[daisyfeed.Endpoints].Away(); blind != c.blind {
		c.blind = blind
		c.options.Member.SetBlind(blind)
		c.readers.SetBlind(c.options.Self, blind)
		c.assign()
	}
	if publish {
		c.publish(topic, f)
	}
}

// carryOut executes a decision. It reports whether the rows have changed and have to
// be published.
func (c *Follow) carryOut(topic daisyfeed.Topic, decision daisyfeed.Decision) (publish bool) {
	switch d := decision.(type) {
	case daisyfeed.ReadRows:
		c.ended.Go(func() { c.read(topic) })
	case daisyfeed.AwaitChanges:
		c.ended.Go(func() { c.await(topic, d) })
	case daisyfeed.AskPeer:
		c.options.Logger.Info("requesting rows from another VM", "topic", topic.String(), "vm", string(d.To), "after", uint64(d.After))
		c.options.Sender.Send(d.To, daisymessage.RowsWanted{Topic: topic, After: d.After})
	case daisyfeed.GivePeer:
		c.options.Sender.Send(d.To, daisymessage.RowsGiven{Topic: topic, Changes: d.Changes})
	case daisyfeed.Publish:
		return true
	case daisyfeed.SourceLost:
		c.options.Logger.Warn("store stopped answering", "topic", topic.String())
	case daisyfeed.SourceRegained:
		c.options.Logger.Info("store answers again", "topic", topic.String(), "away", d.Away.String())
	}
	return false
}

func (c *Follow) read(topic daisyfeed.Topic) {
	ctx, cancel := context.WithTimeout(c.ctx, readTimeout)
	defer cancel()
	c.post(topic, c.eventOf(topic, c.options.Feeds.ReadRows(ctx, topic), false))
}

func (c *Follow) await(topic daisyfeed.Topic, d daisyfeed.AwaitChanges) {
	wait := feedWait
	if d.Now {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(c.ctx, wait+feedMargin)
	defer cancel()
	asked := now()
	answer := c.options.Feeds.AwaitChanges(ctx, topic, d.After, wait)
	c.post(topic, c.eventOf(topic, answer, now().Sub(asked) > wait+feedLate))
}

func (c *Follow) eventOf(topic daisyfeed.Topic, answer FeedAnswer, late bool) daisyfeed.Event {
	switch a := answer.(type) {
	case FeedRead:
		return daisyfeed.RowsRead{Rows: a.Rows, AsOf: a.AsOf}
	case FeedChanged:
		return daisyfeed.RowsChanged{Rows: a.Rows, AsOf: a.AsOf, Late: late}
	case FeedHistoryLost:
		return daisyfeed.HistoryLost{}
	case FeedFailed:
		if c.ctx.Err() == nil {
			c.options.Logger.Debug("failed to read rows", "topic", topic.String(), "cause", a.Err.Error())
		}
	}
	return daisyfeed.ReadFailed{}
}

// publish updates the state from the rows of a topic and passes the merged snapshot to
// the appliers, once the configuration and all endpoints are known.
func (c *Follow) publish(topic daisyfeed.Topic, f *daisyfeed.Follower) {
	switch topic {
	case daisyfeed.Configuration:
		c.takeConfiguration(f.Rows())
	case daisyfeed.Endpoints:
		c.takeEndpoints(f.Rows())
	}
	if c.declared == nil || !c.followers[daisyfeed.Endpoints].Whole() {
		return
	}
	entries := make([]daisyconfig.Entry, 0, len(c.entries))
	for _, e := range c.entries {
		entries = append(entries, e)
	}
	snapshot := daisyconfig.Merge(c.declared, entries)
	for _, a := range c.options.Appliers {
		a.Apply(snapshot)
	}
}

func (c *Follow) takeConfiguration(rows []daisyfeed.Row) {
	refused := make(map[string]daisyfeed.Version)
	for _, r := range rows {
		s, err := c.options.Decoder.DecodeConfiguration(r)
		if err != nil {
			c.refuse(daisyfeed.Configuration, r, err)
			refused[r.Key] = r.Version
			continue
		}
		if s == nil || c.declared != nil && s.Revision <= c.declared.Revision {
			continue
		}
		c.options.Logger.Info("configuration in force", "revision", uint64(s.Revision), "row-version", uint64(r.Version))
		c.declared = s
	}
	c.refused[daisyfeed.Configuration] = refused
}

func (c *Follow) takeEndpoints(rows []daisyfeed.Row) {
	old := c.entries
	refused := make(map[string]daisyfeed.Version)
	c.entries = make(map[string]daisyconfig.Entry, len(rows))
	for _, r := range rows {
		e, err := c.options.Decoder.DecodeEndpoint(r)
		if err != nil {
			c.refuse(daisyfeed.Endpoints, r, err)
			refused[r.Key] = r.Version
			continue
		}
		c.entries[r.Key] = e
		if o, ok := old[r.Key]; !ok || o.Endpoint != e.Endpoint {
			c.options.Logger.Info("endpoint registered", "instance", r.Key, "service", e.Service.String(),
				"endpoint", e.Endpoint.Address.String(), "draining", e.Endpoint.Draining, "row-version", uint64(r.Version))
		}
	}
	c.refused[daisyfeed.Endpoints] = refused
	for k, e := range old {
		if _, ok := c.entries[k]; !ok {
			c.options.Logger.Info("endpoint removed", "instance", k, "service", e.Service.String(), "endpoint", e.Endpoint.Address.String())
		}
	}
}

// refuse logs a row that could not be decoded, once for each version of it.
func (c *Follow) refuse(topic daisyfeed.Topic, row daisyfeed.Row, err error) {
	if c.refused[topic][row.Key] == row.Version {
		return
	}
	c.options.Logger.Warn("ignoring invalid row", "key", row.Key, "row-version", uint64(row.Version), "cause", err.Error())
}
