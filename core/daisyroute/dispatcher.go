package daisyroute

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"daisyyoke/core/daisybudget"
	"daisyyoke/core/daisycrash"
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

// Options configure a Dispatcher.
type Options struct {
	Self    daisyvm.VM
	Service daisyservice.Service
	// Random is the source of all random choices.
	Random *rand.Rand
	// Policy selects endpoints; nil means LeastOfTwo with reports.
	Policy Policy
	// Limits bound the number of waiting requests; zero means DefaultLimits.
	Limits daisyqueue.Limits
	// Budget limits retries and hedges; nil means PerVM with the default limits.
	Budget Budget
	// Departures are the incarnations of endpoints that are known to leave; nil means none.
	// The dispatcher adds to them.
	Departures *Departures
}

// DefaultLimits are the default limits on the waiting requests of one service on one VM.
var DefaultLimits = daisyqueue.Limits{Rank: 4096, Service: 6144}

// Dispatcher routes the requests of one service on one VM.
type Dispatcher struct {
	self    daisyvm.VM
	service daisyservice.Service
	random  *rand.Rand
	policy  Policy
	// sharings are the groups of endpoints whose slots are shared with other VMs, in the
	// order in which they are asked for credits.
	sharings []*slotSharing
	// zoned is set if the endpoints of each availability zone are a group.
	zoned bool
	// waitingOrder has the requests in the order in which they began to wait. Those that
	// no longer wait are removed later.
	waitingOrder []waiting
	// lastUrgent is the time at which a request of the most urgent rank last arrived.
	lastUrgent time.Time
	// started is set at the first event, which starts the probe schedule.
	started bool

	endpoints []*endpoint
	// byAddress contains the declared endpoints, and removed ones with attempts under way.
	byAddress map[netip.AddrPort]*endpoint
	// free lists the endpoints that may get a further attempt, trials the ejected
	// ones that are due for a trial. Both are unordered.
	free, trials []*endpoint
	// spare is the number of further attempts that may start at the free endpoints.
	spare int
	// usable is the number of endpoints that are neither draining, leaving, evacuated nor removed, and
	// paused the number of those that asked for a pause which has not ended.
	usable, paused int
	// evacuated is the number of declared endpoints that are evacuated.
	evacuated int
	// roundRobinIndex is the index in endpoints that RoundRobin selected last.
	roundRobinIndex int

	health *daisyhealth.Group
	// healthChanges is the value of health.Changes when the endpoints were last refreshed.
	healthChanges uint64
	probes        *daisyprobe.Schedule
	budget        *daisybudget.Budget
	// budgetPolicy determines the limits of budget from the number of VMs that share it,
	// which was last budgetSharers.
	budgetPolicy  Budget
	budgetSharers int
	// departures has the incarnations of endpoints that said that they are going to stop.
	departures *Departures
	// peers are the other live VMs, and incarnations those of all live VMs.
	peers        []daisyvm.Name
	vms          PeersChanged
	incarnations map[daisyvm.Name]daisyvm.Incarnation
	// crashes has the requests that crashed endpoints.
	crashes *daisycrash.Ledger
	// answerBy is set once this VM stops, and is the time by which it answers all requests;
	// acceptUntil is until when it accepts those that may take longer.
	answerBy, acceptUntil time.Time
	// suspected has, for each endpoint that is being checked, the requests that broke off
	// there.
	suspected map[netip.AddrPort][]daisycrash.Crash
	// rateLimited is set if the endpoints' rate limits leave slots unused.
	rateLimited bool
	// leavingPeers is the number of other VMs in a planned stop, and silentSince has the
	// VMs that are no longer heard of without having left as planned.
	leavingPeers int
	silentSince  map[daisyvm.Name]time.Time
	// ownsService is set if this VM owns the service and probes its endpoints for
	// all VMs.
	ownsService bool

	queue *daisyqueue.Queue[*request]
	// skipped contains the waiting requests that dispatchWaiting has skipped so far.
	skipped  []*request
	requests map[daisyrequest.ID]*request
	attempts map[daisyrequest.AttemptID]*attempt
	// lastAttempt is the ID of the attempt that was started last.
	lastAttempt daisyrequest.AttemptID
	// hedgeQueue contains the IDs of the attempts that wait for a hedge, the first one
	// first. IDs of attempts that no longer wait are removed later.
	hedgeQueue []daisyrequest.AttemptID
	// hedgesWaiting is the number of attempts of each rank that wait for a hedge; a rank
	// beyond its end has none.
	hedgesWaiting []int
	// attemptTimers orders the attempts by the time of their next check.
	attemptTimers *daisyheap.Heap[*attempt]
	// endpointTimers orders the endpoints by the time of their next change that
	// needs no event.
	endpointTimers *daisyheap.Heap[*endpoint]

	// lastEvent is the time of the last event.
	lastEvent time.Time
	// nextWake is the last result of NextWake, or zero after a pause of this VM was
	// detected. resumedAt is the time at which the end of the last pause was detected.
	nextWake, resumedAt time.Time

	decisions []Decision
	pool      objectPool
}

// NewDispatcher returns a dispatcher for a service on one VM. Until PeersChanged, it
// assumes that there are no other VMs.
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
	if options.Departures == nil {
		options.Departures = NewDepartures()
	}
	d := &Dispatcher{
		departures:     options.Departures,
		self:           options.Self,
		random:         options.Random,
		policy:         options.Policy,
		byAddress:      make(map[netip.AddrPort]*endpoint),
		health:         newHealthGroup(options.Policy),
		probes:         daisyprobe.New(options.Random),
		budget:         daisybudget.New(options.Budget.limits(1)),
		budgetPolicy:   options.Budget,
		ownsService:    true,
		queue:          daisyqueue.New[*request](options.Service.Ranks, daisyqueue.Options{Limits: options.Limits}),
		requests:       make(map[daisyrequest.ID]*request),
		attempts:       make(map[daisyrequest.AttemptID]*attempt),
		crashes:        daisycrash.NewLedger(options.Self.Name, options.Service.ID),
		suspected:      make(map[netip.AddrPort][]daisycrash.Crash),
		silentSince:    make(map[daisyvm.Name]time.Time),
		attemptTimers:  daisyheap.New[*attempt](daisyheap.Earliest),
		endpointTimers: daisyheap.New[*endpoint](daisyheap.Earliest),
	}
	d.changeService(time.Time{}, options.Service)
	return d
}

// newHealthGroup returns a health group. The group does not eject slow endpoints if
// credits are lent on demand: the owner tracks the slowdown of all endpoints and avoids
// slow ones itself.
func newHealthGroup(policy Policy) *daisyhealth.Group {
	if lendsOnDemand(policy) {
		return daisyhealth.NewFaultOnlyGroup()
	}
	return daisyhealth.NewGroup()
}

// lendsOnDemand reports whether the policy is Credits lent on demand.
func lendsOnDemand(policy Policy) bool {
	c, ok := policy.(Credits)
	if !ok {
		return false
	}
	_, ok = c.Lending.(daisycredit.OnDemand)
	return ok
}

// Handle processes an event that happened at now and returns the decisions to carry
// out, in order. They are valid until the next call. Time must not go back.
func (d *Dispatcher) Handle(now time.Time, event Event) []Decision {
	d.lastEvent = now
	clear(d.decisions)
	d.decisions = d.decisions[:0]
	d.start(now)
	d.detectPause(now)
	d.runEndpointTimers(now)
	d.handleEvent(now, event)
	d.dispatchWaiting(now)
	d.exchangeCredits(now)
	return d.decisions
}

func (d *Dispatcher) handleEvent(now time.Time, event Event) {
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
		d.handleReport(now, e)
	case ProbeFailed:
		d.handleProbeFailure(now, e)
	case EndpointChecked:
		d.handleChecked(now, e)
	case FindingsReceived:
		for _, finding := range e.Findings {
			d.noteFinding(now, finding, false)
		}
	case PeerMessage:
		d.handlePeerMessage(now, e)
	case ServiceChanged:
		d.changeService(now, e.Service)
	case PeersChanged:
		d.changePeers(now, e)
	case StopBegan:
		d.beginStop(now, e)
	case TimePassed:
		d.handleTimePassed(now)
	}
}

func (d *Dispatcher) emit(decision Decision) { d.decisions = append(d.decisions, decision) }

// runEndpointTimers refreshes the endpoints whose timers have expired. It runs
// before each event, so that an event at the same moment sees their new state.
func (d *Dispatcher) runEndpointTimers(now time.Time) {
	for at, e, ok := d.endpointTimers.First(); ok && !now.Before(at); at, e, ok = d.endpointTimers.First() {
		d.endpointTimers.Remove(e.timerIndex)
		d.refresh(now, e)
	}
}

// handleTimePassed checks the attempts that are due for it, expires waiting requests
// and sends probes.
func (d *Dispatcher) handleTimePassed(now time.Time) {
	for at, a, ok := d.attemptTimers.First(); ok && !now.Before(at); at, a, ok = d.attemptTimers.First() {
		d.check(now, a)
	}
	d.updateSilentVMs(now)
	d.dispatchWaiting(now)
	d.expire(now)
	d.sendProbes(now)
}

// NextWake returns the time at which TimePassed has to be handled next; the zero
// time means never.
func (d *Dispatcher) NextWake() time.Time {
	wake := d.queue.NextExpiry()
	check, _, _ := d.attemptTimers.First()
	timer, _, _ := d.endpointTimers.First()
	wake = daisywake.Sooner(wake, daisywake.Sooner(check, timer))
	for _, s := range d.sharings {
		wake = daisywake.Sooner(wake, s.wake())
	}
	wake = daisywake.Sooner(wake, d.nextZoneWake())
	if d.ownsService && !lendsOnDemand(d.policy) {
		wake = daisywake.Sooner(wake, d.probes.NextWake())
	}
	d.nextWake = wake
	return wake
}

// Spare returns the number of further requests that could be started now.
func (d *Dispatcher) Spare() int { return d.spare }

// Demand returns the number of waiting requests of a rank, with hedges, and of its
// attempts under way.
func (d *Dispatcher) Demand(rank daisyrank.Index) daisycredit.Demand {
	waiting := d.queue.Waiting(rank)
	if int(rank) < len(d.hedgesWaiting) {
		waiting += d.hedgesWaiting[rank]
	}
	return daisycredit.Demand{Waiting: uint32(waiting), InFlight: uint32(d.queue.InFlight(rank))}
}

// Ranks returns the indices of the ranks that are declared or have requests, the most
// urgent first.
func (d *Dispatcher) Ranks() []daisyrank.Index { return d.queue.Ranks() }

func (d *Dispatcher) mostUrgent(rank daisyrank.Index) bool {
	return slices.Index(d.queue.Ranks(), rank) == 0
}
