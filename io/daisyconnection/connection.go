package daisyconnection

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/net/http2"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyresponse"
)

// connection is a connection to an endpoint. The endpoint's lock guards requests,
// lastUsed and idleTimeout.
type connection struct {
	endpoint *endpoint
	client   *http.ClientConn
	// transport sends requests to client.
	transport *daisyresponse.Transport
	socket    *socket
	// requests is the number of requests in flight.
	requests int
	lastUsed time.Time
	// idleTimeout is how long the connection may be unused before it is closed.
	idleTimeout time.Duration
	// named is set once a response on the connection has named its request.
	named atomic.Bool
}

func (c *connection) roundTrip(request *http.Request) (*http.Response, error) {
	bytesBefore := c.socket.bytesStarted.Load()
	c.socket.head.begin()
	if request.Body != nil {
		c.socket.addBody(request.Body)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		c.socket.removeBody(request.Body)
		c.endpoint.release(c, false)
		return nil, c.classifyError(err, bytesBefore)
	}
	final, err := c.verify(request, response)
	if err != nil {
		_ = response.Body.Close()
		c.socket.removeBody(request.Body)
		c.endpoint.release(c, false)
		return nil, err
	}
	if timeout, ok := parseKeepAlive(response.Header); ok {
		c.endpoint.setIdleTimeout(c, timeout)
	}
	if response.Body == http.NoBody {
		c.socket.removeBody(request.Body)
		c.endpoint.release(c, !final)
		return response, nil
	}
	response.Body = &responseBody{ReadCloser: response.Body, connection: c, requestBody: request.Body, final: final}
	return response, nil
}

// verify fails with Malformed if response cannot be framed, and with BrokenOff if it does
// not belong to request. It returns whether the connection may not carry a further request
// after it.
func (c *connection) verify(request *http.Request, response *http.Response) (final bool, err error) {
	if err := c.checkFraming(response); err != nil {
		return true, c.malformed(err)
	}
	v := c.endpoint.verifier
	if v == nil {
		return false, nil
	}
	if err := v.Verify(request, response, c.named.Load()); err != nil {
		return true, BrokenOff.Wrap(err, "response from %v failed verification", c.endpoint.target.Address)
	}
	if v.Names(request, response) {
		c.named.Store(true)
		return false, nil
	}
	return v.Refuses(response) && c.endpoint.target.Protocol == daisyservice.HTTP1, nil
}

func (c *connection) malformed(err error) error {
	return Malformed.Wrap(err, "response from %v is not valid", c.endpoint.target.Address)
}

// closedByEndpoint reports whether a connection failed because the endpoint closed or reset it.
func closedByEndpoint(err error) bool {
	return slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, func(closed error) bool {
		return errors.Is(err, closed)
	})
}

// classifyError wraps err as Malformed, NotSent, Refused or BrokenOff. bytesBefore is the value
// of socket.bytesStarted before the request. When classifyError runs,
// either the write loop of the connection has ended, or other streams share the
// connection. In the latter case, their bytes count as bytes of this request, so that
// an unsent request may be reported as BrokenOff, which is the safe direction.
func (c *connection) classifyError(err error, bytesBefore int64) error {
	if daisyresponse.IsMalformed(err) {
		return c.malformed(err)
	}
	if c.socket.bytesStarted.Load() == bytesBefore {
		return NotSent.Wrap(err, "connection to %v failed before the request was sent", c.endpoint.target.Address)
	}
	var stream http2.StreamError
	if errors.As(err, &stream) && stream.Code == http2.ErrCodeRefusedStream {
		return Refused.Wrap(err, "%v refused the HTTP/2 stream", c.endpoint.target.Address)
	}
	kind := BrokenOff
	if closedByEndpoint(err) {
		kind = Closed
	}
	return kind.Wrap(err, "request to %v failed before a response began", c.endpoint.target.Address)
}

// responseBody releases the connection when the response has been read or closed.
type responseBody struct {
	io.ReadCloser
	connection *connection
	// requestBody is nil if the request has no body.
	requestBody io.ReadCloser
	// final is set if the connection may not carry a further request.
	final    bool
	released atomic.Bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.release(err == io.EOF)
	}
	return n, err
}

func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.release(false)
	return err
}

func (b *responseBody) release(complete bool) {
	if !b.released.CompareAndSwap(false, true) {
		return
	}
	b.connection.socket.removeBody(b.requestBody)
	b.connection.endpoint.release(b.connection, complete && !b.final)
}

// socket counts the bytes that it was asked to write, whether or not they were
// written. It closes the bodies of the current requests when it is closed.
type socket struct {
	net.Conn
	bytesStarted atomic.Int64
	// writesUnfinished is the number of writes that are in progress or have failed.
	writesUnfinished atomic.Int64
	// head records the header of the current response if that is in HTTP/1.0.
	head http10Head

	mu     sync.Mutex
	closed bool
	bodies map[io.Closer]struct{}
}

func (s *socket) Write(p []byte) (int, error) {
	s.bytesStarted.Add(int64(len(p)))
	s.writesUnfinished.Add(1)
	n, err := s.Conn.Write(p)
	if err == nil {
		s.writesUnfinished.Add(-1)
	}
	return n, err
}

func (s *socket) Close() error {
	s.mu.Lock()
	s.closed = true
	bodies := s.bodies
	s.bodies = nil
	s.mu.Unlock()
	for b := range bodies {
		_ = b.Close()
	}
	return s.Conn.Close()
}

// addBody registers a request's body to be closed together with the socket, so that
// no goroutine keeps waiting for the caller's next byte after the connection has failed.
func (s *socket) addBody(b io.Closer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = b.Close()
		return
	}
	if s.bodies == nil {
		s.bodies = make(map[io.Closer]struct{})
	}
	s.bodies[b] = struct{}{}
}

func (s *socket) removeBody(b io.Closer) {
	if b == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.bodies, b)
}

// dialResult passes the socket of a new connection from dialSocket to endpoint.dial.
// It is a value of the context, because the transport calls dialSocket and returns
// only its own connection type.
type dialResult struct{ socket *socket }

type dialResultKey struct{}

func dialSocket(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s := &socket{Conn: c}
	if d, ok := ctx.Value(dialResultKey{}).(*dialResult); ok {
		d.socket = s
	}
	return s, nil
}
