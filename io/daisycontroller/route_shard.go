package daisycontroller

import (
	"fmt"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisylog"
)

// routeShard contains the routing state of one service, guarded by its own lock.
type routeShard struct {
	route *Route
	// service is nil once the service is no longer declared.
	service atomic.Pointer[daisyservice.Service]

	mu         sync.Mutex
	dispatcher *daisyroute.Dispatcher
	tickets    map[daisyrequest.ID]*Ticket
	attempts   map[daisyrequest.AttemptID]*Ticket
	wake       time.Time
	// outstandingProbes is the set of endpoints with an outstanding probe.
	outstandingProbes map[netip.AddrPort]bool
	// retiredAt is when the service was removed; the zero time means that it is declared.
	// Once closed is set, the shard takes no more requests.
	retiredAt time.Time
	closed    bool

	timer *time.Timer
	done  chan struct{}
	wg    sync.WaitGroup
}

func newRouteShard(route *Route, service daisyservice.Service, dispatcher *daisyroute.Dispatcher) *routeShard {
	s := &routeShard{
		route:             route,
		dispatcher:        dispatcher,
		tickets:           make(map[daisyrequest.ID]*Ticket),
		attempts:          make(map[daisyrequest.AttemptID]*Ticket),
		outstandingProbes: make(map[netip.AddrPort]bool),
		timer:             time.NewTimer(time.Hour),
		done:              make(chan struct{}),
	}
	s.service.Store(&service)
	s.timer.Stop()
	s.wg.Go(func() {
		for {
			select {
			case <-s.timer.C:
				s.handleTimer()
			case <-s.done:
				return
			}
		}
	})
	return s
}

func (s *routeShard) close() {
	close(s.done)
	s.wg.Wait()
	s.timer.Stop()
}

func (s *routeShard) changeService(service daisyservice.Service) {
	s.service.Store(&service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retiredAt = time.Time{}
	s.handleLocked(daisyroute.ServiceChanged{Service: service})
}

// retire removes the service. It reports whether the shard takes no more requests, since
// the service was removed retireTime ago and no requests, attempts or probes are left.
func (s *routeShard) retire(at time.Time) bool {
	s.service.Store(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retiredAt.IsZero() {
		s.retiredAt = at
	}
	s.closed = at.Sub(s.retiredAt) >= retireTime && len(s.tickets)+len(s.attempts)+len(s.outstandingProbes) == 0
	return s.closed
}

// spare returns the slots that this VM does not use.
func (s *routeShard) spare() int {
	service := s.service.Load()
	if service == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(service.OpenSlots()-len(s.tickets), 0)
}

// lendingLoad returns the share of this VM's processor that lending the slots takes.
func (s *routeShard) lendingLoad() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.LendingLoad(now())
}

// begin adds a request. It reports false when the shard is closed.
func (s *routeShard) begin(t *Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.tickets[t.request.ID] = t
	s.route.activeRequests.Add(1)
	s.handleLocked(daisyroute.RequestArrived{Request: t.request, Capacity: s.route.remainingRequests()})
	return true
}

func (s *routeShard) removeTicket(id daisyrequest.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeTicketLocked(id)
}

// removeTicketLocked removes the ticket of a request that has ended. The caller must hold s.mu.
func (s *routeShard) removeTicketLocked(id daisyrequest.ID) {
	if s.tickets[id] != nil {
		delete(s.tickets, id)
		s.route.activeRequests.Add(-1)
	}
}

func (s *routeShard) handle(event daisyroute.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleLocked(event)
}

// handleTimer notifies the dispatcher that its wake-up time has come.
func (s *routeShard) handleTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake = time.Time{}
	s.handleLocked(daisyroute.TimePassed{})
}

// resolve handles the result of an attempt. An answered attempt stays registered until
// its release; any other ends here.
func (s *routeShard) resolve(r Resolution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, answered := r.Outcome.(daisyrequest.Answered); !answered {
		delete(s.attempts, r.Attempt)
	}
	if r.Endpoint.IsValid() {
		s.applyLocked(daisyroute.ReportReceived{Endpoint: r.Endpoint, Report: r.Report})
	}
	s.handleLocked(daisyroute.AttemptResolved{Attempt: r.Attempt, Outcome: r.Outcome, Resendable: r.Resendable, RateLimit: r.RateLimit, Notice: r.Notice, Fingerprint: r.Fingerprint})
}

func (s *routeShard) release(event daisyroute.AttemptReleased) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, event.Attempt)
	s.handleLocked(event)
}

// finish handles the release of the delivered attempt and the end of its request under
// one lock.
func (s *routeShard) finish(id daisyrequest.ID, event daisyroute.AttemptReleased) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeTicketLocked(id)
	delete(s.attempts, event.Attempt)
	s.handleLocked(event)
}

// finishProbe handles the result of a probe; report is valid only when err is nil.
func (s *routeShard) finishProbe(endpoint netip.AddrPort, report daisyendpoint.Report, notice daisyendpoint.Notice, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.outstandingProbes, endpoint)
	if err != nil {
		s.handleLocked(daisyroute.ProbeFailed{Endpoint: endpoint, Notice: notice})
		return
	}
	s.handleLocked(daisyroute.ReportReceived{Endpoint: endpoint, Report: report, Notice: notice})
}

// handleLocked handles an event and resets the timer. The caller must hold s.mu.
func (s *routeShard) handleLocked(event daisyroute.Event) {
	s.applyLocked(event)
	s.resetTimer()
}

// applyLocked handles an event without resetting the timer, so that the
// caller has to call handleLocked afterwards. The caller must hold s.mu.
func (s *routeShard) applyLocked(event daisyroute.Event) {
	defer endProcessOnPanic()
	for _, d := range s.dispatcher.Handle(now(), event) {
		s.carryOut(d)
	}
}

// endProcessOnPanic ends the process if its caller panics. The servers recover panics of
// their handlers, but the state of a service after half an event can no longer be trusted:
// it might send a request twice, or promise that one was not run that was.
func endProcessOnPanic() {
	v := recover()
	if v == nil {
		return
	}
	stack := debug.Stack()
	// Nothing recovers the panic of another goroutine.
	go func() { panic(fmt.Sprintf("routing state: %v\n%s", v, stack)) }()
	select {}
}

func (s *routeShard) carryOut(decision daisyroute.Decision) {
	switch d := decision.(type) {
	case daisyroute.Send:
		s.attempts[d.Attempt] = s.tickets[d.Request]
		s.countLimitedSend(d)
		s.sendDecision(s.tickets[d.Request], d)
	case daisyroute.Deliver:
		s.sendDecision(s.tickets[d.Request], d)
	case daisyroute.Fail:
		s.sendDecision(s.tickets[d.Request], d)
	case daisyroute.Cancel:
		s.sendDecision(s.attempts[d.Attempt], d)
	case daisyroute.SendMessage:
		s.route.options.Sender.Send(d.To, d.Message)
		s.route.options.Metrics.MessageSent(d.Message)
	case daisyroute.Probe:
		s.probe(d.Endpoint)
	case daisyroute.CheckEndpoint:
		s.check(d.Endpoint)
	case daisyroute.FindingNoted:
		s.noteFinding(d)
	case daisyroute.EndpointChanged:
		s.logChange(d)
	case daisyroute.EndpointNoticed:
		s.logNotice(d)
	case daisyroute.RateLimitChanged:
		s.logRateLimit(d)
	case daisyroute.LendingChanged:
		s.logLending(d)
	case daisyroute.DivisionChanged:
		s.logDivision(d)
	}
}

// countLimitedSend counts an attempt at an endpoint with a rate limit.
func (s *routeShard) countLimitedSend(send daisyroute.Send) {
	service := s.service.Load()
	if _, ok := send.RateLimit.(daisyendpoint.Limited); ok && service != nil {
		s.route.options.Metrics.LimitedSend(service.ID, send.Endpoint)
	}
}

func (s *routeShard) logChange(change daisyroute.EndpointChanged) {
	if service := s.service.Load(); service != nil {
		s.route.options.Log.Write(daisylog.EndpointChanged{
			Service:   service.ID,
			Endpoint:  change.Endpoint,
			Condition: change.Condition.String(),
		})
	}
}

func (s *routeShard) logNotice(noticed daisyroute.EndpointNoticed) {
	if service := s.service.Load(); service != nil {
		s.route.options.Metrics.EndpointNotice(service.ID, noticed.Notice)
		s.route.options.Log.Write(daisylog.EndpointNoticed{
			Service:  service.ID,
			Endpoint: noticed.Endpoint,
			Instance: noticed.Instance,
			Notice:   noticed.Notice,
			FromPeer: noticed.FromPeer,
		})
	}
}

func (s *routeShard) logRateLimit(change daisyroute.RateLimitChanged) {
	if service := s.service.Load(); service != nil {
		s.route.options.Metrics.SetRateLimit(service.ID, change.Endpoint, change.RateLimit)
		s.route.options.Metrics.SetCold(service.ID, change.Endpoint, change.ColdFor > 0)
		s.route.options.Log.Write(daisylog.RateLimitChanged{
			Service:   service.ID,
			Endpoint:  change.Endpoint,
			RateLimit: change.RateLimit,
			VMs:       change.VMs,
			FromPeer:  change.FromPeer,
			ColdFor:   change.ColdFor,
		})
	}
}

func (s *routeShard) logLending(change daisyroute.LendingChanged) {
	if service := s.service.Load(); service != nil {
		s.route.options.Log.Write(daisylog.LendingChanged{Service: service.ID, Owner: change.Owner, Zone: change.Zone, InFallback: change.InFallback})
	}
}

func (s *routeShard) logDivision(change daisyroute.DivisionChanged) {
	if service := s.service.Load(); service != nil {
		s.route.options.Log.Write(daisylog.DivisionChanged{Service: service.ID, Owner: change.Owner, Divided: change.Divided})
	}
}

func (s *routeShard) probe(endpoint netip.AddrPort) {
	service := s.service.Load()
	if service == nil || s.outstandingProbes[endpoint] {
		return
	}
	if !s.route.probes.add(probe{shard: s, service: *service, endpoint: endpoint}) {
		return
	}
	s.outstandingProbes[endpoint] = true
	if _, ok := s.dispatcher.RateLimit(endpoint).(daisyendpoint.Limited); ok {
		s.route.options.Metrics.LimitedSend(service.ID, endpoint)
		s.route.options.Log.Write(daisylog.Probed{Service: service.ID, Endpoint: endpoint})
	}
}

func (s *routeShard) sendDecision(t *Ticket, decision daisyroute.Decision) {
	if t != nil {
		t.decisions <- decision
	}
}

func (s *routeShard) resetTimer() {
	wake := s.dispatcher.NextWake()
	if wake.Equal(s.wake) {
		return
	}
	s.wake = wake
	if wake.IsZero() {
		s.timer.Stop()
		return
	}
	s.timer.Reset(time.Until(wake))
}
