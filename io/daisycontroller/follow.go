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
	// feedWait is how long the store may hold a question for changes. It bounds how
	// long a connection that has gone silent goes unnoticed.
	feedWait = 2500 * time.Millisecond
	// feedMargin is how much longer an answer may take before it counts as lost.
	feedMargin = time.Second
	// feedLate is how much longer it may take before the store counts as having been away.
	feedLate = 300 * time.Millisecond
	// readTimeout bounds the reading of all rows.
	readTimeout = 2 * time.Second
	// feedEvents bounds the events that wait for the controller.
	feedEvents = 256
)

// Feeds read the rows that the platform's store holds.
type Feeds interface {
	// ReadRows answers daisyfeed.RowsRead or FeedFailed.
	ReadRows(ctx context.Context, topic daisyfeed.Topic) FeedAnswer
	// AwaitChanges waits for at most wait until there are changes. It answers
	// daisyfeed.RowsChanged, daisyfeed.HistoryLost or FeedFailed.
	AwaitChanges(ctx context.Context, topic daisyfeed.Topic, after daisyfeed.Version, wait time.Duration) FeedAnswer
}

// FeedAnswer is one of FeedRead, FeedChanged, FeedHistoryLost and FeedFailed.
type FeedAnswer interface{ feedAnswer() }

// FeedRead brings all rows.
type FeedRead struct {
	Rows []daisyfeed.Row
	AsOf daisyfeed.Version
}

// FeedChanged brings changes, maybe none.
type FeedChanged struct {
	Rows []daisyfeed.Row
	AsOf daisyfeed.Version
}

// FeedHistoryLost says that the changes that were asked for are no longer kept.
type FeedHistoryLost struct{}

// FeedFailed says that nothing was read.
type FeedFailed struct{ Err error }

func (FeedRead) feedAnswer()        {}
func (FeedChanged) feedAnswer()     {}
func (FeedHistoryLost) feedAnswer() {}
func (FeedFailed) feedAnswer()      {}

// RowDecoder gives the meaning of rows. Its errors name what cannot be used and why.
type RowDecoder interface {
	// DecodeConfiguration gives the configuration without endpoints.
	DecodeConfiguration(row daisyfeed.Row) (*daisyconfig.Snapshot, error)
	// DecodeEndpoint gives what an endpoint says of itself.
	DecodeEndpoint(row daisyfeed.Row) (daisyconfig.Registration, error)
}

// FollowOptions are what a Follow controller depends on.
type FollowOptions struct {
	Self    daisyvm.Name
	Feeds   Feeds
	Decoder RowDecoder
	Sender  Sender
	// Member tells the other VMs which changes this VM knows.
	Member *Member
	// Appliers get each new snapshot, one after the other.
	Appliers []Applier
	Logger   hclog.Logger
}

// Follow keeps the configuration and the endpoints in force that the platform's
// store holds. What it declares is in force as soon as it is read; there is no plan.
type Follow struct {
	options   FollowOptions
	followers [daisyfeed.Topics]*daisyfeed.Follower
	readers   *daisyfeed.Readers
	events    chan topicEvent
	ctx       context.Context
	cancel    context.CancelFunc
	ended     sync.WaitGroup

	// What follows is for run alone. blind says that the store does not answer.
	blind bool
	// declared is the configuration in force without endpoints, entries what endpoints
	// say of themselves.
	declared *daisyconfig.Snapshot
	entries  map[string]daisyconfig.Registration
	// refused has the versions of the present rows that cannot be used.
	refused [daisyfeed.Topics]map[string]daisyfeed.Version
}

type topicEvent struct {
	topic daisyfeed.Topic
	event daisyfeed.Event
	// readers changes who reads, in place of an event of a topic.
	readers func(*daisyfeed.Readers)
}

var _ Controller = (*Follow)(nil)

// NewFollow gives a controller that starts at once to read.
func NewFollow(options FollowOptions) *Follow {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	c := &Follow{
		options: options,
		readers: daisyfeed.NewReaders(options.Self),
		events:  make(chan topicEvent, feedEvents),
		entries: make(map[string]daisyconfig.Registration),
	}
	for t := range c.followers {
		c.followers[t] = daisyfeed.NewFollower()
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.ended.Go(c.run)
	return c
}

func (c *Follow) controller() {}

// Close stops the reading and waits for it.
func (c *Follow) Close() {
	c.cancel()
	c.ended.Wait()
}

// Receive takes what another VM knows, asks for or gives.
func (c *Follow) Receive(from daisyvm.Name, message daisymessage.Message) {
	switch m := message.(type) {
	case daisymessage.Heartbeat:
		c.change(func(r *daisyfeed.Readers) { r.SetStoreUnavailable(from, m.StoreUnavailable) })
		for t, last := range m.Known {
			if last > 0 {
				c.post(daisyfeed.Topic(t), daisyfeed.PeerVersionKnown{From: from, Last: last})
			}
		}
	case daisymessage.RowsWanted:
		c.post(m.Topic, daisyfeed.ChangesRequested{From: from, After: m.After})
	case daisymessage.RowsGiven:
		c.post(m.Topic, daisyfeed.ChangesReceived{From: from, Changes: m.Changes})
	case daisymessage.SnapshotWanted, daisymessage.SnapshotGiven, daisymessage.CreditReport,
		daisymessage.CreditGrant, daisymessage.EndpointNews, daisymessage.StopWanted:
	}
}

// SetPeers tells which VMs share the services, and so the reading.
func (c *Follow) SetPeers(vms, leaving []daisyvm.VM) {
	c.change(func(r *daisyfeed.Readers) { r.SetVMs(vms, leaving) })
}

// change changes who reads.
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

// assign tells the followers of a change in who reads.
func (c *Follow) assign() {
	duty, changed := c.readers.Role()
	if !changed {
		return
	}
	c.options.Logger.Info("store read by", "vms", c.readers.Names(), "this-vm", duty.Reader)
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
	if blind := c.followers[daisyfeed.Configuration].StoreUnavailable() || c.followers[daisyfeed.Endpoints].StoreUnavailable(); blind != c.blind {
		c.blind = blind
		c.options.Member.SetBlind(blind)
		c.readers.SetStoreUnavailable(c.options.Self, blind)
		c.assign()
	}
	if publish {
		c.publish(topic, f)
	}
}

// carryOut reports whether the rows have changed.
func (c *Follow) carryOut(topic daisyfeed.Topic, decision daisyfeed.Decision) (publish bool) {
	switch d := decision.(type) {
	case daisyfeed.ReadRows:
		c.ended.Go(func() { c.read(topic) })
	case daisyfeed.AwaitChanges:
		c.ended.Go(func() { c.await(topic, d) })
	case daisyfeed.RequestChanges:
		c.options.Logger.Info("rows asked of another VM", "topic", topic.String(), "vm", string(d.To), "after", uint64(d.After))
		c.options.Sender.Send(d.To, daisymessage.RowsWanted{Topic: topic, After: d.After})
	case daisyfeed.SendChanges:
		c.options.Sender.Send(d.To, daisymessage.RowsGiven{Topic: topic, Changes: d.Changes})
	case daisyfeed.Publish:
		return true
	case daisyfeed.StoreLost:
		c.options.Logger.Warn("store lost", "topic", topic.String())
	case daisyfeed.StoreRecovered:
		c.options.Logger.Info("store regained", "topic", topic.String(), "away", d.Outage.String())
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
			c.options.Logger.Debug("rows not read", "topic", topic.String(), "cause", a.Err.Error())
		}
	}
	return daisyfeed.ReadFailed{}
}

// publish puts the rows of a topic in force.
func (c *Follow) publish(topic daisyfeed.Topic, f *daisyfeed.Follower) {
	switch topic {
	case daisyfeed.Configuration:
		c.takeConfiguration(f.Rows())
	case daisyfeed.Endpoints:
		c.takeEndpoints(f.Rows())
	}
	if c.declared == nil || !c.followers[daisyfeed.Endpoints].Complete() {
		return
	}
	entries := make([]daisyconfig.Registration, 0, len(c.entries))
	for _, e := range c.entries {
		entries = append(entries, e)
	}
	snapshot := daisyconfig.MergeRegistrations(c.declared, entries)
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
	c.entries = make(map[string]daisyconfig.Registration, len(rows))
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
			c.options.Logger.Info("endpoint gone", "instance", k, "service", e.Service.String(), "endpoint", e.Endpoint.Address.String())
		}
	}
}

// refuse logs a row that cannot be used, once for each version of it.
func (c *Follow) refuse(topic daisyfeed.Topic, row daisyfeed.Row, err error) {
	if c.refused[topic][row.Key] == row.Version {
		return
	}
	c.options.Logger.Warn("row passed over", "key", row.Key, "row-version", uint64(row.Version), "cause", err.Error())
}
