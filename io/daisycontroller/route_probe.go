package daisycontroller

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisymetric"
)

const (
	// probeTimeout is the time after which a probe counts as failed.
	probeTimeout = time.Second
	// probeWorkers is the number of concurrent probes. An endpoint that hangs occupies a
	// worker for probeTimeout, and the owner of its slots probes it every 2 s, so that 128
	// such endpoints occupy all workers.
	probeWorkers = 64
)

// probe is a pending request for the load of one endpoint.
type probe struct {
	shard    *routeShard
	service  daisyservice.Service
	endpoint netip.AddrPort
}

// probes runs probes on a fixed number of goroutines. The queue is bounded, because
// each shard has at most one outstanding probe per endpoint.
type probes struct {
	prober  Prober
	metrics *daisymetric.Metrics
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	queue   []probe
	changed *sync.Cond
	ended   sync.WaitGroup
}

func newProbes(prober Prober, metrics *daisymetric.Metrics) *probes {
	p := &probes{prober: prober, metrics: metrics}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.changed = sync.NewCond(&p.mu)
	if prober == nil {
		return p
	}
	for range probeWorkers {
		p.ended.Go(func() {
			for {
				next, ok := p.next()
				if !ok {
					return
				}
				p.run(next)
			}
		})
	}
	return p
}

// add queues a probe. It reports false when there is no prober or probing has stopped.
func (p *probes) add(next probe) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.prober == nil || p.ctx.Err() != nil {
		return false
	}
	p.queue = append(p.queue, next)
	p.changed.Signal()
	return true
}

func (p *probes) next() (probe, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) == 0 && p.ctx.Err() == nil {
		p.changed.Wait()
	}
	if p.ctx.Err() != nil {
		return probe{}, false
	}
	next := p.queue[0]
	p.queue = p.queue[1:]
	return next, true
}

func (p *probes) run(next probe) {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	report, err := p.prober.Probe(ctx, next.service, next.endpoint)
	p.metrics.Probe(next.service.ID, err == nil)
	next.shard.probed(next.endpoint, report, err)
}

func (p *probes) close() {
	p.mu.Lock()
	p.cancel()
	p.changed.Broadcast()
	p.mu.Unlock()
	p.ended.Wait()
}
