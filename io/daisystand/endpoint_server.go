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
	ended    sync.WaitGroup
}

// NewEndpointServer starts to serve on the listener, which it owns from then on.
func NewEndpointServer(listener net.Listener, endpoint http.Handler) *EndpointServer {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &EndpointServer{listener: listener, server: &http.Server{
		Handler:                      endpoint,
		Protocols:                    &protocols,
		DisableGeneralOptionsHandler: true,
	}}
	s.ended.Go(func() { _ = s.server.Serve(listener) })
	return s
}

// Address gives the address that is served.
func (s *EndpointServer) Address() netip.AddrPort {
	address, err := netip.ParseAddrPort(s.listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

// Close breaks off every request and waits for the server to end.
func (s *EndpointServer) Close() {
	_ = s.server.Close()
	s.ended.Wait()
}
