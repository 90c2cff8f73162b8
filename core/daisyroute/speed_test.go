package daisyroute_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyvm"
)

// steadyLoad drives a dispatcher with half of its slots in use, one new request for
// each answered one.
type steadyLoad struct {
	dispatcher *daisyroute.Dispatcher
	now        time.Time
	requests   daisyrequest.ID
	// open is a ring buffer of the attempts under way. The oldest is at index next.
	open []daisyrequest.AttemptID
	next int
}

func newSteadyLoad(endpoints int, policy daisyroute.Policy) *steadyLoad {
	service := newService(endpoints, 3)
	c := &steadyLoad{now: start, dispatcher: daisyroute.NewDispatcher(daisyroute.Options{
		Self:    self,
		Service: service,
		Random:  rand.New(rand.NewPCG(1, 2)),
		Policy:  policy,
	})}
	c.dispatcher.Handle(c.now, daisyroute.PeersChanged{VMs: []daisyvm.VM{self}})
	for range service.Slots() / 2 {
		c.open = append(c.open, c.arrive())
	}
	return c
}

func (c *steadyLoad) arrive() daisyrequest.AttemptID {
	c.requests++
	request := daisyrequest.Request{
		ID:         c.requests,
		Arrived:    c.now,
		Deadline:   c.now.Add(250 * time.Millisecond),
		Idempotent: true,
		Hedgeable:  true,
	}
	for _, d := range c.dispatcher.Handle(c.now, daisyroute.RequestArrived{Request: request}) {
		if s, ok := d.(daisyroute.Send); ok {
			return s.Attempt
		}
	}
	return 0
}

// step answers the oldest attempt, with a load report, and starts a new request.
func (c *steadyLoad) step() {
	c.now = c.now.Add(20 * time.Millisecond / time.Duration(len(c.open)))
	oldest := c.open[c.next]
	c.dispatcher.Handle(c.now, daisyroute.AttemptResolved{Attempt: oldest, Outcome: daisyrequest.Answered{Status: 200, Took: 20 * time.Millisecond}})
	c.dispatcher.Handle(c.now, daisyroute.ReportReceived{Endpoint: address(c.next % 15), Report: daisyendpoint.Report{InFlight: 2, Slots: 3}})
	c.dispatcher.Handle(c.now, daisyroute.AttemptReleased{Attempt: oldest})
	for wake := c.dispatcher.NextWake(); !wake.IsZero() && !wake.After(c.now); wake = c.dispatcher.NextWake() {
		c.dispatcher.Handle(c.now, daisyroute.TimePassed{})
	}
	c.open[c.next] = c.arrive()
	c.next = (c.next + 1) % len(c.open)
}

var endpointCounts = []int{15, 45, 1800}

// BenchmarkRequest handles the four events of a request: its arrival, its response,
// a load report and the end of the response.
func BenchmarkRequest(b *testing.B) {
	for _, p := range []daisyroute.Policy{daisyroute.Random{}, daisyroute.LeastOfTwo{Reports: true}, daisyroute.Credits{}} {
		for _, n := range endpointCounts {
			b.Run(fmt.Sprintf("policy=%T/endpoints=%d", p, n), func(b *testing.B) {
				c := newSteadyLoad(n, p)
				for range 1000 {
					c.step()
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					c.step()
				}
			})
		}
	}
}

// BenchmarkWaiting queues a request at a service without free slots and abandons it.
func BenchmarkWaiting(b *testing.B) {
	for _, waiting := range []int{0, 4000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c := newSteadyLoad(15, nil)
			for range 15*3 + waiting {
				c.requests++
				c.dispatcher.Handle(c.now, daisyroute.RequestArrived{Request: daisyrequest.Request{ID: c.requests, Rank: 2, Arrived: c.now, Deadline: c.now.Add(time.Hour)}})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.requests++
				c.dispatcher.Handle(c.now, daisyroute.RequestArrived{Request: daisyrequest.Request{ID: c.requests, Rank: 2, Arrived: c.now, Deadline: c.now.Add(time.Hour)}})
				c.dispatcher.Handle(c.now, daisyroute.RequestAbandoned{Request: c.requests})
			}
		})
	}
}

// maxAllocs is the maximum number of allocations for a request, whatever the number
// of endpoints: three for each of its two decisions, Send and Deliver.
const maxAllocs = 6

func TestAllocationsOfARequestDoNotGrowWithEndpoints(t *testing.T) {
	for _, n := range endpointCounts {
		c := newSteadyLoad(n, daisyroute.LeastOfTwo{Reports: true})
		for range 3000 {
			c.step()
		}
		allocs := testing.AllocsPerRun(1000, c.step)
		assert.Assert(t, allocs <= maxAllocs, "%v allocations at %d endpoints", allocs, n)
	}
}

// BenchmarkServices handles requests of as many services as there are cores, each
// with its own dispatcher.
func BenchmarkServices(b *testing.B) {
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		c := newSteadyLoad(45, daisyroute.LeastOfTwo{Reports: true})
		for p.Next() {
			c.step()
		}
	})
}

// BenchmarkMemory measures the heap bytes of a dispatcher for an endpoint with half of
// its three slots in use, for a further attempt and for a waiting request.
func BenchmarkMemory(b *testing.B) {
	const endpoints, waiting = 1800, 4000
	for range b.N {
		empty := heapBytes()
		c := newSteadyLoad(endpoints, daisyroute.LeastOfTwo{Reports: true})
		halfUsed := heapBytes()
		freeSlots := 3*endpoints - len(c.open)
		c.arriveMany(freeSlots)
		allUsed := heapBytes()
		c.arriveMany(waiting)
		withWaiting := heapBytes()
		b.ReportMetric(float64(halfUsed-empty)/endpoints, "B/endpoint")
		b.ReportMetric(float64(allUsed-halfUsed)/float64(freeSlots), "B/attempt")
		b.ReportMetric(float64(withWaiting-allUsed)/waiting, "B/waiting")
		runtime.KeepAlive(c)
	}
}

func (c *steadyLoad) arriveMany(requests int) {
	for range requests {
		c.requests++
		request := daisyrequest.Request{ID: c.requests, Rank: 2, Arrived: c.now, Deadline: c.now.Add(time.Hour)}
		c.dispatcher.Handle(c.now, daisyroute.RequestArrived{Request: request})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
