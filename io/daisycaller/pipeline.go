package daisycaller

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/net/netutil"

	"daisyyoke/core/daisyerror"
)

// PipelineOptions are the dependencies and settings of a Pipeline.
type PipelineOptions struct {
	// Listener is owned and closed by the pipeline.
	Listener net.Listener
	Handler  http.Handler
	Limits   Limits
	// Logger logs rejected requests and a failure of the listener; nil disables logging.
	Logger hclog.Logger
}

// Pipeline is an HTTP/1.1 server for callers. Unlike http.Server it handles the
// pipelined requests of a connection concurrently, answers them in order, and detects
// that a caller has disconnected even if pipelined requests of it are still unread.
type Pipeline struct {
	listener net.Listener
	handler  http.Handler
	logger   hclog.Logger
	limits   atomic.Pointer[Limits]
	leaving  atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc

	mu          sync.Mutex
	closed      bool
	connections map[*connection]struct{}
	// connectionsDone waits for the connections. acceptDone is closed when the goroutine
	// that accepts them has returned.
	connectionsDone sync.WaitGroup
	acceptDone      chan struct{}
	accepts         sync.WaitGroup
}

// pendingAcceptTime is how long Shutdown accepts connections that the kernel has established
// already: closing the listener resets them, with the requests that their callers have sent.
const pendingAcceptTime = 20 * time.Millisecond

// NewPipeline starts a server on the listener.
func NewPipeline(options PipelineOptions) *Pipeline {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	p := &Pipeline{
		listener:    options.Listener,
		handler:     options.Handler,
		logger:      options.Logger,
		connections: make(map[*connection]struct{}),
		acceptDone:  make(chan struct{}),
	}
	p.limits.Store(&options.Limits)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	limited := netutil.LimitListener(options.Listener, options.Limits.MaxConnections)
	p.accepts.Go(func() {
		defer close(p.acceptDone)
		for {
			conn, err := limited.Accept()
			if err != nil {
				if p.accepting() {
					p.logger.Error("listener for callers failed", "error", err)
				}
				return
			}
			p.serve(conn)
		}
	})
	return p
}

func (p *Pipeline) accepting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && !p.leaving.Load()
}

func (p *Pipeline) serve(conn net.Conn) {
	c := newConnection(p, conn)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		_ = conn.Close()
		return
	}
	p.connections[c] = struct{}{}
	p.connectionsDone.Go(func() {
		c.run()
		p.mu.Lock()
		delete(p.connections, c)
		p.mu.Unlock()
	})
	p.mu.Unlock()
}

// SetLimits sets the limits for new requests and connections. The maximum number of
// connections stays the one that the pipeline was created with.
func (p *Pipeline) SetLimits(limits Limits) { p.limits.Store(&limits) }

// Address returns the address of the listener.
func (p *Pipeline) Address() netip.AddrPort {
	address, err := netip.ParseAddrPort(p.listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// SetLeaving sets whether a planned stop is in progress. During a planned stop requests
// are still served, and their responses close the connection.
func (p *Pipeline) SetLeaving(leaving bool) { p.leaving.Store(leaving) }

// Shutdown stops accepting connections and requests and waits for the requests in
// flight. When the context ends first, it aborts the remaining requests and fails with
// daisyerror.Unknown.
func (p *Pipeline) Shutdown(ctx context.Context) error {
	p.SetLeaving(true)
	p.acceptPending()
	_ = p.listener.Close()
	p.mu.Lock()
	for c := range p.connections {
		c.closeGracefully()
	}
	p.mu.Unlock()
	done := make(chan struct{})
	var waiter sync.WaitGroup
	waiter.Go(func() {
		p.connectionsDone.Wait()
		close(done)
	})
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = daisyerror.Unknown.Wrap(ctx.Err(), "aborted the requests in flight")
	}
	p.Close()
	waiter.Wait()
	return err
}

// acceptPending accepts what is left in the backlog of the listener.
func (p *Pipeline) acceptPending() {
	l, ok := p.listener.(interface{ SetDeadline(time.Time) error })
	if !ok || l.SetDeadline(time.Now().Add(pendingAcceptTime)) != nil {
		return
	}
	// At the maximum number of connections, accepting goes on only when one is closed.
	timer := time.NewTimer(2 * pendingAcceptTime)
	defer timer.Stop()
	select {
	case <-p.acceptDone:
	case <-timer.C:
	}
}

// Close aborts the requests in flight and waits until all connections are closed.
func (p *Pipeline) Close() {
	p.mu.Lock()
	p.closed = true
	p.cancel()
	_ = p.listener.Close()
	for c := range p.connections {
		_ = c.conn.Close()
	}
	p.mu.Unlock()
	p.accepts.Wait()
	p.connectionsDone.Wait()
}
