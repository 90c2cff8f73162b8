package daisyconnection_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyconnection"
)

func newRequest(t *testing.T, method, body, key string) *http.Request {
	t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://lookups.vigia-lar/visits", reader)
	assert.NilError(t, err)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return r
}

func readResponse(t *testing.T, response *http.Response, err error) {
	t.Helper()
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
}

func TestRoundTripSendsRequestAtMostOnce(t *testing.T) {
	cases := []struct {
		name     string
		protocol daisyservice.Protocol
		serve    func(*scriptedEndpoint, net.Conn)
		point    failurePoint
		want     *errorx.Type
	}{
		{"reset at first byte", daisyservice.HTTP1, serveHTTP1, atFirstByte, daisyconnection.BrokenOff},
		{"closed after request", daisyservice.HTTP1, serveHTTP1, afterRequest, daisyconnection.BrokenOff},
		{"closed in response header", daisyservice.HTTP1, serveHTTP1, inResponseHeader, daisyconnection.BrokenOff},
		{"GOAWAY", daisyservice.HTTP2, serveHTTP2, goAway, daisyconnection.BrokenOff},
		{"REFUSED_STREAM", daisyservice.HTTP2, serveHTTP2, refusedStream, daisyconnection.Refused},
		{"RST_STREAM", daisyservice.HTTP2, serveHTTP2, internalError, daisyconnection.BrokenOff},
		{"connection reset", daisyservice.HTTP2, serveHTTP2, connectionReset, daisyconnection.BrokenOff},
	}
	for _, c := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for _, body := range []string{"", "order"} {
				for _, key := range []string{"", "key-1"} {
					t.Run(strings.Join([]string{c.name, method, body, key}, "/"), func(t *testing.T) {
						s := newScriptedEndpoint(t, c.serve, c.point)
						defer s.close()
						pool := daisyconnection.NewPool(daisyconnection.DefaultLimits())
						defer pool.Close()
						target := daisyconnection.Target{Address: s.address(), Protocol: c.protocol}
						first, err := pool.RoundTrip(newRequest(t, http.MethodGet, "", ""), target)
						readResponse(t, first, err)
						_, err = pool.RoundTrip(newRequest(t, method, body, key), target)
						assert.Assert(t, errorx.IsOfType(err, c.want), "%v", err)
						assert.Equal(t, s.requests.Load(), int32(2))
					})
				}
			}
		}
	}
}

// TestStandardTransportResendsRequest checks that the scripted endpoint counts a
// second send of the same request, by means of an http.Transport, which resends it.
func TestStandardTransportResendsRequest(t *testing.T) {
	s := newScriptedEndpoint(t, serveHTTP1, afterRequest)
	defer s.close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		r := newRequest(t, http.MethodPost, "", "key-1")
		r.URL.Host = s.address().String()
		response, err := transport.RoundTrip(r)
		readResponse(t, response, err)
	}
	assert.Equal(t, s.requests.Load(), int32(3))
}

func TestFailedDialIsReportedAsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	pool := daisyconnection.NewPool(daisyconnection.DefaultLimits())
	defer pool.Close()
	_, err = pool.RoundTrip(newRequest(t, http.MethodPost, "order", ""), daisyconnection.Target{Address: address})
	assert.Assert(t, errorx.IsOfType(err, daisyconnection.NotSent), "%v", err)
}

func TestConnectionsAreLimitedToShareOfVM(t *testing.T) {
	for _, protocol := range []daisyservice.Protocol{daisyservice.HTTP1, daisyservice.HTTP2} {
		t.Run(protocol.String(), func(t *testing.T) {
			opened := make(chan net.Conn, 64)
			arrived, release := make(chan struct{}, 8), make(chan struct{})
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				arrived <- struct{}{}
				<-release
			}))
			server.Config.Protocols = new(http.Protocols)
			server.Config.Protocols.SetHTTP1(true)
			server.Config.Protocols.SetUnencryptedHTTP2(true)
			server.Config.ConnState = func(c net.Conn, s http.ConnState) {
				if s == http.StateNew {
					opened <- c
				}
			}
			server.Start()
			defer server.Close()
			address := netip.MustParseAddrPort(server.Listener.Addr().String())
			pool := daisyconnection.NewPool(daisyconnection.DefaultLimits())
			defer pool.Close()
			pool.Apply(&daisyconfig.Snapshot{Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{Services: []daisyservice.Service{{
				Protocol:  protocol,
				Endpoints: []daisyendpoint.Endpoint{{Address: address, Connections: 9}},
			}}}}}})
			pool.SetVMs(4)
			errs := make(chan error)
			for range 8 {
				go func() {
					r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://lookups.vigia-lar/", nil)
					if err == nil {
						var response *http.Response
						response, err = pool.RoundTrip(r, daisyconnection.Target{Address: address, Protocol: protocol})
						if err == nil {
							err = response.Body.Close()
						}
					}
					errs <- err
				}()
			}
			<-arrived
			<-arrived
			close(release)
			for range 8 {
				assert.NilError(t, <-errs)
			}
			assert.Assert(t, len(opened) <= 9/4, "%d connections", len(opened))
		})
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	closed := make(chan struct{}, 8)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			closed <- struct{}{}
		}
	}
	server.Start()
	defer server.Close()
	limits := daisyconnection.DefaultLimits()
	limits.IdleTimeout = 10 * time.Millisecond
	pool := daisyconnection.NewPool(limits)
	defer pool.Close()
	target := daisyconnection.Target{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	response, err := pool.RoundTrip(newRequest(t, http.MethodGet, "", ""), target)
	readResponse(t, response, err)
	<-closed
	response, err = pool.RoundTrip(newRequest(t, http.MethodPost, "order", ""), target)
	readResponse(t, response, err)
}

func TestConnectionsToRemovedEndpointAreClosed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	pool := daisyconnection.NewPool(daisyconnection.DefaultLimits())
	defer pool.Close()
	target := daisyconnection.Target{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	response, err := pool.RoundTrip(newRequest(t, http.MethodGet, "", ""), target)
	readResponse(t, response, err)
	assert.Equal(t, pool.Connections(), 1)
	pool.Apply(&daisyconfig.Snapshot{})
	assert.Equal(t, pool.Connections(), 0)
}
