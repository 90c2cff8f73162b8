package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisydaemon"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysetting"
	"daisyyoke/io/daisystand"
)

const (
	serviceName       = "lookups"
	zoneName          = "a"
	endpointsPerFleet = 3
	slots             = 3
	serviceTime       = 20 * time.Millisecond
	operationTimeout  = 10 * time.Second
	pollInterval      = 20 * time.Millisecond
)

var fleets = []daisyfleet.Name{"vigia-lar", "map-publishers"}

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// setup holds the endpoints and VMs that the quickstart starts.
type setup struct {
	vms       []*daisydaemon.Daemon
	endpoints []*daisystand.Endpoint
	servers   []*daisystand.EndpointServer
	addresses []netip.AddrPort
}

// newSetup starts the endpoints and the VMs, and waits until the first intent is in
// force on both VMs.
func newSetup(ctx context.Context) (*setup, error) {
	s := &setup{}
	if err := s.startEndpoints(); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.startVMs(ctx); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.confirm(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close stops the VMs and the endpoints, and waits until they have stopped.
func (s *setup) Close() {
	for _, v := range s.vms {
		v.Close()
	}
	for _, e := range s.servers {
		e.Close()
	}
}

func (s *setup) startEndpoints() error {
	for range endpointsPerFleet * len(fleets) {
		listener, err := net.Listen("tcp", anyPort.String())
		if err != nil {
			return daisyerror.Unavailable.Wrap(err, "starting an endpoint")
		}
		endpoint := daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: slots, Queue: 1, ServiceTime: serviceTime})
		server := daisystand.NewEndpointServer(listener, endpoint)
		s.endpoints = append(s.endpoints, endpoint)
		s.servers = append(s.servers, server)
		s.addresses = append(s.addresses, server.Address())
	}
	return nil
}

func (s *setup) startVMs(ctx context.Context) error {
	platform := daisyplatform.NewEmbedded()
	for i := range 2 {
		settings := daisysetting.Settings{
			VM:        daisyvm.Name(fmt.Sprintf("vm-%d", i+1)),
			Zone:      daisyfleet.ZoneID{Fleet: fleets[0], Zone: zoneName},
			Callers:   anyPort,
			Operators: anyPort,
			Peers:     anyPort,
			Advertise: anyPort,
			Platform:  daisysetting.EmbeddedPlatform{},
			LogLevel:  hclog.Warn,
		}
		vm, err := daisydaemon.New(ctx, daisydaemon.Options{Settings: settings, Platform: platform, Log: io.Discard})
		if err != nil {
			return err
		}
		s.vms = append(s.vms, vm)
	}
	return nil
}

// confirm plans and confirms the first intent on one VM, and waits until it is in
// force on both.
func (s *setup) confirm(ctx context.Context) error {
	client := newClient(s.vms[0].Operators())
	p, err := client.CreatePlan(ctx, s.intent("250ms"))
	if err != nil {
		return err
	}
	if _, err := client.ConfirmPlan(ctx, p.ID); err != nil {
		return err
	}
	return s.waitInForce(ctx, 1)
}

func (s *setup) waitInForce(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for !s.inForce(revision) {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return daisyerror.Unavailable.New("revision %d is not in force on both VMs after %s", revision, operationTimeout)
		}
	}
	return nil
}

func (s *setup) inForce(revision uint64) bool {
	for _, v := range s.vms {
		c := v.InForce()
		if c == nil || uint64(c.Revision) < revision {
			return false
		}
	}
	return true
}

// intent returns an intent in which both fleets have an availability zone and a
// service of the same names.
func (s *setup) intent(urgentTarget string) []byte {
	var b bytes.Buffer
	b.WriteString("fleets:\n")
	for i, f := range fleets {
		fmt.Fprintf(&b, "  - name: %s\n    availability-zones: [{name: %s, city: city-%d}]\n", f, zoneName, i)
		fmt.Fprintf(&b, "    ranks:\n      - {name: urgent, target: %s, worth: 100, floor: 0.5}\n", urgentTarget)
		b.WriteString("      - {name: standard, target: 2s, worth: 10, floor: 0.3}\n")
		b.WriteString("      - {name: bulk, target: 10m, worth: 1, floor: 0.05}\n")
		fmt.Fprintf(&b, "    services:\n      - name: %s\n        ranks: [urgent, standard, bulk]\n        endpoints:\n", serviceName)
		for _, a := range s.addresses[i*endpointsPerFleet : (i+1)*endpointsPerFleet] {
			fmt.Fprintf(&b, "          - {address: %q, availability-zone: %s, slots: %d, connections: 250}\n", a, zoneName, slots)
		}
	}
	return b.Bytes()
}

// runsByKey returns how often each request ran, over all endpoints, by its key.
func (s *setup) runsByKey() map[string]int {
	sum := make(map[string]int)
	for _, e := range s.endpoints {
		for k, n := range e.Ran().Keys {
			sum[k] += n
		}
	}
	return sum
}

// extraRuns returns the number of runs beyond the first of each request.
func (s *setup) extraRuns() int {
	extra := 0
	for _, n := range s.runsByKey() {
		extra += n - 1
	}
	return extra
}
