package daisyforward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycaller"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyfilter"
	"daisyyoke/io/daisyforward"
	"daisyyoke/io/daisylog"
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisystand"
)

// vm is an entry VM that serves lookups.vigia-lar.
type vm struct {
	server *daisycaller.Server
	routes *daisycontroller.Route
}

// inFlight returns the number of attempts that occupy a slot.
func (v *vm) inFlight() int {
	n, _ := v.routes.ServiceWork(daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"})
	return n
}

// settings are the settings of a VM under test.
type settings struct {
	protocol    daisyservice.Protocol
	endpoints   []netip.AddrPort
	slots       int
	limits      daisyforward.Limits
	callers     daisycaller.Limits
	maxRequests int
	// log and metrics are nil for none.
	log     *daisylog.Log
	metrics *daisymetric.Metrics
	// wrapHandler, if it is set, returns the handler of requests in place of the filter chain.
	wrapHandler func(chain http.Handler) http.Handler
}

func newSettings(endpoints ...netip.AddrPort) settings {
	return settings{
		endpoints:   endpoints,
		slots:       2,
		limits:      daisyforward.DefaultLimits(),
		callers:     daisycaller.DefaultLimits(),
		maxRequests: 100,
	}
}

// fixedAddresses lists one VM with its address for callers.
type fixedAddresses struct{}

func (fixedAddresses) CallerAddresses() ([]daisyvm.VM, time.Duration) {
	return []daisyvm.VM{{Callers: netip.MustParseAddrPort("127.0.0.1:8080"), Zone: zone}}, 5 * time.Second
}

// startVM starts a VM that is closed at the end of the test.
func startVM(t testing.TB, s settings) *vm {
	t.Helper()
	pool := daisyconnection.NewVerifyingPool(daisyconnection.DefaultLimits(), daisyforward.NewNative("vm-1"))
	t.Cleanup(pool.Close)
	routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Checker: pool})
	t.Cleanup(routes.Close)
	snapshot := newSnapshot(s)
	routes.Apply(snapshot)
	index := daisycontroller.NewIndex()
	index.Apply(snapshot)
	pool.Apply(snapshot)
	forwarder := daisyforward.New(daisyforward.Options{Self: "vm-1", Routes: routes, Pool: pool, Limits: s.limits, Log: s.log, Metrics: s.metrics})
	t.Cleanup(forwarder.Close)
	chain := daisyfilter.NewChain(daisyfilter.Options{
		Forwarder:    forwarder,
		StallTimeout: s.limits.StallTimeout,
		Filters: []daisyfilter.Filter{
			daisyfilter.NewAdmit(s.maxRequests),
			daisyfilter.RejectUnsupported{},
			daisyfilter.Addresses{Source: fixedAddresses{}},
			daisyfilter.AwaitConfiguration{Configuration: index},
			daisyfilter.Identify{},
			daisyfilter.Classify{},
		},
	})
	var handler http.Handler = chain
	if s.wrapHandler != nil {
		handler = s.wrapHandler(chain)
	}
	server := daisycaller.NewServer(daisycaller.Options{Listener: listen(t), Handler: handler, Limits: s.callers})
	t.Cleanup(server.Close)
	return &vm{server: server, routes: routes}
}

func newSnapshot(s settings) *daisyconfig.Snapshot {
	service := daisyservice.Service{
		ID:       daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"},
		Ranks:    []daisyrank.Rank{{Name: "urgent", Target: time.Minute, Worth: 1, Floor: 1}},
		Protocol: s.protocol,
	}
	for _, a := range s.endpoints {
		service.Endpoints = append(service.Endpoints, daisyendpoint.Endpoint{Address: a, Slots: s.slots, Connections: 50})
	}
	return &daisyconfig.Snapshot{Revision: 1, Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{
		Name:     "vigia-lar",
		Services: []daisyservice.Service{service},
	}}}}
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func startEndpoint(t testing.TB, handler http.Handler) netip.AddrPort {
	t.Helper()
	s := daisystand.NewEndpointServer(listen(t), handler)
	t.Cleanup(s.Close)
	return s.Address()
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	l := listen(t)
	assert.NilError(t, l.Close())
	return netip.MustParseAddrPort(l.Addr().String())
}

// client returns a caller's transport that connects to the VM for any host.
func (v *vm) client(t testing.TB, protocol daisyservice.Protocol) *http.Transport {
	t.Helper()
	var protocols http.Protocols
	protocols.SetHTTP1(protocol == daisyservice.HTTP1)
	protocols.SetUnencryptedHTTP2(protocol == daisyservice.HTTP2)
	transport := &http.Transport{
		Protocols:             &protocols,
		DisableCompression:    true,
		ExpectContinueTimeout: time.Minute,
		DialContext:           dialTo(v.server.Address()),
	}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

func dialTo(address netip.AddrPort) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, address.String())
	}
}

func newCall(t testing.TB, method string, body io.Reader) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://lookups.vigia-lar/visits?day=1", body)
	assert.NilError(t, err)
	// Without GetBody, net/http cannot resend the caller's request.
	r.GetBody = nil
	return r
}

// forEachProtocolPair runs a test for each combination of HTTP/1.1 and HTTP/2 of the
// caller and of the endpoint.
func forEachProtocolPair(t *testing.T, run func(t *testing.T, caller, endpoint daisyservice.Protocol)) {
	protocols := []daisyservice.Protocol{daisyservice.HTTP1, daisyservice.HTTP2}
	for _, c := range protocols {
		for _, e := range protocols {
			t.Run(c.String()+" to "+e.String(), func(t *testing.T) { run(t, c, e) })
		}
	}
}

// sendRawRequest sends text over a new connection and returns the first response.
func (v *vm) sendRawRequest(t *testing.T, text string) (*http.Response, error) {
	t.Helper()
	c, err := net.Dial("tcp", v.server.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	return http.ReadResponse(bufio.NewReader(c), nil)
}
