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
	// digits is the number of significant decimal digits of the histogram's values.
	digits = 3
	// maxIdle is the largest number of idle connections that the caller keeps to one
	// address, and the connection limit of each endpoint.
	maxIdle = 512
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
	b := &bench{options: o, metrics: daisymetric.New(), client: &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}}
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
	routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: self, Sender: nowhere{}})
	pool := daisyconnection.NewPool(daisyconnection.DefaultLimits())
	routes.Apply(snapshot)
	routes.SetPeers([]daisyvm.VM{self}, nil)
	pool.Apply(snapshot)
	forwarder := daisyforward.New(daisyforward.Options{
		Self: "vm-1", Routes: routes, Pool: pool, Limits: daisyforward.DefaultLimits(), Log: log, Metrics: b.metrics,
	})
	chain := daisyfilter.NewChain(daisyfilter.Options{Forwarder: forwarder, Metrics: b.metrics, Filters: []daisyfilter.Filter{
		daisyfilter.NewAdmit(10 * b.options.rate),
		daisyfilter.Screen{},
		daisyfilter.Identify{Services: routes},
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

// nowhere is a sender without an implementation: there are no other VMs, so no
// message is ever sent.
type nowhere struct{ daisycontroller.Sender }

func (b *bench) snapshot(addresses []netip.AddrPort) *daisyconfig.Snapshot {
	s := daisyservice.Service{
		ID:    daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"},
		Ranks: []daisyrank.Rank{{Name: "urgent", Target: time.Second, Worth: 1, Floor: 1}},
	}
	for _, a := range addresses {
		s.Endpoints = append(s.Endpoints, daisyendpoint.Endpoint{Address: a, Slots: b.options.slots, Connections: maxIdle})
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

func (b *bench) straight(i int) netip.AddrPort { return b.endpoints[i%len(b.endpoints)].Address() }
func (b *bench) through(int) netip.AddrPort    { return b.vm }

// tally collects the results of calls: latencies, failures, allocations and
// processor time.
type tally struct {
	mu     sync.Mutex
	times  *hdrhistogram.Histogram
	calls  int
	failed int
	allocs uint64
	// busy is the processor time of the whole process, the endpoints and the caller
	// included.
	busy time.Duration
}

func newTally() *tally {
	return &tally{times: hdrhistogram.New(1, maxLatency.Nanoseconds(), digits)}
}

func (t *tally) record(took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	if !ok {
		t.failed++
	}
	_ = t.times.RecordValue(took.Nanoseconds())
}

func (t *tally) add(o *tally) {
	if t.times == nil {
		t.times = hdrhistogram.New(1, maxLatency.Nanoseconds(), digits)
	}
	t.times.Merge(o.times)
	t.calls += o.calls
	t.failed += o.failed
	t.allocs += o.allocs
	t.busy += o.busy
}

func (t *tally) microseconds(percentile float64) float64 {
	return microseconds(t.times, percentile)
}

func (t *tally) busyPerCall() float64 {
	return float64(t.busy) / float64(time.Microsecond) / float64(max(t.calls, 1))
}

func (t *tally) allocsPerCall() float64 { return float64(t.allocs) / float64(max(t.calls, 1)) }

// measure makes the calls of one round at the fixed rate, and waits until all have
// ended.
func (b *bench) measure(target func(int) netip.AddrPort) *tally {
	t := newTally()
	before, busyBefore := mallocs(), busy()
	interval := time.Second / time.Duration(b.options.rate)
	calls := int(b.options.round / interval)
	start := time.Now()
	var ended sync.WaitGroup
	for i := range calls {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		ended.Go(func() { b.call(t, target(i)) })
	}
	ended.Wait()
	t.allocs = mallocs() - before
	t.busy = busy() - busyBefore
	return t
}

func (b *bench) call(t *tally, target netip.AddrPort) {
	r, err := http.NewRequest(http.MethodGet, "http://"+target.String()+"/visits", nil)
	if err != nil {
		t.record(0, false)
		return
	}
	r.Host = "lookups.vigia-lar"
	begun := time.Now()
	response, err := b.client.RoundTrip(r)
	if err != nil {
		t.record(time.Since(begun), false)
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	t.record(time.Since(begun), err == nil && response.StatusCode == http.StatusOK)
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// busy returns the user and system time that the process has used.
func busy() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
