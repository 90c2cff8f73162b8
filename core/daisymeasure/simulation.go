// Package daisymeasure measures routing in virtual time.
//
// A Simulation has VMs with a daisyroute.Dispatcher for each service, simulated
// endpoints, callers that arrive at random, and a network with delay and loss. The
// same Scenario and seed always produce the same results.
package daisymeasure

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyheap"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Scenario defines one measurement.
type Scenario struct {
	Fleet Fleet
	// Load is the work that arrives for each rank, as a share of the capacity of all slots.
	Load [rankCount]float64
	// Duration is how long callers arrive. Requests that arrive during Warmup are
	// not counted in Tally.Ranks.
	Duration time.Duration
	Warmup   time.Duration
	// DrainTime is the longest time that the run continues after Duration, so that open
	// calls can end; 0 means DefaultDrainTime.
	DrainTime time.Duration
	Faults    []Fault
	Seed      uint64
	// MessageLoss is the share of the messages between VMs that are lost.
	MessageLoss float64
	// ReportAge is the age of the load in the endpoints' reports.
	ReportAge time.Duration
	// FalseReportShare is the share of the reports that have a random load.
	FalseReportShare float64
	// NoReports makes the endpoints send no load reports with their answers.
	NoReports bool
	// MessageSize returns the encoded size of a message in bytes. If it is nil, no
	// bytes are counted.
	MessageSize func(daisymessage.Message) int
	// MessageWork is the processor time of a whole core for a message that a VM sends or
	// receives, or for the result of a probe.
	MessageWork time.Duration
}

// Simulation is the state of a run of a Scenario.
type Simulation struct {
	scenario Scenario
	policy   Policy
	now      time.Time
	start    time.Time
	events   *daisyheap.Heap[*scheduledEvent]
	services []*service
	vms      []*vm
	calls    []*call
	// openCalls counts the calls that have not ended.
	openCalls int
	// callerRandom, linkRandom and reportRandom are separate, so that all policies
	// receive the same requests.
	callerRandom *rand.Rand
	linkRandom   *rand.Rand
	reportRandom *rand.Rand
	partitioned  bool
	tally        *Tally
}

// service is a service with its simulated endpoints.
type service struct {
	daisyservice.Service
	index         int
	slots         int
	endpoints     map[netip.AddrPort]*endpoint
	endpointOrder []*endpoint
	// central is the queue of the CentralQueue policy.
	central centralState
}

// vm is a VM with a dispatcher for each service. The slices are indexed by service.
type vm struct {
	daisyvm.VM
	dispatchers []*daisyroute.Dispatcher
	wakeTimes   []time.Time
	attempts    []map[daisyrequest.AttemptID]*attempt
	pausedUntil time.Time
	// cores is the number of cores, 0 if the processor is never busy, and busyUntil when it
	// has done the work that has arrived.
	cores         float64
	busyUntil     time.Time
	dead          bool
	partitionSide int
}

// call is a caller's request.
type call struct {
	daisyrequest.Request
	rank    daisyrank.Index
	service *service
	vm      *vm
	// work is the time that an endpoint works on the first attempt and on each later one.
	work           [2]time.Duration
	sendCount      int
	startCount     int
	ended          bool
	reportedNotRun bool
	afterWarmup    bool
}

// attempt is one send of a call.
type attempt struct {
	id       daisyrequest.AttemptID
	call     *call
	vm       *vm
	endpoint *endpoint
	work     time.Duration
	// instance is the incarnation for which the attempt is meant.
	instance daisyendpoint.Instance
	state    attemptState
	resolved bool
	outcome  daisyrequest.Outcome
}

// Run measures a policy under a scenario.
func Run(scenario Scenario, policy Policy) *Tally {
	sm := newSimulation(scenario, policy)
	if scenario.DrainTime == 0 {
		scenario.DrainTime = DefaultDrainTime
	}
	for sm.runNextEvent() {
		overrun := sm.now.Sub(sm.start) - scenario.Duration
		if overrun > scenario.DrainTime || overrun > 0 && sm.openCalls == 0 {
			break
		}
	}
	sm.tally.countViolations(sm)
	sm.tally.recordArrivals(sm)
	return sm.tally
}

// DefaultDrainTime is long enough for all calls to end, unless the load far exceeds
// the capacity.
const DefaultDrainTime = time.Minute

func newSimulation(scenario Scenario, policy Policy) *Simulation {
	sm := &Simulation{
		scenario:     scenario,
		policy:       policy,
		start:        time.Unix(1_000_000_000, 0),
		events:       daisyheap.New[*scheduledEvent](daisyheap.Earliest),
		callerRandom: rand.New(rand.NewPCG(scenario.Seed, 1)),
		linkRandom:   rand.New(rand.NewPCG(scenario.Seed, 2)),
		reportRandom: rand.New(rand.NewPCG(scenario.Seed, 3)),
		tally:        newTally(),
	}
	sm.now = sm.start
	for i := range scenario.Fleet.Endpoints {
		sm.services = append(sm.services, newService(i, scenario.Fleet.service(i)))
	}
	for i := range scenario.Fleet.VMs {
		sm.vms = append(sm.vms, sm.newVM(i))
	}
	for _, v := range sm.vms {
		sm.schedule(0, livenessChecked{vm: v})
	}
	for _, f := range scenario.Faults {
		begin, length := f.span()
		sm.schedule(begin, faultChanged{fault: f, begins: true})
		sm.schedule(begin+length, faultChanged{fault: f})
	}
	for _, s := range sm.services {
		for r := range rankCount {
			sm.scheduleCaller(s, r)
		}
	}
	return sm
}

func newService(index int, declared daisyservice.Service) *service {
	s := &service{Service: declared, index: index, slots: declared.Slots(), endpoints: make(map[netip.AddrPort]*endpoint)}
	for _, e := range declared.Endpoints {
		x := &endpoint{Endpoint: e, slowdown: 1}
		s.endpoints[e.Address] = x
		s.endpointOrder = append(s.endpointOrder, x)
	}
	return s
}

func (sm *Simulation) newVM(i int) *vm {
	v := &vm{VM: sm.scenario.Fleet.vm(i), partitionSide: i % 2}
	if f := sm.scenario.Fleet; f.Cores != nil {
		v.cores = f.Cores(i)
	}
	for _, s := range sm.services {
		v.wakeTimes = append(v.wakeTimes, time.Time{})
		v.attempts = append(v.attempts, make(map[daisyrequest.AttemptID]*attempt))
		v.dispatchers = append(v.dispatchers, sm.newDispatcher(v, s, i))
	}
	return v
}

func (sm *Simulation) findVM(name daisyvm.Name) *vm {
	for _, v := range sm.vms {
		if v.Name == name {
			return v
		}
	}
	return nil
}

// visibleVMs returns the VMs that v considers live, including v.
func (sm *Simulation) visibleVMs(v *vm) []daisyvm.VM {
	var live []daisyvm.VM
	for _, x := range sm.vms {
		if x.dead || sm.now.Before(x.pausedUntil) && x != v || sm.partitioned && x.partitionSide != v.partitionSide {
			continue
		}
		live = append(live, x.VM)
	}
	return live
}

func (sm *Simulation) scheduleCaller(s *service, rank daisyrank.Index) {
	load := sm.scenario.Load[rank]
	if load == 0 {
		return
	}
	mean := float64(meanWork[rank]) / (load * float64(s.slots))
	after := time.Duration(sm.callerRandom.ExpFloat64() * mean)
	if sm.now.Add(after).Sub(sm.start) < sm.scenario.Duration {
		sm.schedule(after, callerArrived{service: s, rank: rank})
	}
}

// handleCaller schedules the next caller and starts a call of this one at a random
// live VM.
func (sm *Simulation) handleCaller(e callerArrived) {
	sm.scheduleCaller(e.service, e.rank)
	c := sm.newCall(e)
	sm.calls = append(sm.calls, c)
	sm.openCalls++
	sm.tally.recordCall(c)
	if _, ok := sm.policy.(CentralQueue); ok {
		sm.enqueueCentral(c)
		return
	}
	sm.handle(c.vm, c.service, daisyroute.RequestArrived{Request: c.Request})
}

func (sm *Simulation) newCall(e callerArrived) *call {
	c := &call{service: e.service, rank: e.rank, afterWarmup: sm.now.Sub(sm.start) >= sm.scenario.Warmup}
	n := sm.callerRandom.IntN(len(sm.vms))
	for sm.vms[n].dead || sm.now.Before(sm.vms[n].pausedUntil) {
		n = (n + 1) % len(sm.vms)
	}
	c.vm = sm.vms[n]
	for i := range c.work {
		c.work[i] = sm.drawWork(e.rank)
	}
	c.Request = daisyrequest.Request{
		ID:         daisyrequest.ID(len(sm.calls) + 1),
		Service:    e.service.ID,
		Rank:       e.service.Ranks[e.rank].Name,
		Arrived:    sm.now,
		Deadline:   sm.now.Add(e.service.Ranks[e.rank].Target),
		Idempotent: e.rank != Standard,
		Hedgeable:  e.rank == Urgent,
	}
	return c
}

func (sm *Simulation) drawWork(rank daisyrank.Index) time.Duration {
	scale := math.Exp(workSigma*sm.callerRandom.NormFloat64() - workSigma*workSigma/2)
	return time.Duration(scale * float64(meanWork[rank]))
}
