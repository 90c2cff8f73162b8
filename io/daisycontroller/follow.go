package daisycontroller

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
	"daisyyoke/core/daisywake"
)

const (
	// lostAnswerMargin is the time past the end of a poll after which its answer counts
	// as lost.
	lostAnswerMargin = time.Second
	// lateAnswerMargin is the time past the end of a poll after which an answer shows that
	// the store was temporarily unavailable.
	lateAnswerMargin = 300 * time.Millisecond
	// readRowsTimeout is the timeout for reading all rows of a topic.
	readRowsTimeout = 2 * time.Second
	// followQueueSize is the capacity of the event queue.
	followQueueSize = 256
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
	Era  daisyfeed.Era
	// Clock is the store's own clock; 0 if it does not say.
	Clock time.Duration
}

// FeedChanged contains the changes up to a version; there may be none.
type FeedChanged struct {
	Rows []daisyfeed.Row
	AsOf daisyfeed.Version
	Era  daisyfeed.Era
	// Clock is the store's own clock; 0 if it does not say.
	Clock time.Duration
}

// FeedHistoryLost reports that the store does not have the requested changes.
type FeedHistoryLost struct{ Era daisyfeed.Era }

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
	// DecodeEvacuation returns the availability zone that a row evacuates, and reports
	// whether it evacuates one.
	DecodeEvacuation(row daisyfeed.Row) (daisyfleet.ZoneID, bool)
	// DecodeEndpoint returns the registration of an endpoint.
	DecodeEndpoint(row daisyfeed.Row) (daisyconfig.Registration, error)
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
	// Index is told as of when the configuration is known to be the newest; it may be nil.
	Index *Index
	// Age is told what bounds the age of the configuration; it may be nil.
	Age    *Age
	Logger hclog.Logger
	// FirstReadDelay is how long the first read of the store is left to other VMs, which
	// pass on what they read.
	FirstReadDelay time.Duration
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
	wg        sync.WaitGroup

	// The following fields are used only by the run goroutine.

	// storeUnavailable is set while the store does not answer this VM.
	storeUnavailable bool
	// declared is the configuration in force, without endpoints.
	declared *daisyconfig.Snapshot
	// evacuated are the availability zones that are evacuated, in the order of their names.
	evacuated []daisyfleet.ZoneID
	// registrations are the registered endpoints by row key.
	registrations map[string]daisyconfig.Registration
	// invalidRows contains the versions of the current rows that could not be decoded.
	invalidRows [daisyfeed.Topics]map[string]daisyfeed.Version
}

type topicEvent struct {
	topic daisyfeed.Topic
	event daisyfeed.Event
	// updateReaders is set instead of topic and event; it updates the VMs that read the
	// store.
	updateReaders func(*daisyfeed.Readers)
}

var _ Controller = (*Follow)(nil)

// NewFollow returns a controller that immediately starts to follow the store.
func NewFollow(options FollowOptions) *Follow {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	c := &Follow{
		options:       options,
		readers:       daisyfeed.NewReaders(options.Self),
		events:        make(chan topicEvent, followQueueSize),
		registrations: make(map[string]daisyconfig.Registration),
	}
	c.followers[daisyfeed.Configuration] = daisyfeed.NewConfirmedFollower()
	c.followers[daisyfeed.Endpoints] = daisyfeed.NewFollower()
	if options.FirstReadDelay > 0 {
		for _, f := range c.followers {
			f.AwaitPeers(now().Add(options.FirstReadDelay))
		}
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.wg.Go(c.run)
	return c
}

func (c *Follow) controller() {}

// Close stops the controller and waits for its goroutines.
func (c *Follow) Close() {
	c.cancel()
	c.wg.Wait()
}

// Receive handles the known versions, row requests and rows sent by another VM.
func (c *Follow) Receive(from daisyvm.Name, message daisymessage.Message) {
	switch m := message.(type) {
	case daisymessage.Heartbeat:
		c.updateReaders(func(r *daisyfeed.Readers) { r.SetStoreUnavailable(from, m.StoreUnavailable) })
		for t, last := range m.Known {
			if last > 0 || m.KnownEras[t] > 0 {
				c.post(daisyfeed.Topic(t), daisyfeed.PeerVersionKnown{From: from, Last: last, Era: m.KnownEras[t], Holding: m.Holding[t], InForce: inForce(daisyfeed.Topic(t), m)})
			}
		}
	case daisymessage.RowsWanted:
		c.post(m.Topic, daisyfeed.ChangesRequested{From: from, After: m.After, Era: m.Era})
	case daisymessage.RowsGiven:
		c.post(m.Topic, daisyfeed.ChangesReceived{From: from, Changes: m.Changes})
	case daisymessage.SnapshotWanted, daisymessage.SnapshotGiven, daisymessage.CreditReport,
		daisymessage.CreditGrant, daisymessage.EndpointNews, daisymessage.EndpointLeaving, daisymessage.CrashFindings, daisymessage.StopWanted,
		daisymessage.QuotaRequests, daisymessage.QuotaGrants:
	}
}

// inForce returns the order of the latest row of a topic that the sender of a heartbeat says
// it has in force. Only the configuration has one.
func inForce(topic daisyfeed.Topic, m daisymessage.Heartbeat) daisyfeed.Written {
	if topic != daisyfeed.Configuration {
		return daisyfeed.Written{}
	}
	return daisyfeed.Written{Sequence: uint64(m.Revision)}
}

// SetPeers sets the VMs that share the services, and so the work of reading the store.
func (c *Follow) SetPeers(vms, leaving []daisyvm.VM) {
	c.updateReaders(func(r *daisyfeed.Readers) { r.SetVMs(vms, leaving) })
}

// updateReaders queues an update of the VMs that read the store.
func (c *Follow) updateReaders(change func(*daisyfeed.Readers)) {
	select {
	case c.events <- topicEvent{updateReaders: change}:
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
			if e.updateReaders != nil {
				e.updateReaders(c.readers)
				c.updateRole()
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

// updateRole notifies the followers when the VMs that read the store have changed.
func (c *Follow) updateRole() {
	role, changed := c.readers.Role()
	if !changed {
		return
	}
	c.options.Logger.Info("VMs that read the store changed", "vms", c.readers.Names(), "this-vm", role.Reader)
	for t := range c.followers {
		c.handle(daisyfeed.Topic(t), role)
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
	asOf := f.CurrentAsOf()
	publish := false
	for _, d := range f.Handle(now(), event) {
		publish = c.carryOut(topic, d) || publish
	}
	c.options.Member.SetKnown(topic, f.Era(), f.Last(), f.Holding())
	if unavailable := c.followers[daisyfeed.Configuration].StoreUnavailable() || c.followers[daisyfeed.Endpoints].StoreUnavailable(); unavailable != c.storeUnavailable {
		c.storeUnavailable = unavailable
		c.options.Member.SetStoreUnavailable(unavailable)
		c.readers.SetStoreUnavailable(c.options.Self, unavailable)
		c.updateRole()
	}
	if publish {
		c.publish(topic, f, provenance{source: sourceOf(event), asOf: asOf})
	}
	if topic == daisyfeed.Configuration && c.options.Index != nil && f.CurrentAsOf().After(asOf) {
		c.options.Index.SetCurrentAsOf(f.CurrentAsOf())
	}
	if topic == daisyfeed.Configuration {
		c.options.Age.setOutdated(f.Outdated())
		if f.Settled() {
			c.options.Age.confirm(f.Era(), f.Bookmark().Clock)
		}
	}
}

// provenance tells where rows that changed came from.
type provenance struct {
	// source is a VM, "store", or empty if the rows changed with time.
	source string
	// asOf is the latest time at which the rows before were known to be current.
	asOf time.Time
}

// fields returns the provenance as fields of a log line.
func (p provenance) fields() []any {
	fields := []any{"source", p.source}
	if !p.asOf.IsZero() {
		fields = append(fields, "unconfirmed-for", now().Sub(p.asOf).String())
	}
	return fields
}

// sourceOf returns where the rows of an event come from.
func sourceOf(event daisyfeed.Event) string {
	switch e := event.(type) {
	case daisyfeed.RowsRead, daisyfeed.RowsChanged:
		return "store"
	case daisyfeed.ChangesReceived:
		return string(e.From)
	case daisyfeed.HistoryLost, daisyfeed.ReadFailed, daisyfeed.RoleChanged, daisyfeed.PeerVersionKnown,
		daisyfeed.ChangesRequested, daisyfeed.TimePassed:
	}
	return ""
}

// carryOut executes a decision. It reports whether the rows have changed and have to
// be published.
func (c *Follow) carryOut(topic daisyfeed.Topic, decision daisyfeed.Decision) (publish bool) {
	switch d := decision.(type) {
	case daisyfeed.ReadRows:
		c.wg.Go(func() { c.readRows(topic) })
	case daisyfeed.AwaitChanges:
		c.wg.Go(func() { c.awaitChanges(topic, d) })
	case daisyfeed.RequestChanges:
		c.options.Logger.Info("requesting rows from another VM", "topic", topic.String(), "vm", string(d.To), "after", uint64(d.After), "era", uint64(d.Era))
		c.options.Sender.Send(d.To, daisymessage.RowsWanted{Topic: topic, After: d.After, Era: d.Era})
	case daisyfeed.SendChanges:
		c.options.Sender.Send(d.To, daisymessage.RowsGiven{Topic: topic, Changes: d.Changes})
	case daisyfeed.Publish:
		return true
	case daisyfeed.StoreLost:
		c.options.Logger.Warn("store stopped answering", "topic", topic.String())
	case daisyfeed.StoreRestored:
		c.options.Logger.Warn("store was restored from a backup; keeping what was in force until it is written again",
			"topic", topic.String(), "era", uint64(d.Era), "held", d.Held)
		if topic == daisyfeed.Configuration {
			c.options.Member.AnnounceAgain()
		}
	case daisyfeed.StoreRecovered:
		c.options.Logger.Info("store answers again", "topic", topic.String(), "away", d.Outage.String())
	}
	return false
}

func (c *Follow) readRows(topic daisyfeed.Topic) {
	ctx, cancel := context.WithTimeout(c.ctx, readRowsTimeout)
	defer cancel()
	sent := c.options.Age.Now()
	answer := c.options.Feeds.ReadRows(ctx, topic)
	c.noteClock(sent, answer)
	c.post(topic, c.eventFromAnswer(topic, answer, false))
}

func (c *Follow) awaitChanges(topic daisyfeed.Topic, d daisyfeed.AwaitChanges) {
	ctx, cancel := context.WithTimeout(c.ctx, d.Wait+lostAnswerMargin)
	defer cancel()
	start, sent := now(), c.options.Age.Now()
	answer := c.options.Feeds.AwaitChanges(ctx, topic, d.After, d.Wait)
	c.noteClock(sent, answer)
	c.post(topic, c.eventFromAnswer(topic, answer, now().Sub(start) > d.Wait+lateAnswerMargin))
}

// noteClock reports the store's clock in an answer to a request that was sent at a time since
// boot.
func (c *Follow) noteClock(sent time.Duration, answer FeedAnswer) {
	switch a := answer.(type) {
	case FeedRead:
		c.options.Age.storeReplied(sent, a.Era, a.Clock)
	case FeedChanged:
		c.options.Age.storeReplied(sent, a.Era, a.Clock)
	case FeedHistoryLost, FeedFailed:
	}
}

func (c *Follow) eventFromAnswer(topic daisyfeed.Topic, answer FeedAnswer, late bool) daisyfeed.Event {
	switch a := answer.(type) {
	case FeedRead:
		c.options.Logger.Info("all rows read", "topic", topic.String(), "rows", len(a.Rows), "as-of", uint64(a.AsOf), "era", uint64(a.Era))
		return daisyfeed.RowsRead{Rows: a.Rows, AsOf: a.AsOf, Era: a.Era, Clock: a.Clock}
	case FeedChanged:
		return daisyfeed.RowsChanged{Rows: a.Rows, AsOf: a.AsOf, Era: a.Era, Clock: a.Clock, Late: late}
	case FeedHistoryLost:
		c.options.Logger.Info("store does not have the changes asked for", "topic", topic.String(), "era", uint64(a.Era))
		return daisyfeed.HistoryLost{Era: a.Era}
	case FeedFailed:
		if c.ctx.Err() == nil {
			c.options.Logger.Debug("failed to read rows", "topic", topic.String(), "cause", a.Err.Error())
		}
	}
	return daisyfeed.ReadFailed{}
}

// publish updates the state from the rows of a topic and passes the merged snapshot to
// the appliers, once the configuration and all endpoints are known.
func (c *Follow) publish(topic daisyfeed.Topic, f *daisyfeed.Follower, from provenance) {
	switch topic {
	case daisyfeed.Configuration:
		c.applyConfiguration(f.Rows(), from)
	case daisyfeed.Endpoints:
		c.applyEndpoints(f.Rows())
	}
	if c.declared == nil || !c.followers[daisyfeed.Endpoints].Complete() {
		return
	}
	registrations := make([]daisyconfig.Registration, 0, len(c.registrations))
	for _, r := range c.registrations {
		registrations = append(registrations, r)
	}
	declared := *c.declared
	declared.Evacuated = c.evacuated
	snapshot := daisyconfig.MergeRegistrations(&declared, registrations)
	for _, a := range c.options.Appliers {
		a.Apply(snapshot)
	}
}

func (c *Follow) applyConfiguration(rows []daisyfeed.Row, from provenance) {
	invalid := make(map[string]daisyfeed.Version)
	var evacuated []daisyfleet.ZoneID
	for _, r := range rows {
		if zone, ok := c.options.Decoder.DecodeEvacuation(r); ok {
			evacuated = append(evacuated, zone)
			continue
		}
		s, err := c.options.Decoder.DecodeConfiguration(r)
		if err != nil {
			c.logInvalidRow(daisyfeed.Configuration, r, err)
			invalid[r.Key] = r.Version
			continue
		}
		if s == nil || c.declared != nil && s.Revision <= c.declared.Revision {
			continue
		}
		c.options.Logger.Info("configuration in force",
			append(from.fields(), "revision", uint64(s.Revision), "row-version", uint64(r.Version), "era", uint64(r.Era))...)
		for _, a := range s.Adjustments {
			c.options.Logger.Warn("entry of the configuration adjusted", "revision", uint64(s.Revision), "entry", a.Entry, "problem", a.Problem, "effect", a.Effect)
		}
		c.declared = s
	}
	c.invalidRows[daisyfeed.Configuration] = invalid
	c.applyEvacuations(evacuated, from)
}

// applyEvacuations puts the evacuations of availability zones in force.
func (c *Follow) applyEvacuations(zones []daisyfleet.ZoneID, from provenance) {
	slices.SortFunc(zones, func(a, b daisyfleet.ZoneID) int { return strings.Compare(a.String(), b.String()) })
	logEvacuations(c.options.Logger, c.evacuated, zones, from.fields()...)
	c.evacuated = zones
}

func (c *Follow) applyEndpoints(rows []daisyfeed.Row) {
	previous := c.registrations
	invalid := make(map[string]daisyfeed.Version)
	c.registrations = make(map[string]daisyconfig.Registration, len(rows))
	for _, r := range rows {
		e, err := c.options.Decoder.DecodeEndpoint(r)
		if err != nil {
			c.logInvalidRow(daisyfeed.Endpoints, r, err)
			invalid[r.Key] = r.Version
			continue
		}
		c.registrations[r.Key] = e
		if o, ok := previous[r.Key]; !ok || !o.Endpoint.SameDeclaration(e.Endpoint) {
			c.options.Logger.Info("endpoint registered", "instance", r.Key, "service", e.Service.String(),
				"endpoint", e.Endpoint.Address.String(), "draining", e.Endpoint.Draining, "row-version", uint64(r.Version))
		}
	}
	c.invalidRows[daisyfeed.Endpoints] = invalid
	for k, e := range previous {
		if _, ok := c.registrations[k]; !ok {
			c.options.Logger.Info("endpoint removed", "instance", k, "service", e.Service.String(), "endpoint", e.Endpoint.Address.String())
		}
	}
}

// logInvalidRow logs a row that could not be decoded, once for each version of it.
func (c *Follow) logInvalidRow(topic daisyfeed.Topic, row daisyfeed.Row, err error) {
	if c.invalidRows[topic][row.Key] == row.Version {
		return
	}
	c.options.Logger.Warn("ignoring invalid row", "key", row.Key, "row-version", uint64(row.Version), "cause", err.Error())
}
