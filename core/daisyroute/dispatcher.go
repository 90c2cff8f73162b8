package daisyroute

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

const (
	// maxAttempts bounds the sends of one request.
	maxAttempts = 3
	// retryAfter is what a refused caller is asked to wait.
	retryAfter = time.Second
)

// Options are what a Dispatcher depends on.
type Options struct {
	Self    daisyvm.VM
	Service daisyservice.Service
	// Random is the source of all random choices.
	Random *rand.Rand
	// Policy is LeastOfTwo with reports when it is nil.
	Policy Policy
}

// Dispatcher routes the requests of one service on one VM.
type Dispatcher struct {
	self      daisyvm.Name
	service   daisyservice.Service
	random    *rand.Rand
	policy    Policy
	credits   *credits
	endpoints []*endpoint
	byAddress map[netip.AddrPort]*endpoint
	// free lists the endpoints that may take a further attempt, in no order.
	free []*endpoint
	// spare is the number of further attempts that all endpoints may have.
	spare int
	// turn is the place of RoundRobin in endpoints.
	turn     int
	requests map[daisyrequest.ID]*request
	attempts map[daisyrequest.AttemptID]*attempt
	waiting  [][]*request
	// inFlight counts the attempts under way by rank.
	inFlight []int
	sent     daisyrequest.AttemptID
}

type request struct {
	daisyrequest.Request
	attempts int
	open     *attempt
	reason   Reason
	// failed is the endpoint that failed the request last.
	failed *endpoint
}

// mayTake reports whether the request may go to the endpoint.
func (r *request) mayTake(e *endpoint) bool { return e != r.failed }

type attempt struct {
	id       daisyrequest.AttemptID
	request  *request
	endpoint *endpoint
}

// NewDispatcher gives a dispatcher for a service on one VM.
func NewDispatcher(options Options) *Dispatcher {
	d := &Dispatcher{
		self:      options.Self.Name,
		random:    options.Random,
		policy:    options.Policy,
		byAddress: make(map[netip.AddrPort]*endpoint),
		requests:  make(map[daisyrequest.ID]*request),
		attempts:  make(map[daisyrequest.AttemptID]*attempt),
	}
	if d.policy == nil {
		d.policy = LeastOfTwo{Reports: true}
	}
	d.credits = newCredits(options)
	d.changeService(options.Service)
	return d
}

// Spare gives how many further requests could be started at once.
func (d *Dispatcher) Spare() int { return d.spare }

// Demand gives what a rank waits for and uses.
func (d *Dispatcher) Demand(rank daisyrank.Index) daisycredit.Demand {
	return daisycredit.Demand{Waiting: uint32(len(d.waiting[rank])), InFlight: uint32(d.inFlight[rank])}
}

// Handle takes an event that happened at now and gives what has to be done, in
// order. The decisions are valid until the next call.
func (d *Dispatcher) Handle(now time.Time, event Event) []Decision {
	return d.exchange(now, d.handle(now, event))
}

func (d *Dispatcher) handle(now time.Time, event Event) []Decision {
	switch e := event.(type) {
	case RequestArrived:
		return d.arrive(now, e.Request)
	case RequestAbandoned:
		return d.abandon(e.Request)
	case AttemptResolved:
		return d.resolve(now, e)
	case AttemptReleased:
		return d.release(now, e.Attempt)
	case ServiceChanged:
		d.changeService(e.Service)
		d.credits.changeService(now, e.Service)
		return d.fill(now)
	case TimePassed:
		return d.expire(now)
	case ReportReceived:
		d.takeReport(now, e.Endpoint, e.Report)
		return d.fill(now)
	case PeerMessage:
		d.receive(now, e.From, e.Message)
	case PeersChanged:
		d.setVMs(now, e.VMs)
	case ProbeFailed:
	}
	return nil
}

// NextWake gives when TimePassed has to be handled next; the zero time means never.
func (d *Dispatcher) NextWake() time.Time {
	var wake time.Time
	for _, q := range d.waiting {
		for _, r := range q {
			if wake.IsZero() || r.Deadline.Before(wake) {
				wake = r.Deadline
			}
		}
	}
	if c := d.credits.wake(); wake.IsZero() || !c.IsZero() && c.Before(wake) {
		wake = c
	}
	return wake
}

func (d *Dispatcher) changeService(service daisyservice.Service) {
	old := d.byAddress
	d.service = service
	d.endpoints = nil
	d.byAddress = make(map[netip.AddrPort]*endpoint, len(service.Endpoints))
	for _, s := range service.Endpoints {
		e := old[s.Address]
		if e == nil {
			e = &endpoint{address: s.Address, place: notFree}
		}
		e.slots = s.Slots
		e.draining = s.Draining
		d.endpoints = append(d.endpoints, e)
		d.byAddress[e.address] = e
		delete(old, e.address)
		d.refresh(e)
	}
	for _, e := range old {
		e.draining = true
		d.refresh(e)
	}
	for len(d.waiting) < len(service.Ranks) {
		d.waiting = append(d.waiting, nil)
		d.inFlight = append(d.inFlight, 0)
	}
}

func (d *Dispatcher) arrive(now time.Time, r daisyrequest.Request) []Decision {
	q := &request{Request: r}
	d.requests[r.ID] = q
	d.waiting[r.Rank] = append(d.waiting[r.Rank], q)
	return d.fill(now)
}

func (d *Dispatcher) abandon(id daisyrequest.ID) []Decision {
	r := d.requests[id]
	if r == nil {
		return nil
	}
	delete(d.requests, id)
	d.unqueue(r)
	if r.open == nil {
		return nil
	}
	return []Decision{Cancel{Attempt: r.open.id}}
}

func (d *Dispatcher) unqueue(r *request) {
	q := d.waiting[r.Rank]
	for i, w := range q {
		if w == r {
			d.waiting[r.Rank] = append(q[:i], q[i+1:]...)
			return
		}
	}
}

func (d *Dispatcher) resolve(now time.Time, event AttemptResolved) []Decision {
	a := d.attempts[event.Attempt]
	if a == nil {
		return nil
	}
	if _, ok := event.Outcome.(daisyrequest.Answered); ok {
		delete(d.requests, a.request.ID)
		return []Decision{Deliver{Request: a.request.ID, Attempt: a.id}}
	}
	d.credits.noteOutcome(now, a.endpoint, event.Outcome)
	decisions := d.fail(a.request, event)
	return append(decisions, d.release(now, a.id)...)
}

func (d *Dispatcher) fail(r *request, event AttemptResolved) []Decision {
	r.open = nil
	if d.requests[r.ID] == nil {
		return nil
	}
	if daisyrequest.RunOf(event.Outcome) == daisyrequest.NotRun && event.Resendable && r.attempts < maxAttempts {
		r.reason = Retry
		r.failed = d.attempts[event.Attempt].endpoint
		d.waiting[r.Rank] = append([]*request{r}, d.waiting[r.Rank]...)
		return nil
	}
	delete(d.requests, r.ID)
	return []Decision{Fail{Request: r.ID, Failure: failureOf(event.Outcome)}}
}

func failureOf(o daisyrequest.Outcome) daisyrequest.Failure {
	switch o.(type) {
	case daisyrequest.Shed, daisyrequest.NotSent:
		return daisyrequest.NoEndpoint{RetryAfter: retryAfter}
	case daisyrequest.TimedOut:
		return daisyrequest.DeadlinePassed{Run: daisyrequest.MayHaveRun}
	case daisyrequest.Answered, daisyrequest.BrokenOff, daisyrequest.Canceled:
		return daisyrequest.EndpointBroke{}
	}
	return daisyrequest.EndpointBroke{}
}

func (d *Dispatcher) release(now time.Time, id daisyrequest.AttemptID) []Decision {
	a := d.attempts[id]
	if a == nil {
		return nil
	}
	delete(d.attempts, id)
	a.endpoint.inFlight--
	d.credits.release(now, a.endpoint)
	d.inFlight[a.request.Rank]--
	d.refresh(a.endpoint)
	return d.fill(now)
}

func (d *Dispatcher) expire(now time.Time) []Decision {
	var decisions []Decision
	for i, q := range d.waiting {
		var kept []*request
		for _, r := range q {
			if now.Before(r.Deadline) {
				kept = append(kept, r)
				continue
			}
			delete(d.requests, r.ID)
			decisions = append(decisions, Fail{Request: r.ID, Failure: daisyrequest.DeadlinePassed{Run: daisyrequest.NotRun}})
		}
		d.waiting[i] = kept
	}
	return decisions
}

func (d *Dispatcher) fill(now time.Time) []Decision {
	var decisions []Decision
	for i := range d.waiting {
		for len(d.waiting[i]) > 0 {
			r := d.waiting[i][0]
			c := d.pick(now, r)
			if c.endpoint == nil {
				break
			}
			d.waiting[i] = d.waiting[i][1:]
			decisions = append(decisions, d.send(now, r, c))
		}
	}
	return decisions
}

func (d *Dispatcher) send(now time.Time, r *request, c candidate) Decision {
	d.sent++
	a := &attempt{id: d.sent, request: r, endpoint: c.endpoint}
	d.attempts[a.id] = a
	r.open = a
	r.attempts++
	s := Send{
		Request:  r.ID,
		Attempt:  a.id,
		Endpoint: c.endpoint.address,
		Deadline: r.Deadline,
		Reason:   r.reason,
		Choice:   c.choice,
		Free:     len(d.free),
		Waited:   now.Sub(r.Arrived),
	}
	if c.other != nil {
		s.Considered = []netip.AddrPort{c.other.address}
	}
	c.endpoint.inFlight++
	d.credits.take(c.endpoint)
	d.inFlight[r.Rank]++
	d.refresh(c.endpoint)
	return s
}
