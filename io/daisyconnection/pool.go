// Package daisyconnection manages the connections to endpoints.
//
// A Pool selects the connection for each round trip and never sends a request twice,
// whatever happens to the connection. It therefore uses http.ClientConn, which never
// resends a request, instead of the connection pool of http.Transport, which does so
// in some cases. The number of connections to an endpoint is limited to this VM's
// share of what the endpoint accepts.
package daisyconnection

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyservice"
)

var (
	// NotSent means that no byte of the request was sent.
	NotSent = daisyerror.Unavailable.NewSubtype("not-sent")
	// Refused means that the endpoint refused the stream of the request without
	// processing it (RFC 9113, 8.7).
	Refused = daisyerror.Unavailable.NewSubtype("refused")
	// BrokenOff means that some bytes of the request may have been sent and that no
	// valid response began, so the endpoint may have run the request.
	BrokenOff = daisyerror.Unknown.NewSubtype("broken-off")
	// Closed means the same, because the endpoint closed or reset the connection.
	Closed = BrokenOff.NewSubtype("closed")
	// Malformed means the same, because the endpoint sent a response that is not valid.
	Malformed = BrokenOff.NewSubtype("malformed")
)

// Limits contains the limits and timeouts of the connections to endpoints.
type Limits struct {
	// DialTimeout limits the time for opening a connection; 0 means no limit.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept, unless the endpoint
	// states a timeout of its own. It has to be shorter than the time after which
	// endpoints close unused connections: if a request is sent while the endpoint
	// closes the connection, it is unknown whether the endpoint ran it.
	IdleTimeout time.Duration
	// ContinueTimeout is how long a request with Expect: 100-continue waits for the
	// endpoint's status 100 before its body is sent anyway.
	ContinueTimeout time.Duration
	// HeaderBytes limits the size of the header of a response.
	HeaderBytes int64
	// MaxConnections is the maximum number of connections to an endpoint whose
	// declaration sets no limit.
	MaxConnections int
	// PingTimeout is how long an HTTP/2 connection may be silent before a ping is
	// sent on it, and then how long the endpoint has to answer the ping.
	PingTimeout time.Duration
	// StreamBytes and ConnectionBytes limit how many unread bytes an HTTP/2 endpoint
	// may send on a stream and on a connection.
	StreamBytes     int
	ConnectionBytes int
}

// DefaultLimits returns the limits that a VM uses by default.
func DefaultLimits() Limits {
	return Limits{
		DialTimeout:     time.Second,
		IdleTimeout:     4 * time.Second,
		ContinueTimeout: time.Second,
		HeaderBytes:     64 << 10,
		MaxConnections:  32,

		PingTimeout:     10 * time.Second,
		StreamBytes:     256 << 10,
		ConnectionBytes: 2 << 20,
	}
}

// Target is the address and the protocol of an endpoint.
type Target struct {
	Address  netip.AddrPort
	Protocol daisyservice.Protocol
}

// Pool manages the connections to all endpoints, in a shard for each endpoint. It is
// safe for concurrent use.
type Pool struct {
	limits   Limits
	verifier Verifier
	http1    *http.Transport
	http2    *http.Transport

	mu        sync.Mutex
	endpoints map[Target]*endpoint
	declared  map[Target]daisyendpoint.Endpoint
	vms       int
	closed    bool
}

// Verifier checks that what was received on a connection is the response to the
// request. If it is not, the round trip fails with BrokenOff, and an HTTP/1.1
// connection is closed.
type Verifier interface {
	// Verify returns an error if response is not the response to request. The argument
	// named reports whether an earlier response on the connection named its request.
	Verify(request *http.Request, response *http.Response, named bool) error
	// Names reports whether response names request as the one that it belongs to.
	Names(request *http.Request, response *http.Response) bool
	// Refuses reports whether response says that the endpoint did not run the request. An
	// HTTP/1.1 connection carries no further request after such a response that does not
	// name its request: a faulty endpoint may send it again later.
	Refuses(response *http.Response) bool
}

// NewPool returns a pool that has no connections yet and does not verify responses.
func NewPool(limits Limits) *Pool { return NewVerifyingPool(limits, nil) }

// NewVerifyingPool returns a pool that has every response checked by verifier.
func NewVerifyingPool(limits Limits, verifier Verifier) *Pool {
	return &Pool{
		limits:    limits,
		verifier:  verifier,
		http1:     newTransport(limits, daisyservice.HTTP1),
		http2:     newTransport(limits, daisyservice.HTTP2),
		endpoints: make(map[Target]*endpoint),
		declared:  make(map[Target]daisyendpoint.Endpoint),
		vms:       1,
	}
}

func newTransport(limits Limits, protocol daisyservice.Protocol) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(protocol == daisyservice.HTTP1)
	protocols.SetUnencryptedHTTP2(protocol == daisyservice.HTTP2)
	return &http.Transport{
		DialContext:            dialSocket,
		Protocols:              &protocols,
		DisableCompression:     true,
		ExpectContinueTimeout:  limits.ContinueTimeout,
		MaxResponseHeaderBytes: limits.HeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               limits.PingTimeout,
			PingTimeout:                   limits.PingTimeout,
			MaxReceiveBufferPerStream:     limits.StreamBytes,
			MaxReceiveBufferPerConnection: limits.ConnectionBytes,
		},
	}
}

// RoundTrip sends the request to the target at most once and returns the response,
// whose body the caller must close. Every error is of type NotSent, Refused or
// BrokenOff.
func (p *Pool) RoundTrip(request *http.Request, target Target) (*http.Response, error) {
	return p.roundTrip(request, target, anyConnection)
}

// RoundTripOnNew is like RoundTrip, but uses a connection that has carried no request: an
// endpoint that was sent the same request before may send its earlier response again on
// the connection that this came on.
func (p *Pool) RoundTripOnNew(request *http.Request, target Target) (*http.Response, error) {
	return p.roundTrip(request, target, newConnection)
}

func (p *Pool) roundTrip(request *http.Request, target Target, choice connectionChoice) (*http.Response, error) {
	e, err := p.endpoint(target)
	if err != nil {
		return nil, err
	}
	c, err := e.acquire(request.Context(), choice)
	if err != nil {
		closeBody(request)
		return nil, NotSent.Wrap(err, "no connection to %v", target.Address)
	}
	return c.roundTrip(request)
}

func closeBody(request *http.Request) {
	if request.Body != nil {
		_ = request.Body.Close()
	}
}

// Connections returns the number of open connections to all endpoints.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.endpoints {
		n += e.connectionCount()
	}
	return n
}

// Apply sets the connection limits from the endpoints that snapshot declares, and
// closes the unused connections to all other endpoints. If a target is declared
// several times, the declaration with the lowest Connections applies.
func (p *Pool) Apply(snapshot *daisyconfig.Snapshot) {
	declared := make(map[Target]daisyendpoint.Endpoint)
	for _, f := range snapshot.Intent.Fleets {
		for _, s := range f.Services {
			for _, e := range s.Endpoints {
				t := Target{Address: e.Address, Protocol: s.Protocol}
				if o, ok := declared[t]; !ok || e.Connections < o.Connections {
					declared[t] = e
				}
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.declared = declared
	p.updateMaxConnections()
	for t, e := range p.endpoints {
		if _, ok := declared[t]; !ok && e.closeUnused() {
			delete(p.endpoints, t)
		}
	}
}

// SetVMs sets the number of VMs among which the connections to an endpoint are divided.
func (p *Pool) SetVMs(vms int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = max(vms, 1)
	p.updateMaxConnections()
}

func (p *Pool) updateMaxConnections() {
	for t, e := range p.endpoints {
		e.setMaxConnections(p.maxConnections(t))
	}
}

func (p *Pool) maxConnections(target Target) int {
	e := p.declared[target]
	if e.Connections == 0 {
		return p.limits.MaxConnections
	}
	return e.ConnectionShare(p.vms)
}

func (p *Pool) endpoint(target Target) (*endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, NotSent.New("connection pool is closed")
	}
	e := p.endpoints[target]
	if e == nil {
		e = newEndpoint(target, p.transport(target.Protocol), p.limits, p.verifier)
		e.setMaxConnections(p.maxConnections(target))
		p.endpoints[target] = e
	}
	return e, nil
}

func (p *Pool) transport(protocol daisyservice.Protocol) *http.Transport {
	switch protocol {
	case daisyservice.HTTP1:
		return p.http1
	case daisyservice.HTTP2:
		return p.http2
	}
	return p.http1
}

// Close closes all connections; the requests on them fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, e := range p.endpoints {
		e.close()
	}
}

// withTimeout is like context.WithTimeout, except that a timeout of 0 or less means no limit.
func withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}
