// Command quickstart demonstrates the main function of daisyyoke in one process:
// two entry VMs on an embedded platform serve two fleets whose services and
// availability zones have the same names, while an operator confirms a plan and
// drains an endpoint.
//
// It prints a table of the results. The exit code is 1 when a request was lost, got
// a truncated answer or the answer to another request, was reported falsely as not
// run, was answered without a run, or is a POST that ran more than once.
package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"time"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisytrial"
)

const (
	loadTime = 6 * time.Second
	// planAfter and drainAfter are the times, from the start of the load, at which
	// the operator changes a target and drains an endpoint.
	planAfter  = 2 * time.Second
	drainAfter = 4 * time.Second
	callers    = 12
	seed       = 1
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	s, err := newSetup(ctx)
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Printf("two VMs serve callers on %s and %s\n\n", s.vms[0].Callers(), s.vms[1].Callers())

	ledger := &daisytrial.Ledger{}
	o := newOperator(ctx, s)
	daisytrial.Run(ctx, s.loadOptions(), ledger)
	if err := o.Close(); err != nil {
		return err
	}

	fmt.Println()
	if err := ledger.WriteTable(os.Stdout); err != nil {
		return err
	}
	audit := ledger.Audit(s.runsByKey())
	fmt.Printf("\nretries and hedges: %d\n%s\n", s.extraRuns(), audit)
	if !audit.Sound() {
		return daisyerror.Internal.New("guarantees violated: %s", audit)
	}
	return nil
}

// loadOptions returns the options of a load of three ranks for the service
// "lookups" of both fleets.
func (s *setup) loadOptions() daisytrial.Options {
	var streams []daisytrial.Stream
	for _, f := range fleets {
		service := daisyservice.ID{Fleet: f, Name: serviceName}
		streams = append(streams,
			daisytrial.Stream{Service: service, Rank: "urgent", Method: http.MethodGet, Rate: 60},
			daisytrial.Stream{Service: service, Rank: "standard", Method: http.MethodPost, Rate: 40, BodySize: 512},
			daisytrial.Stream{Service: service, Rank: "bulk", Method: http.MethodPost, Rate: 20, BodySize: 4096},
		)
	}
	seeds := []netip.AddrPort{s.vms[0].Callers(), s.vms[1].Callers()}
	return daisytrial.Options{
		Streams: streams,
		Callers: callers,
		For:     loadTime,
		Prefix:  "quickstart",
		Seed:    seed,
		NewResolver: func(client *http.Client, seed uint64) *daisytrial.Resolver {
			return daisytrial.NewResolver(client, seed, seeds...)
		},
	}
}
