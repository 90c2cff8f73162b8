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

// Options are the dependencies and settings of a Server.
type Options struct {
	// Listener is owned and closed by the server.
	Listener net.Listener
	Handler  http.Handler
	Limits   Limits
	// ErrorLog logs the errors of net/http; nil disables logging.
	ErrorLog *log.Logger
}

// Server is an HTTP/1.1 and cleartext HTTP/2 server for callers. It adds the planned
// stop to http.Server.
type Server struct {
	listener net.Listener
	handler  http.Handler
	server   *http.Server
	leaving  atomic.Bool
	// handlers waits for the handlers, serveDone for the goroutine that accepts connections.
	handlers  sync.WaitGroup
	serveDone sync.WaitGroup
}

// NewServer starts a server on the listener.
func NewServer(options Options) *Server {
	s := &Server{listener: options.Listener, handler: options.Handler}
	s.server = newHTTPServer(options, s)
	s.serveDone.Go(func() {
		_ = s.server.Serve(netutil.LimitListener(options.Listener, options.Limits.MaxConnections))
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
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		// OPTIONS * is passed to the endpoint like any other request.
		DisableGeneralOptionsHandler: true,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          limits.MaxStreams,
			MaxReceiveBufferPerStream:     limits.StreamBytes,
			MaxReceiveBufferPerConnection: limits.ConnectionBytes,
			SendPingTimeout:               limits.PingTimeout,
			PingTimeout:                   limits.PingTimeout,
			WriteByteTimeout:              limits.WriteTimeout,
		},
	}
}

// ServeHTTP calls the handler. During a planned stop each response closes its HTTP/1.1
// connection, or starts the graceful shutdown of its HTTP/2 connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handlers.Add(1)
	defer s.handlers.Done()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// Address returns the address of the listener.
func (s *Server) Address() netip.AddrPort {
	address, err := netip.ParseAddrPort(s.listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// SetLeaving sets whether a planned stop is in progress. During a planned stop requests
// are still served, and their responses close the connection.
func (s *Server) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// Shutdown stops accepting connections and waits for the requests in flight. When the
// context ends first, it aborts the remaining requests and fails with
// daisyerror.Unknown.
func (s *Server) Shutdown(ctx context.Context) error {
	s.SetLeaving(true)
	err := s.server.Shutdown(ctx)
	if err != nil {
		err = daisyerror.Unknown.Wrap(err, "aborted the requests in flight")
	}
	s.Close()
	return err
}

// Close aborts the requests in flight and waits for their handlers. After Shutdown there
// are none.
func (s *Server) Close() {
	_ = s.server.Close()
	s.serveDone.Wait()
	s.handlers.Wait()
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
