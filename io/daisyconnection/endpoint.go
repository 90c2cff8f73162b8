package daisyconnection

import (
	"context"
	"net/http"
	"sync"
	"time"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyresponse"
)

// endpoint contains the connections to one endpoint, guarded by its own lock.
type endpoint struct {
	target    Target
	transport *http.Transport
	limits    Limits
	verifier  Verifier

	mu             sync.Mutex
	maxConnections int
	// opening is the number of connections that are being opened. They count
	// towards maxConnections.
	opening int
	// connections is ordered by last use, the most recent one last.
	connections []*connection
	// changed is closed when waiting round trips should try again to acquire a
	// connection. It is nil if none is waiting.
	changed   chan struct{}
	idleTimer *time.Timer
	closed    bool
}

func newEndpoint(target Target, transport *http.Transport, limits Limits, verifier Verifier) *endpoint {
	return &endpoint{target: target, transport: transport, limits: limits, verifier: verifier}
}

// connectionChoice is which connections may carry a request.
type connectionChoice int

const (
	anyConnection connectionChoice = iota
	newConnection
)

func (e *endpoint) setMaxConnections(limit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxConnections = limit
	e.notifyWaiters()
}

func (e *endpoint) connectionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.connections)
}

// acquire returns a connection on which room for one request is reserved. It opens a
// connection if that is allowed, and otherwise waits for one.
func (e *endpoint) acquire(ctx context.Context, choice connectionChoice) (*connection, error) {
	for {
		c, changed, err := e.tryAcquire(choice)
		if err != nil || c != nil {
			return c, err
		}
		if changed == nil {
			return e.open(ctx)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// tryAcquire returns a connection, or a channel to wait on, or neither if the caller
// must open a new connection, which is then already counted in opening.
func (e *endpoint) tryAcquire(choice connectionChoice) (*connection, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, nil, daisyerror.Closed.New("connection pool is closed")
	}
	switch choice {
	case anyConnection:
		if c := e.reserve(); c != nil {
			return c, nil, nil
		}
	case newConnection:
		if !e.mayOpen() {
			e.closeOldestUnused()
		}
	}
	if e.mayOpen() {
		e.opening++
		return nil, nil, nil
	}
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return nil, e.changed, nil
}

// mayOpen reports whether another connection may be opened. HTTP/2 connections are
// opened one at a time, because several waiting requests can share the new one.
func (e *endpoint) mayOpen() bool {
	if len(e.connections)+e.opening >= e.maxConnections {
		return false
	}
	return e.target.Protocol != daisyservice.HTTP2 || e.opening == 0
}

// reserve reserves room for one request on the most recently used connection that
// has room, and returns nil if there is none. It closes the unusable connections that
// it comes across.
func (e *endpoint) reserve() *connection {
	for i := len(e.connections) - 1; i >= 0; i-- {
		c := e.connections[i]
		if c.client.Err() != nil || c.requests == 0 && c.idleTimeout > 0 && !c.lastUsed.IsZero() && time.Since(c.lastUsed) >= c.idleTimeout {
			e.closeAt(i)
			continue
		}
		if e.target.Protocol == daisyservice.HTTP1 && c.requests > 0 {
			continue
		}
		if c.client.Reserve() == nil {
			c.requests++
			return c
		}
		if c.requests == 0 {
			// A connection without requests has room unless it is being closed.
			e.closeAt(i)
		}
	}
	return nil
}

// closeAt removes the connection at index i and closes it.
func (e *endpoint) closeAt(i int) {
	c := e.connections[i]
	e.connections = append(e.connections[:i], e.connections[i+1:]...)
	_ = c.client.Close()
}

// closeOldestUnused makes room for another connection.
func (e *endpoint) closeOldestUnused() {
	for i, c := range e.connections {
		if c.requests == 0 {
			e.closeAt(i)
			return
		}
	}
}

func (e *endpoint) open(ctx context.Context) (*connection, error) {
	c, err := e.dial(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opening--
	e.notifyWaiters()
	if err != nil {
		return nil, err
	}
	if e.closed {
		_ = c.client.Close()
		return nil, daisyerror.Closed.New("connection pool is closed")
	}
	if err := c.client.Reserve(); err != nil {
		_ = c.client.Close()
		return nil, daisyerror.Unavailable.Wrap(err, "new connection was closed before its first request")
	}
	c.requests++
	e.connections = append(e.connections, c)
	return c, nil
}

func (e *endpoint) dial(ctx context.Context) (*connection, error) {
	ctx, cancel := withTimeout(ctx, e.limits.DialTimeout)
	defer cancel()
	d := &dialResult{}
	client, err := e.transport.NewClientConn(context.WithValue(ctx, dialResultKey{}, d), "http", e.target.Address.String())
	if err != nil {
		return nil, daisyerror.Unavailable.Wrap(err, "dial")
	}
	return &connection{endpoint: e, client: client, transport: daisyresponse.NewTransport(client), socket: d.socket, idleTimeout: e.limits.IdleTimeout}, nil
}

// release ends a request on a connection. An HTTP/1.1 connection can carry another
// request only if the response is complete.
func (e *endpoint) release(c *connection, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.requests--
	c.lastUsed = time.Now()
	e.remove(c)
	if e.reusable(c, complete) {
		e.connections = append(e.connections, c)
		e.scheduleIdleCheck()
	} else {
		_ = c.client.Close()
	}
	e.notifyWaiters()
}

func (e *endpoint) reusable(c *connection, complete bool) bool {
	if e.closed || c.client.Err() != nil {
		return false
	}
	if !complete && e.target.Protocol == daisyservice.HTTP1 {
		return false
	}
	return c.requests > 0 || len(e.connections)+e.opening < e.maxConnections
}

// remove removes a connection without closing it.
func (e *endpoint) remove(c *connection) {
	for i, o := range e.connections {
		if o == c {
			e.connections = append(e.connections[:i], e.connections[i+1:]...)
			return
		}
	}
}

func (e *endpoint) notifyWaiters() {
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}

// closeUnused closes the connections without requests and reports whether none is left.
func (e *endpoint) closeUnused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.connections) - 1; i >= 0; i-- {
		if e.connections[i].requests == 0 {
			e.closeAt(i)
		}
	}
	return len(e.connections)+e.opening == 0
}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.idleTimer != nil {
		e.idleTimer.Stop()
	}
	for _, c := range e.connections {
		_ = c.client.Close()
	}
	e.connections = nil
	e.notifyWaiters()
}
