package daisypeer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyvm"
)

const (
	dialTimeout = 2 * time.Second
	// minRetryInterval and maxRetryInterval are the shortest and the longest interval between
	// attempts to dial.
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = 5 * time.Second
	// higherNameDialDelay is the minimum time that the VM with the higher name waits before it
	// dials, so that two VMs that start together rarely open two connections. A random time
	// of up to the same length is added.
	higherNameDialDelay = 200 * time.Millisecond
	// socketWriteBufferBytes is the size of the write buffer of a socket. It limits how much
	// data in the kernel an urgent message has to wait for.
	socketWriteBufferBytes = 64 << 10
)

// TCPDialer is a Dialer that uses TCP without TLS.
type TCPDialer struct{}

// Dial opens a TCP connection. It fails with Broken.
func (TCPDialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, Broken.Wrap(err, "cannot dial %s", address)
	}
	return conn, nil
}

// configureSocket disables the Nagle algorithm and limits the write buffer of the socket, also
// of a socket under a TLS connection.
func configureSocket(conn net.Conn) {
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn()
	}
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetNoDelay(true)
		_ = t.SetWriteBuffer(socketWriteBufferBytes)
	}
}

// Connect dials a VM whenever there is no link to it, until Forget is called. If the
// address of the VM has changed since an earlier call, the new address replaces the old one.
func (s *Links) Connect(vm daisyvm.VM) {
	if vm.Name == s.options.Self.Name {
		return
	}
	s.startDialer(vm.Name, vm.Peers)
}

// ConnectSeed dials an address whenever there is no link to it, for a VM whose name is not
// known yet. It stops if the peer uses this VM's name, as it does at this VM's own address.
func (s *Links) ConnectSeed(address netip.AddrPort) {
	s.startDialer("", address)
}

// Forget stops dialing a VM. It does not close an open link.
func (s *Links) Forget(name daisyvm.Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.dialers[name]; d != nil {
		d.cancel()
		delete(s.dialers, name)
	}
}

func (s *Links) startDialer(name daisyvm.Name, address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if d := s.dialers[name]; name != "" && d != nil {
		if d.address == address {
			return
		}
		d.cancel()
	}
	d := newDialer(s, name, address)
	if name != "" {
		s.dialers[name] = d
	}
}

// dialer opens a link to one VM, and opens it again after it has closed. The name is empty
// for a seed.
type dialer struct {
	links   *Links
	name    daisyvm.Name
	address netip.AddrPort
	ctx     context.Context
	cancel  context.CancelFunc
}

func newDialer(s *Links, name daisyvm.Name, address netip.AddrPort) *dialer {
	d := &dialer{links: s, name: name, address: address}
	d.ctx, d.cancel = context.WithCancel(s.ctx)
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(daisyvm.VM{Name: name}.Digest())))
	s.goroutines.Go(func() {
		defer d.cancel()
		if s.options.Self.Name > name && name != "" {
			d.sleep(higherNameDialDelay + time.Duration(random.Int64N(int64(higherNameDialDelay))))
		}
		d.run()
	})
	return d
}

func (d *dialer) run() {
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval = minRetryInterval
	intervals.MaxInterval = maxRetryInterval
	for d.ctx.Err() == nil {
		l := d.currentLink()
		if l != nil {
			intervals.Reset()
			d.waitUntilClosed(l)
			d.sleep(intervals.NextBackOff())
			continue
		}
		if errorx.IsOfType(d.dial(), WrongVM) && d.name == "" {
			return
		}
		d.sleep(intervals.NextBackOff())
	}
}

func (d *dialer) currentLink() *link {
	if d.name == "" {
		return d.links.linkToAddress(d.address)
	}
	return d.links.linkTo(d.name)
}

func (d *dialer) waitUntilClosed(l *link) {
	select {
	case <-l.done:
	case <-d.ctx.Done():
	}
}

func (d *dialer) sleep(t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.ctx.Done():
	}
}

func (d *dialer) dial() error {
	ctx, cancel := context.WithTimeout(d.ctx, dialTimeout)
	defer cancel()
	conn, err := d.links.options.Dialer.Dial(ctx, d.address)
	if err != nil {
		return err
	}
	_, err = d.links.openLink(conn, &expectedPeer{name: d.name})
	if err != nil {
		d.links.options.Logger.Debug("failed to open link", "address", d.address.String(), "cause", err.Error())
	}
	return err
}
