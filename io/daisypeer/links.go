// Package daisypeer links the VMs: one yamux session for each pair, over TCP or
// mutual TLS, that carries messages in protobuf frames.
//
// A message may be lost: each link has a bounded queue, and the oldest message
// goes when it is full. Sending never blocks, however slow or paused a peer is.
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

// Receiver takes what comes in over links. Its methods are called by several
// goroutines, those of one link's urgent messages in order, and must not block for long.
type Receiver interface {
	// LinkOpened says that messages to vm can be sent.
	LinkOpened(vm daisyvm.VM)
	// Receive takes a message of the VM from.
	Receive(from daisyvm.Name, message daisymessage.Message)
}

// Dialer opens connections to other VMs.
type Dialer interface {
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// Options are what Links depend on.
type Options struct {
	Self daisyvm.VM
	// Listener accepts the connections of other VMs; Links close it.
	Listener net.Listener
	Dialer   Dialer
	Receiver Receiver
	Logger   hclog.Logger
	// Seed makes the choice of moments to dial repeatable.
	Seed uint64
}

// handshakeLimit bounds the connections that have not proved who they are.
const handshakeLimit = 64

// Links holds the links of a VM to all others.
type Links struct {
	options Options
	// epoch is what the times in this VM's heartbeats count from.
	epoch  time.Time
	counts counts
	packs  packs
	ctx    context.Context
	cancel context.CancelFunc
	ended  sync.WaitGroup
	// handshakes has a token for each connection without a hello.
	handshakes chan struct{}

	mu      sync.RWMutex
	closed  bool
	links   map[daisyvm.Name]*link
	dialers map[daisyvm.Name]*dialer
}

// NewLinks starts to accept connections.
func NewLinks(options Options) *Links {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	s := &Links{
		options:    options,
		epoch:      time.Now(),
		handshakes: make(chan struct{}, handshakeLimit),
		links:      make(map[daisyvm.Name]*link),
		dialers:    make(map[daisyvm.Name]*dialer),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.ended.Go(s.accept)
	return s
}

// Close closes all links and waits for all that was started.
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
		l.end(daisyerror.Closed.New("links closed"))
	}
	s.ended.Wait()
}

// Send queues a message for a VM without blocking. Without a link it is dropped and counted.
func (s *Links) Send(to daisyvm.Name, message daisymessage.Message) {
	s.mu.RLock()
	l := s.links[to]
	s.mu.RUnlock()
	if l == nil || l.put(message) {
		s.counts.dropped.Add(1)
	}
}

// Linked gives the VMs that a link is open to, by name.
func (s *Links) Linked() []daisyvm.VM {
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
			s.pause(acceptPause)
			continue
		}
		select {
		case s.handshakes <- struct{}{}:
			s.ended.Go(func() {
				defer func() { <-s.handshakes }()
				s.refused(s.open(conn, nil))
			})
		default:
			s.counts.refused.Add(1)
			_ = conn.Close()
		}
	}
}

// acceptPause follows a failure to accept, for instance for want of file descriptors.
const acceptPause = 100 * time.Millisecond

func (s *Links) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

func (s *Links) refused(_ *link, err error) {
	if err == nil {
		return
	}
	s.counts.refused.Add(1)
	s.options.Logger.Warn("peer refused", "cause", err.Error())
}

// open makes a link of a connection. expected is nil for an accepted one, and
// otherwise says whom the connection was dialed to.
func (s *Links) open(conn net.Conn, expected *expectation) (*link, error) {
	unblock := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer unblock()
	limitBuffers(conn)
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

// expectation is whom a connection was dialed to; no name accepts any VM.
type expectation struct{ name daisyvm.Name }

func (s *Links) checkPeer(peer hello, expected *expectation) error {
	if peer.vm.Name == s.options.Self.Name {
		return WrongVM.New("peer has this VM's name %q", peer.vm.Name)
	}
	if expected != nil && expected.name != "" && expected.name != peer.vm.Name {
		return WrongVM.New("peer is %q, dialed %q", peer.vm.Name, expected.name)
	}
	return nil
}

// register puts a link in place, unless the present one to the same VM is better.
func (s *Links) register(conn net.Conn, peer hello, dialer daisyvm.Name, dialed bool) (*link, error) {
	s.mu.Lock()
	old := s.links[peer.vm.Name]
	if s.closed || old != nil && !s.better(peer, dialer, old) {
		s.mu.Unlock()
		_ = conn.Close()
		return nil, Outdated.New("a link to %q stands", peer.vm.Name)
	}
	session, err := newSession(&sessionConn{Conn: conn, counts: &s.counts}, dialed)
	if err != nil {
		s.mu.Unlock()
		_ = conn.Close()
		return nil, err
	}
	l := newLink(s, session, peer, dialer)
	s.links[peer.vm.Name] = l
	if old != nil {
		old.replaced = true
	}
	s.ended.Go(l.wait)
	s.mu.Unlock()
	if old != nil {
		old.end(Outdated.New("replaced"))
	}
	s.options.Logger.Info("link opened", "vm", string(peer.vm.Name), "incarnation", uint64(peer.vm.Incarnation), "dialed", dialed)
	s.options.Receiver.LinkOpened(peer.vm)
	return l, nil
}

// better decides between two links to one VM in the same way on both sides: the
// later incarnation, then the connection dialed by the VM whose name is lower, then the newer one.
func (s *Links) better(peer hello, dialer daisyvm.Name, old *link) bool {
	if peer.vm.Incarnation != old.peer.vm.Incarnation {
		return peer.vm.Incarnation > old.peer.vm.Incarnation
	}
	return dialer == old.dialer || dialer < old.dialer
}

// linkEnded takes a link out of use; only its first call has an effect.
func (s *Links) linkEnded(l *link, cause error) {
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

func (s *Links) find(name daisyvm.Name) *link {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.links[name]
}

func (s *Links) findAddress(address netip.AddrPort) *link {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, l := range s.links {
		if l.peer.vm.Peers == address {
			return l
		}
	}
	return nil
}

// Counts are totals since the start.
type Counts struct {
	// Sent and Received count messages, Batches the writes that they were sent in.
	Sent, Received, Batches uint64
	// Dropped counts messages that had no link, no room in a queue or too great a length.
	Dropped uint64
	// Ignored counts messages of a later version.
	Ignored uint64
	// Refused counts connections that did not become links.
	Refused uint64
	// BytesSent and BytesReceived leave out hellos and what TLS and TCP add.
	BytesSent, BytesReceived uint64
}

type counts struct {
	sent, received, batches, dropped, ignored, refused, bytesSent, bytesReceived atomic.Uint64
}

// Counts gives the totals of all links.
func (s *Links) Counts() Counts {
	c := &s.counts
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
