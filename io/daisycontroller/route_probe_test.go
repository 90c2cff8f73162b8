package daisycontroller

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisyresponse"
)

// hangingProber blocks each probe until its context ends.
type hangingProber struct {
	mu                         sync.Mutex
	running, maxRunning, ended int
}

func (p *hangingProber) Probe(ctx context.Context, _ daisyservice.Service, _ netip.AddrPort) (daisyendpoint.Report, daisyendpoint.Notice, error) {
	p.begin()
	<-ctx.Done()
	p.end()
	return daisyendpoint.Report{}, nil, ctx.Err()
}

func (p *hangingProber) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.maxRunning = max(p.maxRunning, p.running)
}

func (p *hangingProber) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.ended++
}

func (p *hangingProber) counts() (running, maxRunning, ended int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running, p.maxRunning, p.ended
}

// discardSender discards every message.
type discardSender struct{}

func (discardSender) Send(daisyvm.Name, daisymessage.Message) {}

func newProbeShard(c *Route) *routeShard {
	service := daisyservice.Service{ID: daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"}}
	for i := range 3 * probeWorkers {
		a := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
		service.Endpoints = append(service.Endpoints, daisyendpoint.Endpoint{Address: a, Slots: 1})
	}
	c.changeMu.Lock()
	defer c.changeMu.Unlock()
	shards := *c.shards.Load()
	c.applyService(shards, service)
	return shards[service.ID]
}

// partlyHangingProber answers for the first endpoint and blocks for all others.
type partlyHangingProber struct {
	hangingProber
	answered chan struct{}
}

func (p *partlyHangingProber) Probe(ctx context.Context, s daisyservice.Service, endpoint netip.AddrPort) (daisyendpoint.Report, daisyendpoint.Notice, error) {
	if endpoint != s.Endpoints[0].Address {
		return p.hangingProber.Probe(ctx, s, endpoint)
	}
	close(p.answered)
	return daisyendpoint.Report{}, nil, nil
}

// The owner of slots probes endpoints just before it sends work to them. Of 100 endpoints
// that hang, 50 may be probed within the duration of one probe; they must not occupy all
// workers and delay the probe of an endpoint that answers.
func TestHangingEndpointsDoNotDelayOtherProbes(t *testing.T) {
	const hanging = 50
	synctest.Test(t, func(t *testing.T) {
		prober := &partlyHangingProber{answered: make(chan struct{})}
		c := NewRoute(RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Sender: discardSender{}, Prober: prober})
		defer c.Close()
		s := newProbeShard(c)
		s.mu.Lock()
		for i := hanging; i >= 0; i-- {
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

func TestProbeConcurrencyIsLimitedAndCloseStopsProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &hangingProber{}
		c := NewRoute(RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Sender: discardSender{}, Prober: prober})
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
		_, maxRunning, ended := prober.counts()
		assert.Equal(t, maxRunning, probeWorkers)
		assert.Assert(t, ended >= 3*probeWorkers, "%d", ended)
		ask()
		synctest.Wait()
		c.Close()
		running, _, _ = prober.counts()
		assert.Equal(t, running, 0)
	})
}

// malformedProber fails each probe because the response is not valid.
type malformedProber struct{}

func (malformedProber) Probe(context.Context, daisyservice.Service, netip.AddrPort) (daisyendpoint.Report, daisyendpoint.Notice, error) {
	return daisyendpoint.Report{}, nil, daisyerror.Unknown.Wrap(daisyresponse.MalformedStatus.New("invalid status code"), "probe")
}

// Guards against invalid responses to probes that are not counted by their kind.
func TestInvalidResponsesToProbesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		metrics := daisymetric.New()
		c := NewRoute(RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Sender: discardSender{}, Prober: malformedProber{}, Metrics: metrics})
		defer c.Close()
		s := newProbeShard(c)
		s.mu.Lock()
		s.probe(s.service.Load().Endpoints[0].Address)
		s.mu.Unlock()
		synctest.Wait()
		var text strings.Builder
		assert.NilError(t, metrics.WritePrometheus(&text))
		want := `daisyyoke_malformed_responses_total{fleet="vigia-lar",service="lookups",kind="status"} 1`
		assert.Assert(t, strings.Contains(text.String(), want+"\n"), "%s", text.String())
	})
}
