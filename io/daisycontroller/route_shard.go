package daisycontroller

import (
	"sync"
	"sync/atomic"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
)

// routeShard holds the routing state of one service under its own lock.
type routeShard struct {
	route *Route
	// service is nil once the service is no longer declared.
	service atomic.Pointer[daisyservice.Service]

	mu         sync.Mutex
	dispatcher *daisyroute.Dispatcher
	tickets    map[daisyrequest.ID]*Ticket
	attempts   map[daisyrequest.AttemptID]*Ticket
	wake       time.Time

	timer *time.Timer
	done  chan struct{}
	ended sync.WaitGroup
}

func newRouteShard(route *Route, service daisyservice.Service, dispatcher *daisyroute.Dispatcher) *routeShard {
	s := &routeShard{
		route:      route,
		dispatcher: dispatcher,
		tickets:    make(map[daisyrequest.ID]*Ticket),
		attempts:   make(map[daisyrequest.AttemptID]*Ticket),
		timer:      time.NewTimer(time.Hour),
		done:       make(chan struct{}),
	}
	s.service.Store(&service)
	s.timer.Stop()
	s.ended.Go(func() {
		for {
			select {
			case <-s.timer.C:
				s.handle(daisyroute.TimePassed{})
			case <-s.done:
				return
			}
		}
	})
	return s
}

func (s *routeShard) close() {
	close(s.done)
	s.ended.Wait()
	s.timer.Stop()
}

func (s *routeShard) change(service daisyservice.Service) {
	s.service.Store(&service)
	s.handle(daisyroute.ServiceChanged{Service: service})
}

// retire keeps the shard for the requests it still has, and hides it from new ones.
func (s *routeShard) retire() { s.service.Store(nil) }

func (s *routeShard) begin(t *Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets[t.request.ID] = t
	s.step(daisyroute.RequestArrived{Request: t.request})
}

func (s *routeShard) end(id daisyrequest.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tickets, id)
}

func (s *routeShard) handle(event daisyroute.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(event)
}

// step runs under the lock of the shard.
func (s *routeShard) step(event daisyroute.Event) {
	for _, d := range s.dispatcher.Handle(now(), event) {
		s.carryOut(d)
	}
	s.schedule()
}

func (s *routeShard) carryOut(decision daisyroute.Decision) {
	switch d := decision.(type) {
	case daisyroute.Send:
		s.attempts[d.Attempt] = s.tickets[d.Request]
		s.tell(s.tickets[d.Request], d)
	case daisyroute.Deliver:
		s.tell(s.tickets[d.Request], d)
	case daisyroute.Fail:
		s.tell(s.tickets[d.Request], d)
	case daisyroute.Cancel:
		s.tell(s.attempts[d.Attempt], d)
	case daisyroute.Tell:
		s.route.options.Sender.Send(d.To, d.Message)
	case daisyroute.Probe:
	}
}

func (s *routeShard) tell(t *Ticket, decision daisyroute.Decision) {
	if t != nil {
		t.decisions <- decision
	}
}

func (s *routeShard) schedule() {
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
