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
	running sync.WaitGroup

	mu      sync.Mutex
	outages []daisytrial.Outage
}

// newInjector starts a goroutine for each fault, which injects it at its time.
func newInjector(ctx context.Context, f *fleet, o *options, ledger *daisytrial.Ledger) *injector {
	in := &injector{fleet: f, options: o, ledger: ledger}
	for i, t := range o.faults {
		in.running.Go(func() {
			if !daisytrial.Sleep(ctx, t.at) {
				return
			}
			fmt.Fprintf(os.Stderr, "%6s  %s\n", t.at, t.text)
			in.inject(ctx, i, t.fault)
		})
	}
	return in
}

// Close waits until every fault has ended and returns the outages they caused.
func (in *injector) Close() []daisytrial.Outage {
	in.running.Wait()
	return in.outages
}

// outageGracePeriod is the time after a fault within which the calls that it broke still end.
const outageGracePeriod = 2 * time.Second

// recordOutage records that a fault broke calls from the given time until now and the
// grace period after. The zero vm stands for every VM.
func (in *injector) recordOutage(vm netip.AddrPort, from time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.outages = append(in.outages, daisytrial.Outage{VM: vm, From: from, To: time.Now().Add(outageGracePeriod)})
}

func (in *injector) inject(ctx context.Context, number int, fault Fault) {
	switch f := fault.(type) {
	case KillVM:
		defer in.recordOutage(in.fleet.vms[f.Index%len(in.fleet.vms)].callers, time.Now())
		in.restart(ctx, f.Index, syscall.SIGKILL, f.For)
	case StopVM:
		in.restart(ctx, f.Index, syscall.SIGTERM, f.For)
	case PauseVM:
		p := in.vm(f.Index)
		p.Signal(syscall.SIGSTOP)
		daisytrial.Sleep(ctx, f.For)
		p.Signal(syscall.SIGCONT)
	case EndpointFault:
		address := in.fleet.addresses[f.Index%len(in.fleet.addresses)]
		if f.Document == endpointFaultDocuments["cut-endpoint"] {
			defer in.recordOutage(netip.AddrPort{}, time.Now())
		}
		in.applyFault(ctx, address, "/.well-known/daisystand/faults", f.Document, f.For)
	case PlatformFault:
		in.applyFault(ctx, in.fleet.platformAddress, "/.well-known/daisystand/faults", f.Document, f.For)
	case Flood:
		in.flood(ctx, number, f)
	}
}

func (in *injector) vm(index int) *daisytrial.Process {
	return in.fleet.vms[index%len(in.fleet.vms)].process
}

func (in *injector) restart(ctx context.Context, index int, signal syscall.Signal, after time.Duration) {
	p := in.vm(index)
	p.Stop(signal)
	if !daisytrial.Sleep(ctx, after) {
		return
	}
	if err := p.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// applyFault activates a fault of a stand-in, and clears it after duration.
func (in *injector) applyFault(ctx context.Context, address netip.AddrPort, path, document string, duration time.Duration) {
	in.postFault(address, path, document)
	daisytrial.Sleep(ctx, duration)
	in.postFault(address, path, "{}")
}

func (in *injector) postFault(address netip.AddrPort, path, document string) {
	response, err := in.fleet.client.Post("http://"+address.String()+path, "application/json", strings.NewReader(document))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		fmt.Fprintf(os.Stderr, "fault %s rejected: %s\n", document, response.Status)
	}
}

// flood sends the load of the rank once more, at Factor - 1 times its rate, next to
// the main load.
func (in *injector) flood(ctx context.Context, number int, f Flood) {
	var streams []daisytrial.Stream
	for _, v := range in.options.streams() {
		if v.Rank == daisyrank.Name(f.Rank) {
			v.Rate *= f.Factor - 1
			streams = append(streams, v)
		}
	}
	daisytrial.Run(ctx, in.options.loadOptions(in.fleet, streams, fmt.Sprintf("flood%d", number), f.For), in.ledger)
}
