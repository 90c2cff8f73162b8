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

// cycle keeps a dispatcher at half of its slots and takes one request through it at a time.
type cycle struct {
	dispatcher *daisyroute.Dispatcher
	now        time.Time
	requests   daisyrequest.ID
	// open is a ring of the attempts under way, the oldest at next.
	open []daisyrequest.AttemptID
	next int
}

func newCycle(endpoints int, policy daisyroute.Policy) *cycle {
	service := newService(endpoints, 3)
	c := &cycle{now: start, dispatcher: daisyroute.NewDispatcher(daisyroute.Options{
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

func (c *cycle) arrive() daisyrequest.AttemptID {
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

// turn answers the oldest attempt, with a report, and brings a new request.
func (c *cycle) turn() {
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

var sizes = []int{15, 45, 1800}

// BenchmarkRequest takes a request from its arrival over the choice of an endpoint,
// its answer and a report to its end: four events.
func BenchmarkRequest(b *testing.B) {
	for _, p := range []daisyroute.Policy{daisyroute.Random{}, daisyroute.LeastOfTwo{Reports: true}, daisyroute.Credits{}} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("policy=%T/endpoints=%d", p, n), func(b *testing.B) {
				c := newCycle(n, p)
				for range 1000 {
					c.turn()
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					c.turn()
				}
			})
		}
	}
}

// BenchmarkWaiting brings a request to a full service and takes it out again.
func BenchmarkWaiting(b *testing.B) {
	for _, waiting := range []int{0, 4000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c := newCycle(15, nil)
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

// mostAllocs bounds the allocations of a request at any number of endpoints: three
// for each of its two decisions, Send and Deliver.
const mostAllocs = 6

func TestAllocationsOfARequestDoNotGrowWithEndpoints(t *testing.T) {
	for _, n := range sizes {
		c := newCycle(n, daisyroute.LeastOfTwo{Reports: true})
		for range 3000 {
			c.turn()
		}
		allocs := testing.AllocsPerRun(1000, c.turn)
		assert.Assert(t, allocs <= mostAllocs, "%v allocations at %d endpoints", allocs, n)
	}
}

// BenchmarkServices takes requests through as many services as there are cores, each with its own dispatcher.
func BenchmarkServices(b *testing.B) {
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		c := newCycle(45, daisyroute.LeastOfTwo{Reports: true})
		for p.Next() {
			c.turn()
		}
	})
}

// BenchmarkMemory gives the heap bytes that a dispatcher keeps for an endpoint with
// half of its three slots in use, for a further attempt and for a waiting request.
func BenchmarkMemory(b *testing.B) {
	const endpoints, waiting = 1800, 4000
	for range b.N {
		empty := heapBytes()
		c := newCycle(endpoints, daisyroute.LeastOfTwo{Reports: true})
		half := heapBytes()
		rest := 3*endpoints - len(c.open)
		c.flood(rest)
		full := heapBytes()
		c.flood(waiting)
		flooded := heapBytes()
		b.ReportMetric(float64(half-empty)/endpoints, "B/endpoint")
		b.ReportMetric(float64(full-half)/float64(rest), "B/attempt")
		b.ReportMetric(float64(flooded-full)/waiting, "B/waiting")
		runtime.KeepAlive(c)
	}
}

func (c *cycle) flood(requests int) {
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
