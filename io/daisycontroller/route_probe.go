package daisycontroller

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisyresponse"
)

const (
	// probeTimeout is the time after which a probe counts as failed.
	probeTimeout = time.Second
	// probeWorkers is the number of concurrent probes. An endpoint that hangs occupies a
	// worker for probeTimeout, and the owner of its slots probes it every 2 s, so that 128
	// such endpoints occupy all workers.
	probeWorkers = 64
)

// checkDelay is the time from a broken connection to the check of its endpoint. A process
// that ends closes its sockets one after the other, the listening one not always first.
const checkDelay = 20 * time.Millisecond

// probeTask is a task of a probePool. It is probe or endpointCheck.
type probeTask interface{ probeTask() }

// probe is a pending request for the load of one endpoint.
type probe struct {
	shard    *routeShard
	service  daisyservice.Service
	endpoint netip.AddrPort
}

// endpointCheck is a pending check whether an endpoint accepts connections.
type endpointCheck struct {
	shard    *routeShard
	endpoint netip.AddrPort
}

func (probe) probeTask()         {}
func (endpointCheck) probeTask() {}

// probePool runs probes and checks on a fixed number of goroutines. The queue is bounded,
// because each shard has at most one outstanding probe and one check per endpoint.
type probePool struct {
	prober  Prober
	checker Checker
	metrics *daisymetric.Metrics
	ctx     context.Context
	cancel  context.CancelFunc

	mu        sync.Mutex
	queue     []probeTask
	available *sync.Cond
	wg        sync.WaitGroup
}

func newProbePool(prober Prober, checker Checker, metrics *daisymetric.Metrics) *probePool {
	p := &probePool{prober: prober, checker: checker, metrics: metrics}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.available = sync.NewCond(&p.mu)
	if prober == nil && checker == nil {
		return p
	}
	for range probeWorkers {
		p.wg.Go(func() {
			for {
				next, ok := p.next()
				if !ok {
					return
				}
				switch t := next.(type) {
				case probe:
					p.probe(t)
				case endpointCheck:
					p.check(t)
				}
			}
		})
	}
	return p
}

// add queues a task. It reports false when nothing can run it or probing has stopped.
func (p *probePool) add(next probeTask) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runs(next) || p.ctx.Err() != nil {
		return false
	}
	p.queue = append(p.queue, next)
	p.available.Signal()
	return true
}

func (p *probePool) runs(task probeTask) bool {
	switch task.(type) {
	case probe:
		return p.prober != nil
	case endpointCheck:
		return p.checker != nil
	}
	return false
}

func (p *probePool) next() (probeTask, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) == 0 && p.ctx.Err() == nil {
		p.available.Wait()
	}
	if p.ctx.Err() != nil {
		return nil, false
	}
	next := p.queue[0]
	p.queue = p.queue[1:]
	return next, true
}

func (p *probePool) probe(next probe) {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	report, notice, err := p.prober.Probe(ctx, next.service, next.endpoint)
	p.metrics.Probe(next.service.ID, err == nil)
	if kind := daisyresponse.KindOf(err); kind != "" {
		p.metrics.MalformedResponse(next.service.ID, kind)
	}
	next.shard.finishProbe(next.endpoint, report, notice, err)
}

func (p *probePool) check(next endpointCheck) {
	timer := time.NewTimer(checkDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	next.shard.finishCheck(next.endpoint, p.checker.Check(ctx, next.endpoint))
}

func (p *probePool) close() {
	p.mu.Lock()
	p.cancel()
	p.available.Broadcast()
	p.mu.Unlock()
	p.wg.Wait()
}
