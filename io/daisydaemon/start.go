package daisydaemon

import (
	"net/url"
	"os"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycaller"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyfilter"
	"daisyyoke/io/daisyforward"
	"daisyyoke/io/daisyintent"
	"daisyyoke/io/daisyload"
	"daisyyoke/io/daisypeer"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysetting"
)

// maxRequests is the maximum number of concurrent requests of a VM.
const maxRequests = 20_000

func (d *Daemon) initPlatform() error {
	if d.platform == nil {
		if err := d.createPlatform(); err != nil {
			return err
		}
	}
	d.platform = daisyplatform.NewMetered(d.platform, d.metrics)
	return nil
}

func (d *Daemon) createPlatform() error {
	switch p := d.settings.Platform.(type) {
	case daisysetting.EmbeddedPlatform:
		d.platform = daisyplatform.NewEmbedded()
	case daisysetting.RemotePlatform:
		base, err := url.Parse(p.URL)
		if err != nil {
			return daisyerror.InvalidSetting.Wrap(err, "--platform %q", p.URL)
		}
		d.platform = daisyplatform.NewClient(*base, nil)
	}
	return nil
}

func (d *Daemon) startControllers() error {
	seed := uint64(d.self.Incarnation)
	d.inbox = daisycontroller.NewInbox()
	d.onClose(d.inbox.Close)
	d.startLinks(seed)
	d.pool = daisyconnection.NewVerifyingPool(daisyconnection.DefaultLimits(), daisyforward.NewNative(d.self.Name))
	d.onClose(d.pool.Close)
	d.routes = daisycontroller.NewRoute(daisycontroller.RouteOptions{
		Self:        d.self,
		Sender:      d.linker(),
		Prober:      daisyload.NewProber(d.pool),
		Checker:     d.pool,
		Log:         d.log,
		Metrics:     d.metrics,
		Seed:        seed,
		MaxRequests: maxRequests,
	})
	d.onClose(d.routes.Close)
	d.members = daisycontroller.NewMember(daisycontroller.MemberOptions{
		Self:   d.self,
		Linker: d.linker(),
		List:   d.platform,
		Peers:  []daisycontroller.PeerApplier{d.routes, poolPeers{d.pool}},
		Spare:  routeSpare{d.routes},
		Logger: d.logger,
		Seed:   seed,
	})
	d.onClose(d.members.Close)
	d.index = daisycontroller.NewIndex()
	d.config = daisycontroller.NewConfig(daisycontroller.ConfigOptions{
		Self:     d.self,
		Platform: d.platform,
		Sender:   d.linker(),
		Appliers: []daisycontroller.Applier{d.routes, d.pool, d.index, d.members, readiness{daemon: d}},
		Logger:   d.logger,
		Seed:     seed,
	})
	d.onClose(d.config.Close)
	d.metrics.AddGauge("daisyyoke_configuration_revision", revisionHelp, func() float64 { return float64(d.config.Revision()) })
	d.plans = daisycontroller.NewPlan(daisycontroller.PlanOptions{
		Self:     d.self,
		Platform: d.platform,
		Config:   d.config,
		Logger:   d.logger,
		Seed:     seed,
	})
	d.onClose(d.plans.Close)
	return nil
}

func (d *Daemon) startLinks(seed uint64) {
	if d.listeners.peers == nil {
		return
	}
	d.links = daisypeer.NewLinks(daisypeer.Options{
		Self:     d.self,
		Listener: d.access.peerListener(d.listeners.peers),
		Dialer:   d.access.peerDialer(),
		Receiver: d.inbox,
		Logger:   d.logger,
		Seed:     seed,
	})
	d.onClose(d.links.Close)
	addLinkMetrics(d.metrics, d.links)
	for _, a := range d.settings.Seeds {
		d.links.Connect(daisyvm.VM{Peers: a})
	}
}

// linker returns the links to other VMs, or noLinks on a standalone VM.
func (d *Daemon) linker() daisycontroller.Linker {
	if d.links == nil {
		return noLinks{}
	}
	return d.links
}

func (d *Daemon) startCallers() error {
	limits := daisyforward.DefaultLimits()
	d.forwarder = daisyforward.New(daisyforward.Options{
		Self:    d.self.Name,
		Routes:  d.routes,
		Pool:    d.pool,
		Limits:  limits,
		Log:     d.log,
		Metrics: d.metrics,
	})
	d.onClose(d.forwarder.Close)
	admit := daisyfilter.NewAdmit(maxRequests)
	d.addCallerMetrics(admit)
	chain := daisyfilter.NewChain(daisyfilter.Options{
		Forwarder:    d.forwarder,
		StallTimeout: limits.StallTimeout,
		Log:          d.log,
		Metrics:      d.metrics,
		Filters: []daisyfilter.Filter{
			admit,
			daisyfilter.RejectUnsupported{},
			daisyfilter.Addresses{Source: d.members},
			daisyfilter.AwaitConfiguration{Configuration: d.index, Until: time.Now().Add(daisyfilter.ConfigurationWait)},
			daisyfilter.Identify{},
			daisyfilter.Classify{},
		},
	})
	d.callers = daisycaller.NewServer(daisycaller.Options{
		Listener: d.listeners.callers,
		Handler:  chain,
		Limits:   daisycaller.DefaultLimits(),
		ErrorLog: d.httpErrorLog(),
	})
	d.onClose(d.callers.Close)
	return nil
}

func readIntent(name string) (daisyconfig.Intent, error) {
	file, err := os.Open(name)
	if err != nil {
		return daisyconfig.Intent{}, daisyerror.InvalidSetting.Wrap(err, "--intent")
	}
	defer func() { _ = file.Close() }()
	intent, err := daisyintent.Decode(file)
	if err != nil {
		return daisyconfig.Intent{}, daisyerror.InvalidSetting.Wrap(err, "--intent %s", name)
	}
	return intent, nil
}

// poolPeers passes the number of VMs that share the endpoints to the connection pool.
type poolPeers struct{ pool *daisyconnection.Pool }

// SetPeers sets the number of VMs, including this one and those that are leaving.
func (p poolPeers) SetPeers(vms, leaving []daisyvm.VM) { p.pool.SetVMs(len(vms) + len(leaving)) }

// readiness marks the VM as ready when a configuration is in force. It is the last of the
// appliers, so all others have applied the configuration by then.
type readiness struct{ daemon *Daemon }

// Apply marks the VM as ready. Each service of the configuration has a shard by then.
func (r readiness) Apply(*daisyconfig.Snapshot) {
	r.daemon.members.SetReady(true)
	r.daemon.appliedOnce.Do(func() { close(r.daemon.applied) })
}

// routeSpare provides the total spare capacity of all services.
type routeSpare struct{ routes *daisycontroller.Route }

// Spare returns the number of requests that could be started immediately.
func (s routeSpare) Spare() uint32 { return uint32(max(s.routes.Spare(), 0)) }
