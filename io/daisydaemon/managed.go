package daisydaemon

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisystop"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycaller"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyfilter"
	"daisyyoke/io/daisyforward"
	"daisyyoke/io/daisylog"
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisypeer"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysetting"
)

// directoryMaxAge is how long callers may cache a response of the directory, unless the
// settings allow less. Some callers cache it three times as long, and a stopping VM
// continues to serve them for most of its grace period.
const directoryMaxAge = 2 * time.Second

const (
	// vmListInterval is the interval between reads of the list of VMs while there are few. It
	// is long, because every call to the platform's store has a cost.
	vmListInterval = 30 * time.Second
	// maxVMListInterval limits the interval among many VMs. VMs are listed for three times
	// as long after their last announcement.
	maxVMListInterval = 5 * time.Minute
)

// settingsPollInterval is the interval between checks of the settings, which may change
// without a signal.
const settingsPollInterval = 5 * time.Second

// reservedDescriptors is the number of file descriptors reserved for files, links, the
// store and the directory.
const reservedDescriptors = 400

// Dialect implements the HTTP conventions of a platform's callers and endpoints.
type Dialect interface {
	daisyforward.Dialect
	daisyfilter.CallReader
	daisyfilter.KeyReader
	daisyconnection.Verifier
}

// Adapter connects a Managed daemon to its platform.
type Adapter struct {
	Feeds   daisycontroller.Feeds
	Decoder daisycontroller.RowDecoder
	VMs     daisyplatform.VMs
	Dialect Dialect
	// NewProber returns the Prober that requests load reports from endpoints.
	NewProber func(pool *daisyconnection.Pool) daisycontroller.Prober
	// NewDirectory returns the handler of requests from callers that ask which VMs to use.
	NewDirectory func(source daisyfilter.AddressSource) http.Handler
	// NewReadiness returns the handler of the platform's readiness checks.
	NewReadiness func(ready func() bool) http.Handler
	// ReadSettings reads the current settings from their source.
	ReadSettings func() (daisysetting.Managed, error)
	// Close releases the resources of the adapter; it may be nil.
	Close func()
}

// ManagedOptions are the dependencies and settings of a Managed daemon.
type ManagedOptions struct {
	Settings daisysetting.Managed
	Adapter  Adapter
	LogLevel string
	// Log is the destination of the log, which is written as JSON lines.
	Log io.Writer
}

// Managed runs one entry VM whose configuration comes from its platform's store. Its
// components are closed in the reverse order of their start.
type Managed struct {
	// settings are the settings at the start, lastRead those of the last reload.
	settings daisysetting.Managed
	lastRead daisysetting.Managed
	adapter  Adapter
	self     daisyvm.VM

	log     *daisylog.Log
	logger  hclog.Logger
	metrics *daisymetric.Metrics
	inbox   *daisycontroller.Inbox
	links   *daisypeer.Links
	pool    *daisyconnection.Pool
	routes  *daisycontroller.Route
	index   *daisycontroller.Index
	// age is nil unless the settings bound the age of the configuration.
	age     *daisycontroller.Age
	quotas  *daisycontroller.Quota
	members *daisycontroller.Member
	// follower is nil until startStop has created it. The inbox holds messages from other
	// VMs back until then.
	follower  atomic.Pointer[daisycontroller.Follow]
	forwarder *daisyforward.Forwarder
	callers   *daisycaller.Pipeline
	stop      *daisycontroller.Stop
	// revision is the revision of the configuration in force, 0 if there is none.
	revision atomic.Uint64
	closers  []func()
}

// NewManaged starts a daemon. It fails with daisyerror.Unavailable when it cannot listen
// on an address. On failure it closes all components that were started.
func NewManaged(options ManagedOptions) (*Managed, error) {
	d := &Managed{settings: options.Settings, lastRead: options.Settings, adapter: options.Adapter}
	if options.Adapter.Close != nil {
		d.onClose(options.Adapter.Close)
	}
	steps := []func() error{
		func() error { return d.startLog(options) },
		d.startControllers,
		d.startCallers,
		d.startStop,
		d.startServers,
	}
	for _, s := range steps {
		if err := s(); err != nil {
			d.Close()
			return nil, err
		}
	}
	d.logger.Info("started", "vm", string(d.self.Name), "zone", d.self.Zone.String(), "incarnation", uint64(d.self.Incarnation),
		"callers", d.self.Callers.String(), "peers", d.self.Peers.String(), "store", d.settings.Store.String(),
		"millicores", d.self.Capacity.Millicores, "link-bits-per-second", d.self.Capacity.LinkBitsPerSecond)
	return d, nil
}

// Close stops all components immediately and waits for them; requests in flight are
// aborted. See RequestStop for a planned stop.
func (d *Managed) Close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
	d.closers = nil
}

func (d *Managed) onClose(f func()) { d.closers = append(d.closers, f) }

func (d *Managed) startLog(options ManagedOptions) error {
	log, err := daisylog.New(daisylog.Options{Output: options.Log, Level: options.LogLevel})
	if err != nil {
		return err
	}
	d.log = log
	d.logger = log.Logger()
	d.metrics = daisymetric.New()
	d.onClose(log.Close)
	return nil
}

func (d *Managed) startControllers() error {
	s := d.settings
	d.self = daisyvm.VM{
		Name:        s.VM,
		Incarnation: daisyvm.Incarnation(time.Now().UnixMicro()),
		Zone:        s.Zone,
		Callers:     s.Callers,
		Peers:       s.Peers,
		Capacity:    daisyvm.NewCapacity(s.Cores, s.LinkBitsPerSecond),
	}
	seed := uint64(d.self.Incarnation)
	listener, err := listen("peers", s.Peers)
	if err != nil {
		return err
	}
	d.inbox = daisycontroller.NewInbox()
	d.onClose(d.inbox.Close)
	d.links = daisypeer.NewLinks(daisypeer.Options{
		Self:     d.self,
		Listener: listener,
		Dialer:   daisypeer.TCPDialer{},
		Receiver: d.inbox,
		Logger:   d.logger,
		Seed:     seed,
	})
	d.onClose(d.links.Close)
	d.connectSeeds(s.Seeds)
	d.pool = daisyconnection.NewVerifyingPool(daisyconnection.DefaultLimits(), d.adapter.Dialect)
	d.onClose(d.pool.Close)
	d.routes = daisycontroller.NewRoute(daisycontroller.RouteOptions{
		Self:        d.self,
		Sender:      d.links,
		Prober:      d.adapter.NewProber(d.pool),
		Checker:     d.pool,
		Log:         d.log,
		Metrics:     d.metrics,
		Seed:        seed,
		MaxRequests: maxRequests,
		Policy:      daisyroute.Credits{Lending: daisycredit.OnDemand{}},
		Budget:      retryBudget(s),
		ColdBound:   daisyendpoint.ColdBound{Over: s.ColdOver, Slack: s.ColdSlack},
	})
	d.onClose(d.routes.Close)
	d.quotas = d.newQuota(seed)
	d.onClose(d.quotas.Close)
	d.index = daisycontroller.NewIndex()
	if err := d.startAge(); err != nil {
		return err
	}
	d.members = daisycontroller.NewMember(daisycontroller.MemberOptions{
		Self:      d.self,
		Linker:    d.links,
		List:      daisyplatform.NewMeteredVMs(d.adapter.VMs, d.metrics),
		Peers:     []daisycontroller.PeerApplier{d.routes, d.quotas, poolPeers{d.pool}, feedPeers{d}},
		Listed:    d.quotas,
		Spare:     routeSpare{d.routes},
		Logger:    d.logger,
		Age:       d.age,
		AnswerTTL: min(directoryMaxAge, s.AnswerTTL),
		// VMs discover each other through the seeds and notify each other of new VMs, so
		// the list is needed less often.
		ListInterval:    vmListInterval,
		MaxListInterval: maxVMListInterval,
		FirstListDelay:  d.firstReadDelay(),
		Seed:            seed,
	})
	d.onClose(d.members.Close)
	return nil
}

// firstReadDelay returns how long this VM leaves the first reads of the store to others.
func (d *Managed) firstReadDelay() time.Duration {
	return daisyfeed.FirstReadDelay(d.settings.ColdStart && len(d.settings.Seeds) > 0, slices.Contains(d.settings.Seeds, d.settings.Peers))
}

// connectSeeds connects to the given VMs, except this one.
func (d *Managed) connectSeeds(seeds []netip.AddrPort) {
	for _, a := range seeds {
		if a != d.settings.Peers {
			d.links.Connect(daisyvm.VM{Peers: a})
		}
	}
}

func (d *Managed) startCallers() error {
	listener, err := listen("callers", d.settings.Callers)
	if err != nil {
		return err
	}
	limits := daisyforward.DefaultLimits()
	d.forwarder = daisyforward.New(daisyforward.Options{
		Self:    d.self.Name,
		Routes:  d.routes,
		Pool:    d.pool,
		Limits:  limits,
		Dialect: d.adapter.Dialect,
		Log:     d.log,
		Metrics: d.metrics,
	})
	d.onClose(d.forwarder.Close)
	chain := daisyfilter.NewChain(daisyfilter.Options{
		Forwarder: d.forwarder,
		Problems:  d.adapter.Dialect,
		Log:       d.log,
		Metrics:   d.metrics,
		Filters: []daisyfilter.Filter{
			daisyfilter.NewAdmit(maxRequests),
			daisyfilter.RejectUnsupported{},
			daisyfilter.AwaitConfiguration{Configuration: d.index, Until: time.Now().Add(daisyfilter.ConfigurationWait), Age: d.ageBound()},
			daisyfilter.Match{Timeouts: daisycontroller.NewTimeout(), Reader: d.adapter.Dialect},
			daisyfilter.Authenticate{Reader: d.adapter.Dialect, MaxAge: d.settings.PropagationTime, Age: d.ageBound()},
			d.newRequireCurrent(),
			daisyfilter.Quota{Tokens: d.quotas},
		},
	})
	d.callers = daisycaller.NewPipeline(daisycaller.PipelineOptions{
		Listener: listener,
		Handler:  chain,
		Limits:   d.callerLimits(daisyconfig.CallerLimits{}),
		Logger:   d.logger,
	})
	d.onClose(d.callers.Close)
	return nil
}

// callerLimits returns the limits for callers. Declared limits override the defaults.
func (d *Managed) callerLimits(declared daisyconfig.CallerLimits) daisycaller.Limits {
	limits := daisycaller.DefaultLimits()
	if n := d.settings.MaxFileDescriptors; n > 2*reservedDescriptors {
		limits.MaxConnections = min(limits.MaxConnections, (n-reservedDescriptors)/2)
	}
	if declared.HeaderBytes > 0 {
		limits.MaxHeaderBytes = declared.HeaderBytes
	}
	if declared.BodyBytes > 0 {
		limits.MaxBodyBytes = declared.BodyBytes
	}
	if declared.HeaderTime > 0 {
		limits.HeaderTimeout = declared.HeaderTime
	}
	if declared.IdleTime > 0 {
		limits.IdleTimeout = declared.IdleTime
	}
	return limits
}

func (d *Managed) startStop() error {
	d.stop = daisycontroller.NewStop(daisycontroller.StopOptions{
		Member:   d.members,
		Mode:     daisystop.Within{Grace: d.settings.GracePeriod, AcceptAll: d.settings.AcceptAll},
		Sender:   d.links,
		Callers:  d.callers,
		Requests: d.routes,
		Logger:   d.logger,
	})
	d.onClose(d.stop.Close)
	follow := daisycontroller.NewFollow(daisycontroller.FollowOptions{
		Self:     d.self.Name,
		Feeds:    meteredFeeds{d.adapter.Feeds, d.metrics},
		Decoder:  d.adapter.Decoder,
		Sender:   d.links,
		Member:   d.members,
		Appliers: []daisycontroller.Applier{d.pool, d.routes, d.quotas, d.index, d.members, managedReadiness{d}},
		Index:    d.index,
		Age:      d.age,
		Logger:   d.logger,

		FirstReadDelay: d.firstReadDelay(),
	})
	d.onClose(follow.Close)
	d.follower.Store(follow)
	d.inbox.Attach(daisycontroller.Receivers{Member: d.members, Follow: follow, Route: d.routes, Quota: d.quotas, Stopper: d.stop})
	return nil
}

// feedPeers notifies the Follow controller of the VMs that share the reading of the store.
// The Member controller starts earlier, and repeats the notification with each change.
type feedPeers struct{ daemon *Managed }

// SetPeers passes the VMs to the Follow controller, if it exists.
func (p feedPeers) SetPeers(vms, leaving []daisyvm.VM) {
	if f := p.daemon.follower.Load(); f != nil {
		f.SetPeers(vms, leaving)
	}
}

// managedReadiness marks the VM as ready when a configuration is in force. It is the last
// of the appliers, so all others have applied the configuration by then.
type managedReadiness struct{ daemon *Managed }

// Apply sets the limits for callers and marks the VM as ready.
func (r managedReadiness) Apply(snapshot *daisyconfig.Snapshot) {
	d := r.daemon
	for _, f := range snapshot.Intent.Fleets {
		d.callers.SetLimits(d.callerLimits(f.CallerLimits))
	}
	d.revision.Store(uint64(snapshot.Revision))
	d.members.SetReady(true)
}

func (d *Managed) ready() bool {
	return d.index.Current() != nil && d.stop.Phase() == daisystop.Serving
}

func (d *Managed) startServers() error {
	d.addMetrics()
	servers := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"readiness", d.settings.Readiness, d.adapter.NewReadiness(d.ready)},
		{"directory", d.settings.Directory, d.adapter.NewDirectory(d.members)},
		{"metrics", d.settings.Metrics, http.HandlerFunc(d.writeMetrics)},
	}
	for _, s := range servers {
		if !s.address.IsValid() {
			continue
		}
		listener, err := listen(s.name, s.address)
		if err != nil {
			return err
		}
		d.onClose(newOperatorServer(listener, s.handler).Close)
	}
	return nil
}

// addMetrics registers the metrics of the log, the links, the connections to endpoints and
// the configuration.
func (d *Managed) addMetrics() {
	addLogMetrics(d.metrics, d.log)
	addLinkMetrics(d.metrics, d.links)
	d.addAgeMetrics()
	addEvacuationMetrics(d.metrics, d.routes)
	d.metrics.AddGauge("daisyyoke_endpoint_connections", connectionsHelp, func() float64 { return float64(d.pool.Connections()) })
	d.metrics.AddGauge("daisyyoke_store_era", "Times that the platform's store says it was restored, as last known.", func() float64 { return float64(d.members.StoreEra()) })
	d.metrics.AddGauge("daisyyoke_lending_load", "Share of the VM's processor that lending slots to other VMs takes, estimated; 0 without settings of its capacity.", d.routes.LendingLoad)
	d.metrics.AddGauge("daisyyoke_configuration_revision", revisionHelp, func() float64 { return float64(d.revision.Load()) })
}

func (d *Managed) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if err := d.metrics.WritePrometheus(w); err != nil {
		d.logger.Info("failed to write metrics", "cause", err)
	}
}

// Reload reads the settings and connects to the seeds that they name; by names what caused
// it. The listen addresses, the grace period and the retry budget remain those of the start.
func (d *Managed) Reload(by string) {
	settings, err := d.adapter.ReadSettings()
	if err != nil {
		d.logger.Error("failed to reload settings; keeping the current ones", "by", by, "error", err)
		return
	}
	d.lastRead = settings
	d.logger.Info("settings reloaded", "by", by, "seeds", len(settings.Seeds))
	d.connectSeeds(settings.Seeds)
}

// RequestStop starts a planned stop; by names who requested it. The channel that Stopped
// returns is closed at its end.
func (d *Managed) RequestStop(by string) { d.stop.RequestStop(by) }

// Stopped returns a channel that is closed when a planned stop has finished all requests
// or its grace period is over.
func (d *Managed) Stopped() <-chan struct{} { return d.stop.Finished() }

// Run blocks until a planned stop is complete; the end of ctx starts one. It reloads the
// settings for each value from reload, and when a periodic check finds them changed.
func (d *Managed) Run(ctx context.Context, reload <-chan os.Signal) {
	done := ctx.Done()
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			d.RequestStop("signal")
			done = nil
		case <-reload:
			d.Reload("signal")
		case <-ticker.C:
			if s, err := d.adapter.ReadSettings(); err == nil && !reflect.DeepEqual(s, d.lastRead) {
				d.Reload("changed")
			}
		case <-d.Stopped():
			d.logger.Info("stopped", "vm", string(d.self.Name))
			return
		}
	}
}
