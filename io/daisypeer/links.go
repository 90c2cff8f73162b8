// Package daisypeer connects VMs with each other. Each pair of VMs shares one yamux session
// over TCP or mutual TLS, which carries messages as protobuf frames.
//
// Delivery is not guaranteed: each link has bounded queues, and the oldest message is
// dropped when a queue is full. Sending never blocks, even if a peer is slow or paused.
package daisypeer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
)

// Receiver handles the events of links. Its methods are called by several goroutines and
// must not block for long. The urgent messages of one link are passed on in order.
type Receiver interface {
	// LinkOpened is called when a link to vm has opened, so that messages can be sent to it.
	LinkOpened(vm daisyvm.VM)
	// Receive is called with each message that arrives; from is the VM that sent it.
	Receive(from daisyvm.Name, message daisymessage.Message)
}

// Dialer opens connections to other VMs.
type Dialer interface {
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// Options are the settings and dependencies of Links.
type Options struct {
	Self daisyvm.VM
	// Listener accepts the connections of other VMs. Close closes it.
	Listener net.Listener
	Dialer   Dialer
	Receiver Receiver
	Logger   hclog.Logger
	// Seed makes the random delays before dialing reproducible.
	Seed uint64
}

// maxHandshakes is the maximum number of accepted connections whose peers have not been
// identified yet.
const maxHandshakes = 64

// Links manages the links of a VM to all others.
type Links struct {
	options Options
	// epoch is the time that the times in this VM's heartbeats are relative to.
	epoch      time.Time
	counters   counters
	compressor rowCompressor
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// handshakes is a semaphore that holds a value for each accepted connection whose
	// handshake is in progress.
	handshakes chan struct{}

	mu      sync.RWMutex
	closed  bool
	links   map[daisyvm.Name]*link
	dialers map[daisyvm.Name]*dialer
}

// NewLinks returns Links that accept connections from other VMs until Close is called.
func NewLinks(options Options) *Links {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	s := &Links{
		options:    options,
		epoch:      time.Now(),
		handshakes: make(chan struct{}, maxHandshakes),
		links:      make(map[daisyvm.Name]*link),
		dialers:    make(map[daisyvm.Name]*dialer),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.goroutines.Go(s.accept)
	return s
}

// Close closes the listener and all links, and waits for all goroutines to return.
func (s *Links) Close() {
	s.mu.Lock()
	s.closed = true
	s.cancel()
	_ = s.options.Listener.Close()
	links := make([]*link, 0, len(s.links))
	for _, l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		// One after the other, peers that accept no data would delay the exit for long.
		s.goroutines.Go(func() { l.shutDown(daisyerror.Closed.New("links closed")) })
	}
	s.goroutines.Wait()
}

// Send queues a message for a VM without blocking. The message is dropped and counted if
// there is no link to the VM.
func (s *Links) Send(to daisyvm.Name, message daisymessage.Message) {
	s.mu.RLock()
	l := s.links[to]
	s.mu.RUnlock()
	if l == nil || l.enqueue(message) {
		s.counters.dropped.Add(1)
	}
}

// LinkedVMs returns the VMs with an open link, sorted by name.
func (s *Links) LinkedVMs() []daisyvm.VM {
	s.mu.RLock()
	defer s.mu.RUnlock()
	vms := make([]daisyvm.VM, 0, len(s.links))
	for _, l := range s.links {
		vms = append(vms, l.peer.vm)
	}
	slices.SortFunc(vms, daisyvm.CompareNames)
	return vms
}

func (s *Links) accept() {
	for {
		conn, err := s.options.Listener.Accept()
		if s.ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			s.sleep(acceptRetryDelay)
			continue
		}
		select {
		case s.handshakes <- struct{}{}:
			s.goroutines.Go(func() {
				defer func() { <-s.handshakes }()
				s.recordRefusal(s.openLink(conn, nil))
			})
		default:
			s.counters.refused.Add(1)
			_ = conn.Close()
		}
	}
}

// acceptRetryDelay is the delay after a failure to accept a connection, for instance when
// the process has run out of file descriptors.
const acceptRetryDelay = 100 * time.Millisecond

func (s *Links) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

// recordRefusal counts and logs an accepted connection that did not become a link.
func (s *Links) recordRefusal(_ *link, err error) {
	if err == nil {
		return
	}
	s.counters.refused.Add(1)
	s.options.Logger.Warn("peer connection refused", "cause", err.Error())
}

// openLink performs the handshake on a connection and opens a link over it. For an accepted
// connection expected is nil; for a dialed one it identifies the VM that was dialed.
func (s *Links) openLink(conn net.Conn, expected *expectedPeer) (*link, error) {
	unblock := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer unblock()
	configureSocket(conn)
	own := hello{version: Version, vm: s.options.Self, epoch: s.epoch}
	peer, err := exchangeHellos(conn, own)
	if err == nil {
		err = s.checkPeer(peer, expected)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	dialer := peer.vm.Name
	if expected != nil {
		dialer = s.options.Self.Name
	}
	return s.register(conn, peer, dialer, expected != nil)
}

// expectedPeer identifies the VM that a connection was dialed to. An empty name matches any
// VM.
type expectedPeer struct{ name daisyvm.Name }

func (s *Links) checkPeer(peer hello, expected *expectedPeer) error {
	if peer.vm.Name == s.options.Self.Name {
		return WrongVM.New("peer uses this VM's name %q", peer.vm.Name)
	}
	if expected != nil && expected.name != "" && expected.name != peer.vm.Name {
		return WrongVM.New("peer is VM %q, but VM %q was dialed", peer.vm.Name, expected.name)
	}
	return nil
}

// register opens a link over a connection, in place of the existing link to the same VM if
// there is one. It fails with Outdated if the existing link is preferred.
func (s *Links) register(conn net.Conn, peer hello, dialer daisyvm.Name, dialed bool) (*link, error) {
	s.mu.Lock()
	existing := s.links[peer.vm.Name]
	if s.closed || existing != nil && !s.prefers(peer, dialer, existing) {
		s.mu.Unlock()
		_ = conn.Close()
		return nil, Outdated.New("already linked to VM %q", peer.vm.Name)
	}
	l, err := newLink(s, conn, peer, dialer, dialed)
	if err != nil {
		s.mu.Unlock()
		_ = conn.Close()
		return nil, err
	}
	s.links[peer.vm.Name] = l
	if existing != nil {
		existing.replaced = true
	}
	s.goroutines.Go(l.wait)
	s.mu.Unlock()
	if existing != nil {
		existing.shutDown(Outdated.New("replaced"))
	}
	s.options.Logger.Info("link opened", "vm", string(peer.vm.Name), "incarnation", uint64(peer.vm.Incarnation), "dialed", dialed)
	s.options.Receiver.LinkOpened(peer.vm)
	return l, nil
}

// prefers reports whether a new connection is preferred to an existing link to the same VM.
// Both VMs choose alike: the later incarnation is preferred, then the connection dialed by
// the VM with the lower name, then the newer connection.
func (s *Links) prefers(peer hello, dialer daisyvm.Name, existing *link) bool {
	if peer.vm.Incarnation != existing.peer.vm.Incarnation {
		return peer.vm.Incarnation > existing.peer.vm.Incarnation
	}
	return dialer == existing.dialer || dialer < existing.dialer
}

// removeLink removes a link and logs the cause. Calls after the first have no effect.
func (s *Links) removeLink(l *link, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-l.done:
		return
	default:
	}
	close(l.done)
	if s.links[l.peer.vm.Name] == l {
		delete(s.links, l.peer.vm.Name)
	}
	s.options.Logger.Info("link closed", "vm", string(l.peer.vm.Name), "cause", cause.Error(), "replaced", l.replaced)
}

func (s *Links) linkTo(name daisyvm.Name) *link {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.links[name]
}

func (s *Links) linkToAddress(address netip.AddrPort) *link {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, l := range s.links {
		if l.peer.vm.Peers == address {
			return l
		}
	}
	return nil
}

// Counts are totals since the start of the process.
type Counts struct {
	// Sent and Received count messages; Batches counts the batches in which they were sent.
	Sent, Received, Batches uint64
	// Dropped counts messages that were not sent because there was no link, the queue was
	// full, or the message was oversized.
	Dropped uint64
	// Ignored counts received messages of types that a later version added.
	Ignored uint64
	// Refused counts accepted connections that did not become links.
	Refused uint64
	// BytesSent and BytesReceived exclude hellos and the overhead of TLS and TCP.
	BytesSent, BytesReceived uint64
}

type counters struct {
	sent, received, batches, dropped, ignored, refused, bytesSent, bytesReceived atomic.Uint64
}

// Counts returns the totals of all links.
func (s *Links) Counts() Counts {
	c := &s.counters
	return Counts{
		Sent:          c.sent.Load(),
		Received:      c.received.Load(),
		Batches:       c.batches.Load(),
		Dropped:       c.dropped.Load(),
		Ignored:       c.ignored.Load(),
		Refused:       c.refused.Load(),
		BytesSent:     c.bytesSent.Load(),
		BytesReceived: c.bytesReceived.Load(),
	}
}
