package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"daisyyoke/core/daisyrank"
	"daisyyoke/io/daisytrial"
)

// injector injects faults while a load runs.
type injector struct {
	fleet   *fleet
	options *options
	ledger  *daisytrial.Ledger
	ended   sync.WaitGroup

	mu      sync.Mutex
	outages []daisytrial.Outage
}

// newInjector starts a goroutine for each fault, which injects it at its time.
func newInjector(ctx context.Context, f *fleet, o *options, ledger *daisytrial.Ledger) *injector {
	s := &injector{fleet: f, options: o, ledger: ledger}
	for i, t := range o.faults {
		s.ended.Go(func() {
			if !daisytrial.Sleep(ctx, t.at) {
				return
			}
			fmt.Fprintf(os.Stderr, "%6s  %s\n", t.at, t.text)
			s.inject(ctx, i, t.fault)
		})
	}
	return s
}

// Close waits until every fault has ended and returns the outages they caused.
func (s *injector) Close() []daisytrial.Outage {
	s.ended.Wait()
	return s.outages
}

// grace is the time after a fault within which the calls that it broke still end.
const grace = 2 * time.Second

func (s *injector) note(vm netip.AddrPort, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages = append(s.outages, daisytrial.Outage{VM: vm, From: from, To: time.Now().Add(grace)})
}

func (s *injector) inject(ctx context.Context, number int, fault Fault) {
	switch f := fault.(type) {
	case KillVM:
		defer s.note(s.fleet.vms[f.Index%len(s.fleet.vms)].callers, time.Now())
		s.restart(ctx, f.Index, syscall.SIGKILL, f.For)
	case StopVM:
		s.restart(ctx, f.Index, syscall.SIGTERM, f.For)
	case PauseVM:
		p := s.vm(f.Index)
		p.Signal(syscall.SIGSTOP)
		daisytrial.Sleep(ctx, f.For)
		p.Signal(syscall.SIGCONT)
	case EndpointFault:
		address := s.fleet.addresses[f.Index%len(s.fleet.addresses)]
		if f.Document == endpointDocuments["cut-endpoint"] {
			defer s.note(netip.AddrPort{}, time.Now())
		}
		s.put(ctx, address, "/.well-known/daisystand/faults", f.Document, f.For)
	case PlatformFault:
		s.put(ctx, s.fleet.store, "/.well-known/daisystand/faults", f.Document, f.For)
	case Flood:
		s.flood(ctx, number, f)
	}
}

func (s *injector) vm(index int) *daisytrial.Process {
	return s.fleet.vms[index%len(s.fleet.vms)].process
}

func (s *injector) restart(ctx context.Context, index int, signal syscall.Signal, after time.Duration) {
	p := s.vm(index)
	p.Stop(signal)
	if !daisytrial.Sleep(ctx, after) {
		return
	}
	if err := p.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// put activates a fault of a stand-in, and clears it after length.
func (s *injector) put(ctx context.Context, address netip.AddrPort, path, document string, length time.Duration) {
	s.post(address, path, document)
	daisytrial.Sleep(ctx, length)
	s.post(address, path, "{}")
}

func (s *injector) post(address netip.AddrPort, path, document string) {
	response, err := s.fleet.client.Post("http://"+address.String()+path, "application/json", strings.NewReader(document))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		fmt.Fprintf(os.Stderr, "fault %s rejected: %s\n", document, response.Status)
	}
}

func (s *injector) flood(ctx context.Context, number int, f Flood) {
	var streams []daisytrial.Stream
	for _, v := range s.options.streams() {
		if v.Rank == daisyrank.Name(f.Rank) {
			v.Rate *= f.Factor - 1
			streams = append(streams, v)
		}
	}
	daisytrial.Run(ctx, s.options.load(s.fleet, streams, fmt.Sprintf("flood%d", number), f.For), s.ledger)
}
