package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"syscall"
	"time"

	"daisyyoke/io/daisyoperator"
	"daisyyoke/io/daisytrial"
)

const (
	endpointsPerService = 12
	// endpointPort is the port of every endpoint. One process serves all endpoints:
	// it listens on all addresses, and each endpoint has its own loopback address.
	endpointPort = 14_999
	setupTimeout = time.Minute
)

type vm struct {
	process   *daisytrial.Process
	operators netip.AddrPort
}

type fleet struct {
	folder          string
	ports           *daisytrial.Ports
	client          *http.Client
	platform        *daisytrial.Process
	endpoint        *daisytrial.Process
	platformAddress netip.AddrPort
	vms             []vm
}

func startFleet(ctx context.Context, folder string, vms, services int) (*fleet, error) {
	f := &fleet{folder: folder, ports: daisytrial.NewPorts(), client: &http.Client{Timeout: setupTimeout}}
	if err := f.start(ctx, vms, services); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, vms, services int) error {
	var err error
	if f.platformAddress, err = f.ports.Take(); err != nil {
		return err
	}
	standPath := filepath.Join(f.folder, "daisystand")
	if f.platform, err = daisytrial.StartProcess("platform", standPath, f.folder, "platform", "--listen", f.platformAddress.String()); err != nil {
		return err
	}
	f.endpoint, err = daisytrial.StartProcess("endpoint", standPath, f.folder,
		"endpoint", "--listen", fmt.Sprintf("0.0.0.0:%d", endpointPort), "--slots", "10000")
	if err != nil {
		return err
	}
	for i := range vms {
		if err := f.startVM(i); err != nil {
			return err
		}
	}
	return f.confirm(ctx, services)
}

func (f *fleet) startVM(number int) error {
	var addresses [3]netip.AddrPort
	for i := range addresses {
		var err error
		if addresses[i], err = f.ports.Take(); err != nil {
			return err
		}
	}
	name := fmt.Sprintf("vm-%d", number)
	p, err := daisytrial.StartProcess(name, filepath.Join(f.folder, "daisyd"), f.folder,
		"--vm", name, "--availability-zone", "fleet/zone-1", "--platform", "http://"+f.platformAddress.String(),
		"--callers", addresses[0].String(), "--operators", addresses[1].String(), "--peers", addresses[2].String())
	if err != nil {
		return err
	}
	f.vms = append(f.vms, vm{process: p, operators: addresses[1]})
	return nil
}

func (f *fleet) confirm(ctx context.Context, services int) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	if err := daisytrial.WaitFor(ctx, f.client, f.vms[0].operators, "/livez"); err != nil {
		return err
	}
	client := daisyoperator.NewClient(daisyoperator.ClientOptions{
		Server: "http://" + f.vms[0].operators.String(), Operator: "rest", HTTP: f.client,
	})
	p, err := client.CreatePlan(ctx, intent(services))
	if err != nil {
		return err
	}
	if _, err := client.ConfirmPlan(ctx, p.ID); err != nil {
		return err
	}
	for _, v := range f.vms {
		if err := daisytrial.WaitFor(ctx, f.client, v.operators, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

func intent(services int) []byte {
	var b bytes.Buffer
	b.WriteString(`fleets:
  - name: fleet
    availability-zones: [{name: zone-1, city: city}]
    ranks:
      - {name: urgent, target: 250ms, worth: 100, floor: 0.5}
      - {name: standard, target: 2s, worth: 10, floor: 0.3}
      - {name: bulk, target: 10m, worth: 1, floor: 0.05}
    services:
`)
	for i := range services {
		fmt.Fprintf(&b, "      - name: service-%d\n        ranks: [urgent, standard, bulk]\n        endpoints:\n", i)
		for j := range endpointsPerService {
			n := i*endpointsPerService + j
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(n >> 8), byte(n)}), endpointPort)
			fmt.Fprintf(&b, "          - {address: %q, availability-zone: zone-1, slots: 3, connections: 250}\n", address)
		}
	}
	return b.Bytes()
}

func (f *fleet) close() {
	for _, v := range f.vms {
		v.process.Stop(syscall.SIGKILL)
	}
	for _, p := range []*daisytrial.Process{f.endpoint, f.platform} {
		if p != nil {
			p.Stop(syscall.SIGKILL)
		}
	}
	f.ports.Close()
}
