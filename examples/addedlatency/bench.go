package main

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
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

const (
	// maxLatency is the largest latency that the histogram can record.
	maxLatency = 10 * time.Second
	// significantDigits is the number of significant decimal digits of the histogram's values.
	significantDigits = 3
	// maxConnections is the largest number of idle connections that the caller keeps to one
	// address, and the connection limit of each endpoint.
	maxConnections = 512
)

// bench is one VM with its endpoints and one caller, all in this process.
type bench struct {
	options   options
	client    *http.Transport
	endpoints []*daisystand.EndpointServer
	closers   []func()
	metrics   *daisymetric.Metrics
	vm        netip.AddrPort
}

func newBench(o options) (*bench, error) {
	b := &bench{options: o, metrics: daisymetric.New(), client: &http.Transport{MaxIdleConnsPerHost: maxConnections, DisableCompression: true}}
	var addresses []netip.AddrPort
	for range o.endpoints {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		s := daisystand.NewEndpointServer(l, daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: o.slots, Queue: o.rate}))
		b.endpoints = append(b.endpoints, s)
		b.closers = append(b.closers, s.Close)
		addresses = append(addresses, s.Address())
	}
	return b, b.startVM(addresses)
}

func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, daisyerror.Unavailable.Wrap(err, "listen")
	}
	return l, nil
}

func (b *bench) startVM(addresses []netip.AddrPort) error {
	snapshot := b.snapshot(addresses)
	log, err := daisylog.New(daisylog.Options{Output: io.Discard, Level: "info"})
	if err != nil {
		return err
	}
	self := daisyvm.VM{Name: "vm-1"}
	routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: self, Sender: noSender{}})
	pool := daisyconnection.NewPool(daisyconnection.DefaultLimits())
	routes.Apply(snapshot)
	index := daisycontroller.NewIndex()
	index.Apply(snapshot)
	routes.SetPeers([]daisyvm.VM{self}, nil)
	pool.Apply(snapshot)
	forwarder := daisyforward.New(daisyforward.Options{
		Self: "vm-1", Routes: routes, Pool: pool, Limits: daisyforward.DefaultLimits(), Log: log, Metrics: b.metrics,
	})
	chain := daisyfilter.NewChain(daisyfilter.Options{Forwarder: forwarder, Metrics: b.metrics, Filters: []daisyfilter.Filter{
		daisyfilter.NewAdmit(10 * b.options.rate),
		daisyfilter.RejectUnsupported{},
		daisyfilter.AwaitConfiguration{Configuration: index},
		daisyfilter.Identify{},
		daisyfilter.Classify{},
	}})
	l, err := listen()
	if err != nil {
		return err
	}
	server := daisycaller.NewServer(daisycaller.Options{Listener: l, Handler: chain, Limits: daisycaller.DefaultLimits()})
	b.vm = server.Address()
	b.closers = append(b.closers, server.Close, forwarder.Close, pool.Close, routes.Close, log.Close)
	return nil
}

// noSender is a sender without an implementation: there are no other VMs, so no
// message is ever sent.
type noSender struct{ daisycontroller.Sender }

func (b *bench) snapshot(addresses []netip.AddrPort) *daisyconfig.Snapshot {
	s := daisyservice.Service{
		ID:    daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"},
		Ranks: []daisyrank.Rank{{Name: "urgent", Target: time.Second, Worth: 1, Floor: 1}},
	}
	for _, a := range addresses {
		s.Endpoints = append(s.Endpoints, daisyendpoint.Endpoint{Address: a, Slots: b.options.slots, Connections: maxConnections})
	}
	return &daisyconfig.Snapshot{Revision: 1, Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{
		Name:     "vigia-lar",
		Services: []daisyservice.Service{s},
	}}}}
}

func (b *bench) close() {
	b.client.CloseIdleConnections()
	for _, c := range b.closers {
		c()
	}
}

func (b *bench) direct(i int) netip.AddrPort { return b.endpoints[i%len(b.endpoints)].Address() }
func (b *bench) viaVM(int) netip.AddrPort    { return b.vm }

// callStats collects the results of calls: latencies, failures, allocations and
// processor time.
type callStats struct {
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	calls     int
	failed    int
	allocs    uint64
	// cpuTime is the processor time of the whole process, the endpoints and the caller
	// included.
	cpuTime time.Duration
}

func newCallStats() *callStats {
	return &callStats{latencies: hdrhistogram.New(1, maxLatency.Nanoseconds(), significantDigits)}
}

func (s *callStats) record(latency time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if !ok {
		s.failed++
	}
	_ = s.latencies.RecordValue(latency.Nanoseconds())
}

func (s *callStats) add(o *callStats) {
	if s.latencies == nil {
		s.latencies = hdrhistogram.New(1, maxLatency.Nanoseconds(), significantDigits)
	}
	s.latencies.Merge(o.latencies)
	s.calls += o.calls
	s.failed += o.failed
	s.allocs += o.allocs
	s.cpuTime += o.cpuTime
}

func (s *callStats) percentileMicroseconds(percentile float64) float64 {
	return quantileMicroseconds(s.latencies, percentile)
}

func (s *callStats) cpuMicrosecondsPerCall() float64 {
	return float64(s.cpuTime) / float64(time.Microsecond) / float64(max(s.calls, 1))
}

func (s *callStats) allocsPerCall() float64 { return float64(s.allocs) / float64(max(s.calls, 1)) }

// measure makes the calls of one round at the fixed rate, and waits until all have
// ended.
func (b *bench) measure(target func(int) netip.AddrPort) *callStats {
	stats := newCallStats()
	before, cpuBefore := mallocs(), processCPUTime()
	interval := time.Second / time.Duration(b.options.rate)
	calls := int(b.options.round / interval)
	start := time.Now()
	var pending sync.WaitGroup
	for i := range calls {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		pending.Go(func() { b.call(stats, target(i)) })
	}
	pending.Wait()
	stats.allocs = mallocs() - before
	stats.cpuTime = processCPUTime() - cpuBefore
	return stats
}

func (b *bench) call(stats *callStats, target netip.AddrPort) {
	r, err := http.NewRequest(http.MethodGet, "http://"+target.String()+"/visits", nil)
	if err != nil {
		stats.record(0, false)
		return
	}
	r.Host = "lookups.vigia-lar"
	started := time.Now()
	response, err := b.client.RoundTrip(r)
	if err != nil {
		stats.record(time.Since(started), false)
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	stats.record(time.Since(started), err == nil && response.StatusCode == http.StatusOK)
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// processCPUTime returns the user and system time that the process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
