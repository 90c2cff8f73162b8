package daisyroute

import (
	"math/rand/v2"
	"net/netip"
	"time"

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

// Dispatcher routes the requests of one service on one VM.
type Dispatcher struct {
	self      daisyvm.Name
	service   daisyservice.Service
	random    *rand.Rand
	endpoints []*endpoint
	requests  map[daisyrequest.ID]*request
	attempts  map[daisyrequest.AttemptID]*attempt
	waiting   [][]*request
	sent      daisyrequest.AttemptID
}

type endpoint struct {
	address  netip.AddrPort
	slots    int
	draining bool
	inFlight int
}

type request struct {
	daisyrequest.Request
	attempts int
	open     *attempt
	reason   Reason
}

type attempt struct {
	id       daisyrequest.AttemptID
	request  *request
	endpoint *endpoint
}

// NewDispatcher gives a dispatcher for a service on the VM self. All its random choices come from random.
func NewDispatcher(self daisyvm.VM, service daisyservice.Service, random *rand.Rand) *Dispatcher {
	d := &Dispatcher{
		self:     self.Name,
		random:   random,
		requests: make(map[daisyrequest.ID]*request),
		attempts: make(map[daisyrequest.AttemptID]*attempt),
	}
	d.changeService(service)
	return d
}

// Handle takes an event that happened at now and gives what has to be done.
func (d *Dispatcher) Handle(now time.Time, event Event) []Decision {
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
		return d.fill(now)
	case TimePassed:
		return d.expire(now)
	case ReportReceived, ProbeFailed, PeerMessage, PeersChanged:
		return nil
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
	return wake
}

func (d *Dispatcher) changeService(service daisyservice.Service) {
	old := make(map[netip.AddrPort]*endpoint, len(d.endpoints))
	for _, e := range d.endpoints {
		old[e.address] = e
	}
	d.service = service
	d.endpoints = nil
	for _, s := range service.Endpoints {
		e := old[s.Address]
		if e == nil {
			e = &endpoint{address: s.Address}
		}
		e.slots = s.Slots
		e.draining = s.Draining
		d.endpoints = append(d.endpoints, e)
	}
	for len(d.waiting) < len(service.Ranks) {
		d.waiting = append(d.waiting, nil)
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
			e := d.choose()
			if e == nil {
				return decisions
			}
			r := d.waiting[i][0]
			d.waiting[i] = d.waiting[i][1:]
			decisions = append(decisions, d.send(now, r, e))
		}
	}
	return decisions
}

func (d *Dispatcher) choose() *endpoint {
	var free []*endpoint
	for _, e := range d.endpoints {
		if !e.draining && e.inFlight < e.slots {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return nil
	}
	a := free[d.random.IntN(len(free))]
	b := free[d.random.IntN(len(free))]
	if b.inFlight*a.slots < a.inFlight*b.slots {
		return b
	}
	return a
}

func (d *Dispatcher) send(now time.Time, r *request, e *endpoint) Decision {
	d.sent++
	a := &attempt{id: d.sent, request: r, endpoint: e}
	d.attempts[a.id] = a
	r.open = a
	r.attempts++
	e.inFlight++
	return Send{
		Request:  r.ID,
		Attempt:  a.id,
		Endpoint: e.address,
		Deadline: r.Deadline,
		Reason:   r.reason,
		Waited:   now.Sub(r.Arrived),
	}
}
