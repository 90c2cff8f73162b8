// Package daisydaemon assembles the daemon of one entry VM.
package daisydaemon

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycaller"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyforward"
	"daisyyoke/io/daisylog"
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisypeer"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysetting"
)

// Options are the dependencies and settings of a Daemon.
type Options struct {
	Settings daisysetting.Settings
	// Platform replaces the platform named by the settings, so that several daemons in
	// one process can share an embedded platform; nil uses the settings.
	Platform daisyplatform.Platform
	// Log is the destination of the log, which is written as JSON lines.
	Log io.Writer
}

// Daemon runs one entry VM. Its components are closed in the reverse order of their start.
type Daemon struct {
	settings daisysetting.Settings
	self     daisyvm.VM
	platform daisyplatform.Platform

	access    access
	log       *daisylog.Log
	logger    hclog.Logger
	metrics   *daisymetric.Metrics
	listeners listeners
	inbox     *daisycontroller.Inbox
	links     *daisypeer.Links
	pool      *daisyconnection.Pool
	routes    *daisycontroller.Route
	index     *daisycontroller.Index
	members   *daisycontroller.Member
	config    *daisycontroller.Config
	plans     *daisycontroller.Plan
	forwarder *daisyforward.Forwarder
	callers   *daisycaller.Server
	operators *operatorServer
	stop      *daisycontroller.Stop
	closers   []func()

	// applied is closed by appliedOnce when the first configuration is in force.
	applied     chan struct{}
	appliedOnce sync.Once
}

// New starts a daemon. It fails with daisyerror.InvalidSetting when a setting cannot be
// used, and with daisyerror.Unavailable when it cannot listen on an address. On failure
// it closes all components that were started.
func New(ctx context.Context, options Options) (*Daemon, error) {
	d := &Daemon{settings: options.Settings, platform: options.Platform, applied: make(chan struct{})}
	steps := []func() error{
		func() error { return d.startLog(options.Log) },
		d.loadAccess,
		d.listen,
		d.initPlatform,
		d.startControllers,
		d.startCallers,
		d.startStop,
		d.startOperators,
		func() error { return d.confirmInitialIntent(ctx) },
	}
	for _, s := range steps {
		if err := s(); err != nil {
			d.Close()
			return nil, err
		}
	}
	d.logger.Info("started", "vm", d.self.Name, "callers", d.listeners.callersAddress(), "operators", d.listeners.operatorsAddress())
	return d, nil
}

// Close stops all components immediately and waits for them; requests in flight are
// aborted. See RequestStop for a planned stop.
func (d *Daemon) Close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
	d.closers = nil
	d.listeners.close()
}

// onClose registers a function that Close calls. Close calls the last one first.
func (d *Daemon) onClose(f func()) { d.closers = append(d.closers, f) }

func (d *Daemon) startLog(w io.Writer) error {
	log, err := daisylog.New(daisylog.Options{Output: w, Level: d.settings.LogLevel.String()})
	if err != nil {
		return err
	}
	d.log = log
	d.logger = log.Logger()
	d.metrics = daisymetric.New()
	d.onClose(log.Close)
	return nil
}

func (d *Daemon) listen() error {
	err := d.listeners.open(d.settings)
	if err != nil {
		return err
	}
	d.self = daisyvm.VM{
		Name:        d.settings.VM,
		Incarnation: daisyvm.Incarnation(time.Now().UnixMicro()),
		Zone:        d.settings.Zone,
		Callers:     withPort(d.settings.Advertise, d.listeners.callersAddress()),
		Peers:       d.listeners.peersAddress(),
	}
	return nil
}

// withPort returns address, with the port of the listener in place of port 0.
func withPort(address, listener netip.AddrPort) netip.AddrPort {
	if address.Port() != 0 {
		return address
	}
	return netip.AddrPortFrom(address.Addr(), listener.Port())
}

// confirmInitialIntent confirms the intent file named by the settings, if any, and waits
// until a configuration is in force.
func (d *Daemon) confirmInitialIntent(ctx context.Context) error {
	embedded, ok := d.settings.Platform.(daisysetting.EmbeddedPlatform)
	if !ok || embedded.IntentFile == "" {
		return nil
	}
	intent, err := readIntent(embedded.IntentFile)
	if err != nil {
		return err
	}
	if err := d.plans.ConfirmFirst(ctx, intent, "start"); err != nil {
		return err
	}
	select {
	case <-d.applied:
		return nil
	case <-ctx.Done():
		return daisyerror.Unavailable.Wrap(ctx.Err(), "waiting for the initial configuration to be in force")
	}
}

// Callers returns the address of the listener for callers.
func (d *Daemon) Callers() netip.AddrPort { return d.listeners.callersAddress() }

// Operators returns the address of the listener for operators.
func (d *Daemon) Operators() netip.AddrPort { return d.listeners.operatorsAddress() }

// InForce returns the configuration in force, or nil if there is none.
func (d *Daemon) InForce() *daisyconfig.Snapshot { return d.config.InForce() }

// listeners are the listening sockets of a Daemon.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	// peers is nil on a standalone VM.
	peers net.Listener
}

func (l *listeners) open(s daisysetting.Settings) error {
	var err error
	if l.callers, err = listen("callers", s.Callers); err != nil {
		return err
	}
	if l.operators, err = listen("operators", s.Operators); err != nil {
		return err
	}
	if !s.Peers.IsValid() {
		return nil
	}
	l.peers, err = listen("peers", s.Peers)
	return err
}

func listen(flag string, address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, daisyerror.Unavailable.Wrap(err, "--%s: cannot listen on %s", flag, address)
	}
	return listener, nil
}

func (l *listeners) callersAddress() netip.AddrPort   { return addressOf(l.callers) }
func (l *listeners) operatorsAddress() netip.AddrPort { return addressOf(l.operators) }
func (l *listeners) peersAddress() netip.AddrPort     { return addressOf(l.peers) }

func addressOf(l net.Listener) netip.AddrPort {
	if l == nil {
		return netip.AddrPort{}
	}
	address, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return address.AddrPort()
}

func (l *listeners) close() {
	for _, s := range []net.Listener{l.callers, l.operators, l.peers} {
		if s != nil {
			_ = s.Close()
		}
	}
}
