package daisystand

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
)

// EndpointServer serves an Endpoint over HTTP/1.1 and cleartext HTTP/2.
type EndpointServer struct {
	listener net.Listener
	server   *http.Server
	done     sync.WaitGroup
}

// NewEndpointServer starts serving on the listener and takes ownership of it.
func NewEndpointServer(listener net.Listener, endpoint http.Handler) *EndpointServer {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &EndpointServer{listener: listener, server: &http.Server{
		Handler:                      endpoint,
		Protocols:                    &protocols,
		DisableGeneralOptionsHandler: true,
	}}
	s.done.Go(func() { _ = s.server.Serve(listener) })
	return s
}

// Address returns the address of the listener.
func (s *EndpointServer) Address() netip.AddrPort {
	address, err := netip.ParseAddrPort(s.listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// Close aborts all requests and waits until the server has stopped.
func (s *EndpointServer) Close() {
	_ = s.server.Close()
	s.done.Wait()
}
