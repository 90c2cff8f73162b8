package daisycontroller

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisylog"
	"daisyyoke/io/daisymetric"
)

// Sender sends messages to other VMs.
type Sender interface {
	// Send sends a message without blocking; the message may be lost.
	Send(to daisyvm.Name, message daisymessage.Message)
}

// Prober requests load reports from endpoints.
type Prober interface {
	// Probe asks an endpoint of a service for its load. The notice is what the
	// endpoint asked for in its answer, also if that is no report.
	Probe(ctx context.Context, service daisyservice.Service, endpoint netip.AddrPort) (daisyendpoint.Report, daisyendpoint.Notice, error)
}

// Checker finds out whether endpoints accept connections.
type Checker interface {
	// Check tries to connect to an endpoint.
	Check(ctx context.Context, endpoint netip.AddrPort) daisyendpoint.Reachability
}

// RouteOptions are the dependencies and settings of a Route controller.
type RouteOptions struct {
	Self   daisyvm.VM
	Sender Sender
	Prober Prober
	// Checker tells crashes of endpoints from broken connections; nil means that no request
	// is quarantined.
	Checker Checker
	// Log records changes of endpoints and of the lending of slots; nil disables it.
	Log *daisylog.Log
	// Metrics counts the probes and the messages about services; nil disables it.
	Metrics *daisymetric.Metrics
	// MaxRequests is the maximum number of requests of all services on this VM; 0 means no limit.
	MaxRequests int
	// Policy is the routing policy; nil means daisyroute.Credits with an overcommit of 1.
	Policy daisyroute.Policy
	// Budget is the retry budget; nil means daisyroute.PerVM with the default limits.
	Budget daisyroute.Budget
	// ColdBound bounds the requests to cold endpoints.
	ColdBound daisyendpoint.ColdBound
	// Seed makes the random choices reproducible.
	Seed uint64
}

// Route keeps the routing state of all services, with one shard per (fleet, service).
type Route struct {
	options RouteOptions
	shards  atomic.Pointer[map[daisyservice.ID]*routeShard]
	// changeMu serializes changes of the shard map and of peers; requests never lock it.
	changeMu sync.Mutex
	// peers are the VMs that share the services; new shards are initialized with them.
	peers daisyroute.PeersChanged
	// services are the declared services in the order of the configuration, guarded by
	// changeMu.
	services      []daisyservice.ID
	lastRequestID atomic.Uint64
	// activeRequests counts the requests of all services that have begun and not ended.
	activeRequests atomic.Int64
	// evacuatedZones is the number of availability zones that are evacuated.
	evacuatedZones atomic.Int64
	// stopBegan is set once this VM stops; new shards are initialized with it. It is guarded
	// by changeMu.
	stopBegan daisyroute.StopBegan
	// departures has those of each service that was ever declared, guarded by changeMu.
	departures map[daisyservice.ID]*daisyroute.Departures
	probes     *probePool
	// findings has what shards have found out about requests and the other shards are to know.
	findings chan ownFinding
	done     chan struct{}
	wg       sync.WaitGroup
}

var _ Controller = (*Route)(nil)

// NewRoute returns a controller without services; Apply sets them.
func NewRoute(options RouteOptions) *Route {
	if options.Policy == nil {
		options.Policy = daisyroute.Credits{Overcommit: 1}
	}
	c := &Route{
		options:    options,
		departures: make(map[daisyservice.ID]*daisyroute.Departures),
		probes:     newProbePool(options.Prober, options.Checker, options.Metrics),
		findings:   make(chan ownFinding, findingQueueSize),
		done:       make(chan struct{}),
	}
	c.shards.Store(&map[daisyservice.ID]*routeShard{})
	c.wg.Go(func() {
		for {
			select {
			case f := <-c.findings:
				c.shareFinding(f)
			case <-c.done:
				return
			}
		}
	})
	return c
}

func (c *Route) controller() {}

// Close stops the probes and the timers of all shards, and waits for their goroutines.
func (c *Route) Close() {
	c.changeMu.Lock()
	defer c.changeMu.Unlock()
	close(c.done)
	c.wg.Wait()
	c.probes.close()
	for _, s := range *c.shards.Load() {
		s.close()
	}
}

// retireTime is how long the shard of a removed service still takes requests: those that
// were matched before the removal reach it well within this time.
const retireTime = 5 * time.Second

// Apply prepares the services of a confirmed configuration; Index then puts it in force for
// new requests. The shard of a removed service still takes requests that were matched with
// an earlier configuration. A later call closes it, once retireTime has passed and it is
// idle.
func (c *Route) Apply(snapshot *daisyconfig.Snapshot) {
	c.changeMu.Lock()
	defer c.changeMu.Unlock()
	dealt := c.setServices(snapshot.Intent.Fleets)
	shards := maps.Clone(*c.shards.Load())
	declared := make(map[daisyservice.ID]bool)
	for _, f := range snapshot.Intent.Fleets {
		for _, v := range f.Services {
			declared[v.ID] = true
			c.applyService(shards, v)
		}
	}
	for id, s := range shards {
		if !declared[id] && s.retire(now()) {
			s.close()
			delete(shards, id)
		}
	}
	c.shards.Store(&shards)
	if dealt {
		c.announcePeers()
	}
	c.evacuatedZones.Store(int64(len(snapshot.EvacuatedZones())))
}

func (c *Route) applyService(shards map[daisyservice.ID]*routeShard, service daisyservice.Service) {
	service.ColdRate = c.options.ColdBound.Rate(service.ColdRate)
	if s := shards[service.ID]; s != nil {
		s.changeService(service)
		return
	}
	departures := c.departures[service.ID]
	if departures == nil {
		departures = daisyroute.NewDepartures()
		c.departures[service.ID] = departures
	}
	random := rand.New(rand.NewPCG(c.options.Seed, uint64(len(shards))))
	dispatcher := daisyroute.NewDispatcher(daisyroute.Options{
		Self:    c.options.Self,
		Service: service,
		Policy:  c.options.Policy,
		Budget:  c.options.Budget,
		Random:  random,

		Departures: departures,
	})
	s := newRouteShard(c, service, dispatcher)
	s.handle(c.peers)
	s.handle(daisyroute.FindingsReceived{Findings: c.knownFindings()})
	if !c.stopBegan.AnswerBy.IsZero() {
		s.handle(c.stopBegan)
	}
	shards[service.ID] = s
}

func (c *Route) shard(id daisyservice.ID) *routeShard { return (*c.shards.Load())[id] }

// Begin starts the routing of a request and assigns its id. It fails with
// daisyerror.NotFound for a service that is unknown or was removed for retireTime.
func (c *Route) Begin(request daisyrequest.Request) (*Ticket, error) {
	s := c.shard(request.Service)
	if s == nil {
		return nil, daisyerror.NotFound.New("no service %s", request.Service)
	}
	request.ID = daisyrequest.ID(c.lastRequestID.Add(1))
	t := &Ticket{shard: s, request: request, decisions: make(chan daisyroute.Decision, decisionQueueSize)}
	if !s.begin(t) {
		return nil, daisyerror.NotFound.New("no service %s", request.Service)
	}
	return t, nil
}

// remainingRequests returns how many more requests the VM accepts, at least 1; 0 means no limit.
func (c *Route) remainingRequests() int {
	if c.options.MaxRequests == 0 {
		return 0
	}
	return max(1, c.options.MaxRequests-int(c.activeRequests.Load()))
}

// Spare returns how many more requests of all services this VM could take if the
// other VMs had none: the slots of the services minus this VM's own requests. Held
// credits are no measure of spare capacity, since credits follow the callers: directing
// callers to the VM with the most credits would concentrate them on one VM. If the capacity
// of this VM is known, the result is lowered so that callers' weight of it, see
// daisyvm.DefaultSpareExponent, falls to the share of its processor that lending leaves.
func (c *Route) Spare() int {
	spare := 0
	for _, s := range *c.shards.Load() {
		spare += s.spare()
	}
	lending := c.LendingLoad()
	if lending == 0 {
		return spare
	}
	left := max(1-lending, minShareLeft)
	return int(float64(spare) * math.Pow(left, 1/daisyvm.DefaultSpareExponent))
}

// LendingLoad returns the share of this VM's processor that lending slots to other VMs takes,
// as estimated from the number of credits; 0 if its capacity is not known.
func (c *Route) LendingLoad() float64 {
	sum := 0.0
	for _, s := range *c.shards.Load() {
		sum += s.lendingLoad()
	}
	return sum
}

// minShareLeft is the least share of its processor that a VM counts on for requests besides
// lending: its measure of lending is not exact enough to get no requests at all.
const minShareLeft = 0.1

// SetPeers sets the VMs that share the services, and those in a planned stop.
func (c *Route) SetPeers(vms, leaving []daisyvm.VM) {
	c.changeMu.Lock()
	defer c.changeMu.Unlock()
	c.peers = daisyroute.PeersChanged{VMs: vms, Leaving: leaving, Owners: daisycredit.DealOwners(c.services, vms)}
	c.announcePeers()
}

func (c *Route) announcePeers() {
	for _, s := range *c.shards.Load() {
		s.handle(c.peers)
	}
}

// setServices deals the owners anew if the declared services have changed. It reports
// whether the shards have to be told. The caller must hold c.changeMu.
func (c *Route) setServices(fleets []daisyconfig.Fleet) bool {
	var services []daisyservice.ID
	for _, f := range fleets {
		for _, s := range f.Services {
			services = append(services, s.ID)
		}
	}
	if slices.Equal(services, c.services) {
		return false
	}
	c.services = services
	c.peers.Owners = daisycredit.DealOwners(services, c.peers.VMs)
	return c.peers.Owners != nil
}

// LimitRequests sets the time by which all requests have to be answered, because this VM
// stops, and until when it accepts those that may take longer.
func (c *Route) LimitRequests(by, acceptUntil time.Time) {
	c.changeMu.Lock()
	defer c.changeMu.Unlock()
	c.stopBegan = daisyroute.StopBegan{AnswerBy: by, AcceptUntil: acceptUntil}
	for _, s := range *c.shards.Load() {
		s.handle(c.stopBegan)
	}
}

// Receive handles a message from another VM that concerns a service.
func (c *Route) Receive(from daisyvm.Name, service daisyservice.ID, message daisymessage.Message) {
	c.options.Metrics.MessageReceived(message)
	if s := c.shard(service); s != nil {
		s.handle(daisyroute.PeerMessage{From: from, Message: message})
	}
}

// decisionQueueSize is the capacity of a request's decision channel. It exceeds the
// number of decisions on one request, so that a shard never blocks on a request.
const decisionQueueSize = 16

// Ticket is the handle of a request that is being routed.
type Ticket struct {
	shard     *routeShard
	request   daisyrequest.Request
	decisions chan daisyroute.Decision
}

// Request returns the request, including its id.
func (t *Ticket) Request() daisyrequest.Request { return t.request }

// Decisions returns the channel of decisions on this request: Send, Deliver, Fail and Cancel.
func (t *Ticket) Decisions() <-chan daisyroute.Decision { return t.decisions }

// Resolution is the result of an attempt.
type Resolution struct {
	Attempt daisyrequest.AttemptID
	Outcome daisyrequest.Outcome
	// Resendable reports whether the whole request can be sent again.
	Resendable bool
	// Endpoint is the endpoint that reported its load with the answer; the zero value
	// means that there is no report.
	Endpoint netip.AddrPort
	// Report is the load that Endpoint reported.
	Report daisyendpoint.Report
	// RateLimit is the rate limit that the endpoint named; nil if its response says
	// nothing about it.
	RateLimit daisyendpoint.RateLimit
	// Notice is what the endpoint asked for in its response; nil means nothing.
	Notice daisyendpoint.Notice
	// Fingerprint identifies the request with its body; not complete if the body is not known.
	Fingerprint daisyrequest.Fingerprint
}

// Resolve reports the result of an attempt.
func (t *Ticket) Resolve(resolution Resolution) { t.shard.resolve(resolution) }

// Release reports that the answer body of an attempt that was answered but not
// delivered has ended.
func (t *Ticket) Release(attempt daisyrequest.AttemptID, ending daisyrequest.Ending) {
	t.shard.release(daisyroute.AttemptReleased{Attempt: attempt, Ending: ending})
}

// Finish reports that the answer body of the delivered attempt has ended, and closes
// the ticket.
func (t *Ticket) Finish(attempt daisyrequest.AttemptID, ending daisyrequest.Ending) {
	t.shard.finish(t.request.ID, daisyroute.AttemptReleased{Attempt: attempt, Ending: ending})
}

// Abandon reports that the caller has disconnected or no longer waits for an answer.
func (t *Ticket) Abandon() {
	t.shard.handle(daisyroute.RequestAbandoned{Request: t.request.ID})
}

// Close closes the ticket; no decision arrives after it.
func (t *Ticket) Close() { t.shard.removeTicket(t.request.ID) }

// now returns the current time. It is the only clock that decisions are based on.
func now() time.Time { return time.Now() }
