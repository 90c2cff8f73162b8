// Package daisycaller serves callers over HTTP/1.1 and cleartext HTTP/2.
package daisycaller

import (
	"context"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"golang.org/x/net/netutil"

	"daisyyoke/core/daisyerror"
)

// Options are what a Server depends on.
type Options struct {
	// Listener is closed by the server.
	Listener net.Listener
	Handler  http.Handler
	Limits   Limits
	// ErrorLog gets what the HTTP library has to say; nil drops it.
	ErrorLog *log.Logger
}

// Server serves callers until it is closed.
type Server struct {
	listener net.Listener
	handler  http.Handler
	server   *http.Server
	leaving  atomic.Bool
	// requests waits for the handlers, ended for the accepting goroutine.
	requests sync.WaitGroup
	ended    sync.WaitGroup
}

// NewServer starts to serve.
func NewServer(options Options) *Server {
	s := &Server{listener: options.Listener, handler: options.Handler}
	s.server = newHTTPServer(options, s)
	s.ended.Go(func() {
		_ = s.server.Serve(netutil.LimitListener(options.Listener, options.Limits.Connections))
	})
	return s
}

func newHTTPServer(options Options, handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	limits := options.Limits
	errorLog := options.ErrorLog
	if errorLog == nil {
		errorLog = log.New(discard{}, "", 0)
	}
	return &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ErrorLog:          errorLog,
		ReadHeaderTimeout: limits.Header,
		IdleTimeout:       limits.Idle,
		MaxHeaderBytes:    limits.HeaderBytes,
		// OPTIONS * is for the endpoint to answer, as any other request.
		DisableGeneralOptionsHandler: true,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          limits.Streams,
			MaxReceiveBufferPerStream:     limits.StreamBytes,
			MaxReceiveBufferPerConnection: limits.ConnectionBytes,
			SendPingTimeout:               limits.Ping,
			PingTimeout:                   limits.Ping,
			WriteByteTimeout:              limits.Write,
		},
	}
}

// ServeHTTP hands a request on. Once the server is leaving, each answer closes
// its HTTP/1.1 connection and starts the graceful end of an HTTP/2 connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	defer s.requests.Done()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// Address gives the address that is served.
func (s *Server) Address() netip.AddrPort {
	address, err := netip.ParseAddrPort(s.listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// SetLeaving says whether a planned stop has begun: callers who still come are
// served, and asked to come no more on the same connection.
func (s *Server) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// Shutdown accepts no more connections and waits for the requests in flight. It
// fails with daisyerror.Unknown when the context ends first; the rest is then cut.
func (s *Server) Shutdown(ctx context.Context) error {
	s.SetLeaving(true)
	err := s.server.Shutdown(ctx)
	if err != nil {
		err = daisyerror.Unknown.Wrap(err, "requests were cut")
	}
	s.Close()
	return err
}

// Close cuts what is in flight and waits for its end. After Shutdown there is nothing to cut.
func (s *Server) Close() {
	_ = s.server.Close()
	s.ended.Wait()
	s.requests.Wait()
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
