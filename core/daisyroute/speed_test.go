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
	l := &steadyLoad{now: start, dispatcher: daisyroute.NewDispatcher(daisyroute.Options{
		Self:    self,
		Service: service,
		Random:  rand.New(rand.NewPCG(1, 2)),
		Policy:  policy,
	})}
	l.dispatcher.Handle(l.now, daisyroute.PeersChanged{VMs: []daisyvm.VM{self}})
	for range service.Slots() / 2 {
		l.open = append(l.open, l.arrive())
	}
	return l
}

func (l *steadyLoad) arrive() daisyrequest.AttemptID {
	l.requests++
	request := daisyrequest.Request{
		ID:         l.requests,
		Arrived:    l.now,
		Deadline:   l.now.Add(250 * time.Millisecond),
		Idempotent: true,
		Hedgeable:  true,
	}
	for _, d := range l.dispatcher.Handle(l.now, daisyroute.RequestArrived{Request: request}) {
		if s, ok := d.(daisyroute.Send); ok {
			return s.Attempt
		}
	}
	return 0
}

// step answers the oldest attempt, with a load report, and starts a new request.
func (l *steadyLoad) step() {
	l.now = l.now.Add(20 * time.Millisecond / time.Duration(len(l.open)))
	oldest := l.open[l.next]
	l.dispatcher.Handle(l.now, daisyroute.AttemptResolved{Attempt: oldest, Outcome: daisyrequest.Answered{Status: 200, ResponseTime: 20 * time.Millisecond}})
	l.dispatcher.Handle(l.now, daisyroute.ReportReceived{Endpoint: address(l.next % 15), Report: daisyendpoint.Report{InFlight: 2, Slots: 3}})
	l.dispatcher.Handle(l.now, daisyroute.AttemptReleased{Attempt: oldest})
	for wake := l.dispatcher.NextWake(); !wake.IsZero() && !wake.After(l.now); wake = l.dispatcher.NextWake() {
		l.dispatcher.Handle(l.now, daisyroute.TimePassed{})
	}
	l.open[l.next] = l.arrive()
	l.next = (l.next + 1) % len(l.open)
}

var endpointCounts = []int{15, 45, 1800}

// BenchmarkRequest handles the four events of a request: its arrival, its response,
// a load report and the end of the response.
func BenchmarkRequest(b *testing.B) {
	for _, p := range []daisyroute.Policy{daisyroute.Random{}, daisyroute.LeastOfTwo{Reports: true}, daisyroute.Credits{}} {
		for _, n := range endpointCounts {
			b.Run(fmt.Sprintf("policy=%T/endpoints=%d", p, n), func(b *testing.B) {
				l := newSteadyLoad(n, p)
				for range 1000 {
					l.step()
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					l.step()
				}
			})
		}
	}
}

// BenchmarkWaiting queues a request at a service without free slots and abandons it.
func BenchmarkWaiting(b *testing.B) {
	for _, waiting := range []int{0, 4000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			l := newSteadyLoad(15, nil)
			for range 15*3 + waiting {
				l.requests++
				l.dispatcher.Handle(l.now, daisyroute.RequestArrived{Request: daisyrequest.Request{ID: l.requests, Rank: ranks[2].Name, Arrived: l.now, Deadline: l.now.Add(time.Hour)}})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				l.requests++
				l.dispatcher.Handle(l.now, daisyroute.RequestArrived{Request: daisyrequest.Request{ID: l.requests, Rank: ranks[2].Name, Arrived: l.now, Deadline: l.now.Add(time.Hour)}})
				l.dispatcher.Handle(l.now, daisyroute.RequestAbandoned{Request: l.requests})
			}
		})
	}
}

// maxAllocs is the maximum number of allocations for a request, whatever the number
// of endpoints: three for each of its two decisions, Send and Deliver.
const maxAllocs = 6

func TestAllocationsOfARequestDoNotGrowWithEndpoints(t *testing.T) {
	for _, n := range endpointCounts {
		l := newSteadyLoad(n, daisyroute.LeastOfTwo{Reports: true})
		for range 3000 {
			l.step()
		}
		allocs := testing.AllocsPerRun(1000, l.step)
		assert.Assert(t, allocs <= maxAllocs, "%v allocations at %d endpoints", allocs, n)
	}
}

// BenchmarkServices handles requests of as many services as there are cores, each
// with its own dispatcher.
func BenchmarkServices(b *testing.B) {
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		l := newSteadyLoad(45, daisyroute.LeastOfTwo{Reports: true})
		for p.Next() {
			l.step()
		}
	})
}

// BenchmarkMemory measures the heap bytes of a dispatcher for an endpoint with half of
// its three slots in use, for a further attempt and for a waiting request.
func BenchmarkMemory(b *testing.B) {
	const endpoints, waiting = 1800, 4000
	for range b.N {
		empty := heapBytes()
		l := newSteadyLoad(endpoints, daisyroute.LeastOfTwo{Reports: true})
		halfUsed := heapBytes()
		freeSlots := 3*endpoints - len(l.open)
		l.arriveMany(freeSlots)
		allUsed := heapBytes()
		l.arriveMany(waiting)
		withWaiting := heapBytes()
		b.ReportMetric(float64(halfUsed-empty)/endpoints, "B/endpoint")
		b.ReportMetric(float64(allUsed-halfUsed)/float64(freeSlots), "B/attempt")
		b.ReportMetric(float64(withWaiting-allUsed)/waiting, "B/waiting")
		runtime.KeepAlive(l)
	}
}

func (l *steadyLoad) arriveMany(requests int) {
	for range requests {
		l.requests++
		request := daisyrequest.Request{ID: l.requests, Rank: ranks[2].Name, Arrived: l.now, Deadline: l.now.Add(time.Hour)}
		l.dispatcher.Handle(l.now, daisyroute.RequestArrived{Request: request})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
