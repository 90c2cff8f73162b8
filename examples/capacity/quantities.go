package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisylog"
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisysnapshot"
)

// The size that the fleet is expected to have in two years.
const (
	endpoints           = 1800
	services            = 150
	endpointsPerService = endpoints / services
	slots               = 3
	// vms is derived: 180,000 calls a second at 4,000 a second for each VM.
	vms = 45
)

const (
	kilobyte = 1000.0
	megabyte = 1000 * kilobyte
	// repeats is how often an operation is timed; the median is reported.
	repeats = 9
)

func quantities() []quantity {
	return []quantity{
		{name: "memory of routing state", parameter: "services of 12 endpoints", unit: "MB", sizes: []int{25, 50, 100, 150, 300}, target: services, measureAt: routeMemory},
		{name: "size of a snapshot", parameter: "endpoints", unit: "KB", sizes: []int{45, 225, 900, 1800, 3600}, target: endpoints, measureAt: snapshotSize},
		{name: "time to read a snapshot", parameter: "endpoints", unit: "ms", sizes: []int{45, 225, 900, 1800, 3600}, target: endpoints, measureAt: snapshotTime},
		{name: "time to put a snapshot in force", parameter: "endpoints", unit: "ms", sizes: []int{45, 225, 900, 1800, 3600}, target: endpoints, measureAt: applyTime},
		{name: "processor time of membership", parameter: "VMs", unit: "% of a core", sizes: []int{6, 12, 24, 48, 96}, target: vms, measureAt: membershipTime},
		{name: "messages of membership", parameter: "VMs", unit: "heartbeats a second", sizes: []int{6, 12, 24, 48, 96}, target: vms, measureAt: heartbeats},
		{name: "processor time of decision lines", parameter: "lines", unit: "ms", sizes: []int{5000, 10000, 20000, 40000}, target: 4000, measureAt: logTime},
		{name: "size of the metrics page", parameter: "services", unit: "KB", sizes: []int{10, 50, 100, 150}, target: services, measureAt: metricsSize},
		{name: "time to write the metrics page", parameter: "services", unit: "ms", sizes: []int{10, 50, 100, 150}, target: services, measureAt: metricsTime},
	}
}

func writeHead(w io.Writer) {
	fmt.Fprintf(w, `# How one VM grows

Written by `+"`go run ./examples/capacity`"+` with %s on %d cores. Times are the median of %d runs on a machine that other work may share. The last column of each fit is the two-year size: %d endpoints in %d services, and %d VMs, which is 180,000 calls a second over 4,000 a VM.
`, runtime.Version(), runtime.NumCPU(), repeats, endpoints, services, vms)
}

func ranks() []daisyrank.Rank {
	return []daisyrank.Rank{
		{Name: "urgent", Target: 250 * time.Millisecond, Worth: 100, Floor: 0.5},
		{Name: "standard", Target: 2 * time.Second, Worth: 10, Floor: 0.3},
		{Name: "bulk", Target: 10 * time.Minute, Worth: 1, Floor: 0.05},
	}
}

func newSnapshot(count int) *daisyconfig.Snapshot {
	fleet := daisyconfig.Fleet{Name: "fleet", Ranks: ranks()}
	zone := daisyfleet.ZoneID{Fleet: fleet.Name, Zone: "zone-1"}
	fleet.AvailabilityZones = []daisyfleet.AvailabilityZone{{ID: zone, City: "city"}}
	for i := 0; i < count; i += endpointsPerService {
		s := daisyservice.Service{
			ID:    daisyservice.ID{Fleet: fleet.Name, Name: fmt.Sprintf("service-%d", i)},
			Ranks: ranks(),
		}
		for j := i; j < min(i+endpointsPerService, count); j++ {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(j >> 8), byte(j)}), 9000)
			s.Endpoints = append(s.Endpoints, daisyendpoint.Endpoint{Address: address, Zone: zone, Slots: slots, Connections: 250})
		}
		fleet.Services = append(fleet.Services, s)
	}
	return &daisyconfig.Snapshot{Revision: 1, Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{fleet}}}
}

// discardSender discards the messages to other VMs.
type discardSender struct{}

func (discardSender) Send(daisyvm.Name, daisymessage.Message) {}

func newRoutes(snapshot *daisyconfig.Snapshot) *daisycontroller.Route {
	c := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Sender: discardSender{}})
	c.Apply(snapshot)
	return c
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// routeMemory returns the memory of the routing state in megabytes. It begins requests
// of every service first, so that the state learned from requests is included.
func routeMemory(count int) float64 {
	s := newSnapshot(count * endpointsPerService)
	before := heapBytes()
	c := newRoutes(s)
	for _, v := range c.Services() {
		beginRequests(c, v)
	}
	after := heapBytes()
	c.Close()
	return (after - before) / megabyte
}

// beginRequests begins and abandons requests of the service, four for each endpoint.
func beginRequests(c *daisycontroller.Route, service daisyservice.Service) {
	for range 4 * endpointsPerService {
		t, err := c.Begin(daisyrequest.Request{Service: service.ID, Deadline: time.Now().Add(time.Minute)})
		if err != nil {
			continue
		}
		t.Abandon()
		t.Close()
	}
}

func snapshotSize(count int) float64 {
	data, _, err := daisysnapshot.Encode(newSnapshot(count))
	if err != nil {
		return 0
	}
	return float64(len(data)) / kilobyte
}

func snapshotTime(count int) float64 {
	data, _, err := daisysnapshot.Encode(newSnapshot(count))
	if err != nil {
		return 0
	}
	return milliseconds(medianTime(func() { _, _ = daisysnapshot.Decode(data) }))
}

func applyTime(count int) float64 {
	s := newSnapshot(count)
	c := newRoutes(s)
	defer c.Close()
	return milliseconds(medianTime(func() { c.Apply(s) }))
}

// runMembership runs the membership of one VM among count VMs for 20 s of virtual time,
// and returns the processor time and the heartbeats sent, both for each second.
func runMembership(count int) (time.Duration, int) {
	const length = 20 * time.Second
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	all := make([]daisyvm.VM, count)
	for i := range all {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 8082)
		all[i] = daisyvm.VM{Name: daisyvm.Name(fmt.Sprintf("vm-%d", i)), Incarnation: 1, Callers: address, Peers: address}
	}
	m := daisyvm.NewMembership(all[0], now, rand.New(rand.NewPCG(1, 1)))
	for _, v := range all[1:] {
		m.Handle(now, daisyvm.LinkOpened{VM: v})
	}
	sent := 0
	started := time.Now()
	for n := range uint64(length / daisyvm.HeartbeatInterval) {
		now = now.Add(daisyvm.HeartbeatInterval)
		for _, v := range all[1:] {
			m.Handle(now, daisyvm.HeartbeatArrived{VM: v, Sequence: n + 1, Status: daisyvm.Status{Ready: true}})
		}
		for _, d := range m.Handle(now, daisyvm.TimePassed{}) {
			if _, ok := d.(daisyvm.SendHeartbeat); ok {
				sent++
			}
		}
	}
	return time.Since(started) * time.Second / length, sent * int(time.Second) / int(length)
}

func membershipTime(count int) float64 {
	elapsed := medianTime(func() { runMembership(count) })
	// medianTime times the whole 20 s of virtual time; one second is a twentieth of it.
	return elapsed.Seconds() / 20 * 100
}

func heartbeats(count int) float64 {
	_, sent := runMembership(count)
	return float64(sent)
}

func logTime(lines int) float64 {
	l := daisylog.Sent{
		Subject:    daisylog.Subject{Service: daisyservice.ID{Fleet: "fleet", Name: "service"}, Rank: "urgent"},
		Endpoint:   netip.MustParseAddrPort("10.0.0.1:9000"),
		Reason:     "first",
		Choice:     "least-loaded",
		Considered: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:9000")},
	}
	return milliseconds(medianTime(func() {
		log, err := daisylog.New(daisylog.Options{Output: io.Discard, Level: "info", Buffer: lines, Rate: lines})
		if err != nil {
			return
		}
		for range lines {
			log.Write(l)
		}
		log.Close()
	}))
}

func newMetrics(count int) *daisymetric.Metrics {
	m := daisymetric.New()
	for i := range count {
		id := daisyservice.ID{Fleet: "fleet", Name: fmt.Sprintf("service-%d", i)}
		for _, r := range ranks() {
			k := m.Rank(id, r.Name)
			k.Begin()
			k.Attempt("first", time.Millisecond)
			k.AddedLatency(time.Microsecond)
			k.End(daisymetric.Served, true, time.Millisecond)
		}
	}
	return m
}

// byteCounter counts the bytes written to it.
type byteCounter struct{ bytes int }

func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

func metricsSize(count int) float64 {
	c := &byteCounter{}
	// Writing to a byteCounter cannot fail.
	_ = newMetrics(count).WritePrometheus(c)
	return float64(c.bytes) / kilobyte
}

func metricsTime(count int) float64 {
	m := newMetrics(count)
	return milliseconds(medianTime(func() { _ = m.WritePrometheus(io.Discard) }))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func medianTime(f func()) time.Duration {
	times := make([]float64, repeats)
	for i := range times {
		started := time.Now()
		f()
		times[i] = float64(time.Since(started))
	}
	return time.Duration(median(times))
}
