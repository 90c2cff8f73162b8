package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyoperator"
	"daisyyoke/io/daisytrial"
)

const (
	fleetName = "vigia-lar"
	slots     = 3
	// setupTimeout is the time limit for the processes to start and for the first
	// configuration to be in force.
	setupTimeout = 30 * time.Second
)

var zones = []string{"lisboa-1", "lisboa-2", "porto-1", "porto-2"}

// vm is a daemon and its addresses.
type vm struct {
	process   *daisytrial.Process
	callers   netip.AddrPort
	operators netip.AddrPort
}

// fleet holds the processes of a trial.
type fleet struct {
	folder          string
	platform        *daisytrial.Process
	platformAddress netip.AddrPort
	endpoints       []*daisytrial.Process
	addresses       []netip.AddrPort
	vms             []vm
	client          *http.Client
	ports           *daisytrial.Ports
}

// startFleet starts the stand-in platform, the endpoints and the daemons, and
// confirms the configuration.
func startFleet(ctx context.Context, folder string, o *options) (*fleet, error) {
	f := &fleet{folder: folder, client: &http.Client{Timeout: time.Second}, ports: daisytrial.NewPorts()}
	steps := []func() error{
		f.startPlatform,
		func() error { return f.startEndpoints(o) },
		func() error { return f.startVMs(o.vms) },
		func() error { return f.confirm(ctx) },
	}
	for _, s := range steps {
		if err := s(); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) startPlatform() error {
	address, err := f.ports.Take()
	if err != nil {
		return err
	}
	f.platformAddress = address
	f.platform, err = daisytrial.StartProcess("platform", f.programPath("daisystand"), f.folder, "platform", "--listen", address.String())
	return err
}

func (f *fleet) startEndpoints(o *options) error {
	for i := range o.endpoints {
		address, err := f.ports.Take()
		if err != nil {
			return err
		}
		p, err := daisytrial.StartProcess(fmt.Sprintf("endpoint-%d", i), f.programPath("daisystand"), f.folder,
			"endpoint", "--listen", address.String(), "--slots", fmt.Sprint(slots), "--service-time", o.serviceTime.String())
		if err != nil {
			return err
		}
		f.endpoints = append(f.endpoints, p)
		f.addresses = append(f.addresses, address)
	}
	return nil
}

func (f *fleet) startVMs(count int) error {
	for i := range count {
		var addresses [3]netip.AddrPort
		for j := range addresses {
			var err error
			if addresses[j], err = f.ports.Take(); err != nil {
				return err
			}
		}
		name := fmt.Sprintf("vm-%d", i)
		p, err := daisytrial.StartProcess(name, f.programPath("daisyd"), f.folder,
			"--vm", name, "--availability-zone", fleetName+"/"+zones[i%len(zones)],
			"--callers", addresses[0].String(), "--operators", addresses[1].String(), "--peers", addresses[2].String(),
			"--platform", "http://"+f.platformAddress.String())
		if err != nil {
			return err
		}
		f.vms = append(f.vms, vm{process: p, callers: addresses[0], operators: addresses[1]})
	}
	return nil
}

func (f *fleet) programPath(name string) string { return filepath.Join(f.folder, name) }

// confirm plans and confirms the intent on the first VM, and waits until every VM is
// ready.
func (f *fleet) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	if err := daisytrial.WaitFor(ctx, f.client, f.vms[0].operators, "/livez"); err != nil {
		return err
	}
	client := daisyoperator.NewClient(daisyoperator.ClientOptions{
		Server:   "http://" + f.vms[0].operators.String(),
		Operator: "trial",
		HTTP:     &http.Client{Timeout: setupTimeout},
	})
	p, err := client.CreatePlan(ctx, f.intent())
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

func (f *fleet) intent() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "fleets:\n  - name: %s\n    availability-zones:\n", fleetName)
	for _, z := range zones {
		fmt.Fprintf(&b, "      - {name: %s, city: %s}\n", z, strings.Split(z, "-")[0])
	}
	b.WriteString(`    ranks:
      - {name: urgent, target: 250ms, worth: 100, floor: 0.5}
      - {name: standard, target: 2s, worth: 10, floor: 0.3}
      - {name: bulk, target: 10m, worth: 1, floor: 0.05}
    services:
      - name: lookups
        ranks: [urgent, standard, bulk]
        endpoints:
`)
	for i, a := range f.addresses {
		fmt.Fprintf(&b, "          - {address: %q, availability-zone: %s, slots: %d, connections: 250}\n", a, zones[i%len(zones)], slots)
	}
	return b.Bytes()
}

// runsByKey returns how often each request ran, over all endpoints, by its key.
func (f *fleet) runsByKey() (map[string]int, error) {
	sum := make(map[string]int)
	for _, a := range f.addresses {
		response, err := f.client.Get("http://" + a.String() + "/.well-known/daisystand/ran")
		if err != nil {
			return nil, daisyerror.Unavailable.Wrap(err, "reading the requests that endpoint %s ran", a)
		}
		var runs struct {
			Keys map[string]int `json:"keys"`
		}
		err = json.NewDecoder(response.Body).Decode(&runs)
		_ = response.Body.Close()
		if err != nil {
			return nil, daisyerror.Unavailable.Wrap(err, "reading the requests that endpoint %s ran", a)
		}
		for k, n := range runs.Keys {
			sum[k] += n
		}
	}
	return sum, nil
}

// close kills every process that the trial started, and releases the ports.
func (f *fleet) close() {
	for _, v := range f.vms {
		v.process.Stop(syscall.SIGKILL)
	}
	for _, p := range f.endpoints {
		p.Stop(syscall.SIGKILL)
	}
	if f.platform != nil {
		f.platform.Stop(syscall.SIGKILL)
	}
	f.ports.Close()
}

// writeUsage writes the processor time and the peak memory of each daemon. The daemons
// must have ended.
func (f *fleet) writeUsage(w io.Writer) {
	for _, v := range f.vms {
		cpuTime, peakMemory := v.process.Usage()
		fmt.Fprintf(w, "%s: %s of processor time, at most %d MB of memory\n", v.process.Name(), cpuTime.Round(time.Millisecond), peakMemory>>20)
	}
}

func (f *fleet) callers() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(f.vms))
	for _, v := range f.vms {
		addresses = append(addresses, v.callers)
	}
	return addresses
}
