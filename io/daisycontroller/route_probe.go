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

// probePool runs probes on a fixed number of goroutines. The queue is bounded, because
// each shard has at most one outstanding probe per endpoint.
type probePool struct {
	prober  Prober
	metrics *daisymetric.Metrics
	ctx     context.Context
	cancel  context.CancelFunc

	mu        sync.Mutex
	queue     []probe
	available *sync.Cond
	wg        sync.WaitGroup
}

func newProbePool(prober Prober, metrics *daisymetric.Metrics) *probePool {
	p := &probePool{prober: prober, metrics: metrics}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.available = sync.NewCond(&p.mu)
	if prober == nil {
		return p
	}
	for range probeWorkers {
		p.wg.Go(func() {
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
func (p *probePool) add(next probe) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.prober == nil || p.ctx.Err() != nil {
		return false
	}
	p.queue = append(p.queue, next)
	p.available.Signal()
	return true
}

func (p *probePool) next() (probe, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) == 0 && p.ctx.Err() == nil {
		p.available.Wait()
	}
	if p.ctx.Err() != nil {
		return probe{}, false
	}
	next := p.queue[0]
	p.queue = p.queue[1:]
	return next, true
}

func (p *probePool) run(next probe) {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	report, notice, err := p.prober.Probe(ctx, next.service, next.endpoint)
	p.metrics.Probe(next.service.ID, err == nil)
	next.shard.finishProbe(next.endpoint, report, notice, err)
}

func (p *probePool) close() {
	p.mu.Lock()
	p.cancel()
	p.available.Broadcast()
	p.mu.Unlock()
	p.wg.Wait()
}
