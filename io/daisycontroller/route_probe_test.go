package daisycontroller

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// slowProber blocks each probe until its context ends.
type slowProber struct {
	mu                   sync.Mutex
	running, most, ended int
}

func (p *slowProber) Probe(ctx context.Context, _ daisyservice.Service, _ netip.AddrPort) (daisyendpoint.Report, error) {
	p.begin()
	<-ctx.Done()
	p.end()
	return daisyendpoint.Report{}, ctx.Err()
}

func (p *slowProber) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.most = max(p.most, p.running)
}

func (p *slowProber) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.ended++
}

func (p *slowProber) counts() (running, most, ended int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running, p.most, p.ended
}

// mute discards every message.
type mute struct{}

func (mute) Send(daisyvm.Name, daisymessage.Message) {}

func newProbeShard(c *Route) *routeShard {
	service := daisyservice.Service{ID: daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"}}
	for i := range 3 * probeWorkers {
		a := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
		service.Endpoints = append(service.Endpoints, daisyendpoint.Endpoint{Address: a, Slots: 1})
	}
	c.changing.Lock()
	defer c.changing.Unlock()
	shards := *c.shards.Load()
	c.applyService(shards, service)
	return shards[service.ID]
}

// halfHungProber answers for the first endpoint and blocks for all others.
type halfHungProber struct {
	slowProber
	answered chan struct{}
}

func (p *halfHungProber) Probe(ctx context.Context, s daisyservice.Service, endpoint netip.AddrPort) (daisyendpoint.Report, error) {
	if endpoint != s.Endpoints[0].Address {
		return p.slowProber.Probe(ctx, s, endpoint)
	}
	close(p.answered)
	return daisyendpoint.Report{}, nil
}

// The owner of slots probes endpoints just before it sends work to them. Of 100 endpoints
// that hang, 50 may be probed within the duration of one probe; they must not occupy all
// workers and delay the probe of an endpoint that answers.
func TestEndpointsThatHangHoldNoOtherProbeUp(t *testing.T) {
	const hung = 50
	synctest.Test(t, func(t *testing.T) {
		prober := &halfHungProber{answered: make(chan struct{})}
		c := NewRoute(RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Sender: mute{}, Prober: prober})
		defer c.Close()
		s := newProbeShard(c)
		s.mu.Lock()
		for i := hung; i >= 0; i-- {
			s.probe(s.service.Load().Endpoints[i].Address)
		}
		s.mu.Unlock()
		synctest.Wait()
		select {
		case <-prober.answered:
		default:
			t.Error("the endpoint that answers has not been probed")
		}
	})
}

func TestProbesAreBoundedAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &slowProber{}
		c := NewRoute(RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Sender: mute{}, Prober: prober})
		s := newProbeShard(c)
		ask := func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, e := range s.service.Load().Endpoints {
				// The second probe of an endpoint is dropped while the first is outstanding.
				s.probe(e.Address)
				s.probe(e.Address)
			}
		}
		ask()
		synctest.Wait()
		running, _, _ := prober.counts()
		assert.Equal(t, running, probeWorkers)
		time.Sleep(3*probeTimeout + time.Millisecond)
		synctest.Wait()
		_, most, ended := prober.counts()
		assert.Equal(t, most, probeWorkers)
		assert.Assert(t, ended >= 3*probeWorkers, "%d", ended)
		ask()
		synctest.Wait()
		c.Close()
		running, _, _ = prober.counts()
		assert.Equal(t, running, 0)
	})
}
