package daisyroute

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"daisyyoke/core/daisybudget"
	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyhealth"
	"daisyyoke/core/daisyheap"
	"daisyyoke/core/daisyprobe"
	"daisyyoke/core/daisyqueue"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/core/daisywake"
)

// Options are what a Dispatcher depends on.
type Options struct {
	Self    daisyvm.VM
	Service daisyservice.Service
	// Random is the source of all random choices.
	Random *rand.Rand
	// Policy is LeastOfTwo with reports when it is nil.
	Policy Policy
	// Limits bound how many requests wait; DefaultLimits when zero.
	Limits daisyqueue.Limits
	// Budget is PerVM with the default limits when it is nil.
	Budget Budget
}

// DefaultLimits bound the waiting requests of one service on one VM.
var DefaultLimits = daisyqueue.Limits{Rank: 4096, Service: 6144}

// Dispatcher routes the requests of one service on one VM.
type Dispatcher struct {
	self    daisyvm.Name
	service daisyservice.Service
	random  *rand.Rand
	policy  Policy
	credits *credits
	begun   bool

	endpoints []*endpoint
	// byAddress has the declared endpoints, and removed ones with attempts under way.
	byAddress map[netip.AddrPort]*endpoint
	// free lists the endpoints that may take a further attempt, trials the ejected
	// ones that are due for one, both in no order.
	free, trials []*endpoint
	// spare is the number of further attempts that the free endpoints may have.
	spare int
	// usable counts the endpoints that are neither draining nor removed.
	usable int
	// turn is the place of RoundRobin in endpoints.
	turn int

	health  *daisyhealth.Group
	changes uint64
	probes  *daisyprobe.Schedule
	budget  *daisybudget.Budget
	shared  Budget
	// peers are the other live VMs; owner says that this VM probes for all.
	peers []daisyvm.Name
	owner bool

	queue    *daisyqueue.Queue[*request]
	skipped  []*request
	requests map[daisyrequest.ID]*request
	attempts map[daisyrequest.AttemptID]*attempt
	sent     daisyrequest.AttemptID
	// hedges has the attempts that wait for a hedge, the first one first.
	// Those that do so no longer stay in the list for a while; hedging counts the others by rank.
	hedges  []daisyrequest.AttemptID
	hedging []int
	// checks has the attempts by the time of their next check, timers the endpoints
	// by the time at which they change by themselves.
	checks *daisyheap.Heap[*attempt]
	timers *daisyheap.Heap[*endpoint]

	// promised is the last answer of NextWake, resumed the end of the last pause of this VM.
	promised, resumed time.Time

	decisions []Decision
	spent     spent
}

// NewDispatcher gives a dispatcher for a service on one VM. Until PeersChanged the VM takes itself to be alone.
func NewDispatcher(options Options) *Dispatcher {
	if options.Policy == nil {
		options.Policy = LeastOfTwo{Reports: true}
	}
	if options.Budget == nil {
		options.Budget = PerVM{Limits: daisybudget.DefaultLimits()}
	}
	if options.Limits == (daisyqueue.Limits{}) {
		options.Limits = DefaultLimits
	}
	d := &Dispatcher{
		self:      options.Self.Name,
		random:    options.Random,
		policy:    options.Policy,
		byAddress: make(map[netip.AddrPort]*endpoint),
		health:    newGroup(options.Policy),
		probes:    daisyprobe.New(options.Random),
		budget:    daisybudget.New(options.Budget.limits(1)),
		shared:    options.Budget,
		owner:     true,
		queue:     daisyqueue.New[*request](options.Service.Ranks, daisyqueue.Options{Limits: options.Limits}),
		requests:  make(map[daisyrequest.ID]*request),
		attempts:  make(map[daisyrequest.AttemptID]*attempt),
		checks:    daisyheap.New[*attempt](daisyheap.Earliest),
		timers:    daisyheap.New[*endpoint](daisyheap.Earliest),
	}
	d.credits = newCredits(options)
	d.changeService(time.Time{}, options.Service)
	return d
}

// newGroup leaves slow endpoints to an owner that knows the pace of all.
func newGroup(policy Policy) *daisyhealth.Group {
	if onDemand(policy) {
		return daisyhealth.NewTolerantGroup()
	}
	return daisyhealth.NewGroup()
}

func onDemand(policy Policy) bool {
	c, ok := policy.(Credits)
	if !ok {
		return false
	}
	_, ok = c.Lending.(daisycredit.OnDemand)
	return ok
}

// Handle takes an event that happened at now and gives what has to be done, in
// order. The decisions are valid until the next call. Time must not go back.
func (d *Dispatcher) Handle(now time.Time, event Event) []Decision {
	clear(d.decisions)
	d.decisions = d.decisions[:0]
	d.begin(now)
	d.noticePause(now)
	d.ripen(now)
	d.take(now, event)
	d.dispatchWaiting(now)
	d.exchangeCredits(now)
	return d.decisions
}

func (d *Dispatcher) take(now time.Time, event Event) {
	switch e := event.(type) {
	case RequestArrived:
		d.handleArrival(now, e)
	case RequestAbandoned:
		d.handleAbandonment(now, e.Request)
	case AttemptResolved:
		d.resolve(now, e)
	case AttemptReleased:
		d.release(now, e)
	case ReportReceived:
		d.takeReport(now, e)
	case ProbeFailed:
		d.probeFailed(now, e.Endpoint)
	case PeerMessage:
		d.takeMessage(now, e)
	case ServiceChanged:
		d.changeService(now, e.Service)
		d.credits.changeService(now, e.Service)
	case PeersChanged:
		d.changePeers(now, e)
	case TimePassed:
		d.pass(now)
	}
}

func (d *Dispatcher) emit(decision Decision) { d.decisions = append(d.decisions, decision) }

// ripen brings up to date the endpoints that have changed by time alone, before an
// event that came at the same moment is judged by them.
func (d *Dispatcher) ripen(now time.Time) {
	for at, e, ok := d.timers.First(); ok && !now.Before(at); at, e, ok = d.timers.First() {
		d.timers.Remove(e.timer)
		d.refresh(now, e)
	}
}

// pass does what has come due.
func (d *Dispatcher) pass(now time.Time) {
	for at, a, ok := d.checks.First(); ok && !now.Before(at); at, a, ok = d.checks.First() {
		d.check(now, a)
	}
	d.dispatchWaiting(now)
	d.expire(now)
	d.probe(now)
}

// NextWake gives when TimePassed has to be handled next; the zero time means never.
func (d *Dispatcher) NextWake() time.Time {
	wake := d.queue.NextExpiry()
	check, _, _ := d.checks.First()
	timer, _, _ := d.timers.First()
	wake = daisywake.Sooner(wake, daisywake.Sooner(check, timer))
	wake = daisywake.Sooner(wake, d.credits.wake())
	if d.owner && !onDemand(d.policy) {
		wake = daisywake.Sooner(wake, d.probes.Next())
	}
	d.promised = wake
	return wake
}

// Spare gives how many further requests could be started at once.
func (d *Dispatcher) Spare() int { return d.spare }

// Demand gives what a rank waits for, hedges among it, and uses.
func (d *Dispatcher) Demand(rank daisyrank.Index) daisycredit.Demand {
	return daisycredit.Demand{
		Waiting:  uint32(d.queue.Waiting(rank) + d.hedging[rank]),
		InFlight: uint32(d.queue.InFlight(rank)),
	}
}
