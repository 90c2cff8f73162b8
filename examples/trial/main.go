// Command trial sends load to real processes, injects faults, and reports which
// requests were lost, got a truncated answer or the answer to another request, were
// reported falsely as not run, were answered without a run, or are a POST that ran
// more than once.
//
// It builds daisyd and daisystand, starts a platform, endpoints and entry VMs on
// loopback addresses, and stops them at the end. The exit code is 1 when a guarantee
// was violated.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisytrial"
)

type options struct {
	vms, endpoints, callers int
	serviceTime, duration   time.Duration
	loadShare               float64
	seed                    uint64
	json                    bool
	keepLogs                bool
	randomFaults            bool
	faultTexts              []string
	faults                  []timedFault
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := newCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use:   "trial",
		Short: "Send load to real processes, inject faults and audit the guarantees",
		Example: `  $ go run ./examples/trial
  $ go run ./examples/trial --for 20s --fault 5s,kill-vm,1,3s --fault 12s,slow-endpoint,0,5s
  $ go run ./examples/trial --fault '3s,flood,bulk*10,5s' --json`,
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          func(c *cobra.Command, _ []string) error { return trialRun(c.Context(), o) },
	}
	flags := c.Flags()
	flags.IntVar(&o.vms, "vms", 6, "entry VMs")
	flags.IntVar(&o.endpoints, "endpoints", 12, "endpoints of 3 slots each")
	flags.IntVar(&o.callers, "callers", 50, "callers, each with its own address lookups and connections")
	flags.DurationVar(&o.serviceTime, "service-time", 20*time.Millisecond, "time that an endpoint takes for a request")
	flags.DurationVar(&o.duration, "for", 10*time.Second, "how long load is sent")
	flags.Float64Var(&o.loadShare, "load", 0.7, "offered load as a share of the endpoints' slots")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of arrivals and choices")
	flags.BoolVar(&o.json, "json", false, "print JSON")
	flags.BoolVar(&o.keepLogs, "keep-logs", false, "keep the logs of the processes and print their directory")
	flags.BoolVar(&o.randomFaults, "random-faults", false, "inject random faults derived from --seed, two at a time")
	flags.StringArrayVar(&o.faultTexts, "fault", nil, faultHelp)
	return c
}

func trialRun(ctx context.Context, o *options) error {
	for _, t := range o.faultTexts {
		f, err := parseFault(t)
		if err != nil {
			return err
		}
		o.faults = append(o.faults, f)
	}
	if o.randomFaults {
		faults, err := randomFaults(o.seed, o)
		if err != nil {
			return err
		}
		o.faults = append(o.faults, faults...)
	}
	folder, err := os.MkdirTemp("", "daisyyoke-trial-")
	if err != nil {
		return daisyerror.Unavailable.Wrap(err, "creating a temporary directory")
	}
	if o.keepLogs {
		fmt.Fprintf(os.Stderr, "logs in %s\n", folder)
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	if err := daisytrial.Build(folder); err != nil {
		return err
	}
	f, err := startFleet(ctx, folder, o)
	if err != nil {
		return err
	}
	defer f.close()
	return runLoad(ctx, f, o)
}

// runLoad sends the load, injects the faults, stops the fleet and reports the audit. It
// fails when a guarantee was violated.
func runLoad(ctx context.Context, f *fleet, o *options) error {
	ledger := &daisytrial.Ledger{}
	faultInjector := newInjector(ctx, f, o, ledger)
	daisytrial.Run(ctx, o.loadOptions(f, o.streams(), "main", o.duration), ledger)
	outages := faultInjector.Close()
	ran, err := f.runsByKey()
	if err != nil {
		return err
	}
	audit := ledger.Audit(ran, outages...)
	f.close()
	if err := report(ledger, audit, o.json); err != nil {
		return err
	}
	f.writeUsage(os.Stderr)
	for c, n := range ledger.Causes() {
		fmt.Fprintf(os.Stderr, "%6d  %s\n", n, c)
	}
	if !audit.Sound() {
		return daisyerror.Internal.New("guarantees violated: %s", audit)
	}
	return nil
}

// streams returns the offered load by rank: 50% urgent, 30% standard and 20% bulk.
func (o *options) streams() []daisytrial.Stream {
	capacity := float64(o.endpoints*slots) / o.serviceTime.Seconds()
	service := daisyservice.ID{Fleet: fleetName, Name: "lookups"}
	rate := capacity * o.loadShare
	return []daisytrial.Stream{
		{Service: service, Rank: "urgent", Method: http.MethodGet, Rate: rate * 0.5},
		{Service: service, Rank: "standard", Method: http.MethodPost, Rate: rate * 0.3, BodySize: 512},
		{Service: service, Rank: "bulk", Method: http.MethodPost, Rate: rate * 0.2, BodySize: 4096},
	}
}

func (o *options) loadOptions(f *fleet, streams []daisytrial.Stream, prefix string, duration time.Duration) daisytrial.Options {
	return daisytrial.Options{
		Streams: streams,
		Callers: o.callers,
		For:     duration,
		Prefix:  prefix,
		Seed:    o.seed,
		NewResolver: func(client *http.Client, seed uint64) *daisytrial.Resolver {
			return daisytrial.NewResolver(client, seed, f.callers()...)
		},
	}
}

func report(ledger *daisytrial.Ledger, audit daisytrial.Audit, asJSON bool) error {
	if !asJSON {
		if err := ledger.WriteTable(os.Stdout); err != nil {
			return err
		}
		fmt.Println(audit)
		return nil
	}
	if err := json.NewEncoder(os.Stdout).Encode(ledger.Document(audit)); err != nil {
		return daisyerror.Unavailable.Wrap(err, "writing JSON")
	}
	return nil
}
