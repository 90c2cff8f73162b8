// Command measure measures routing in virtual time and rewrites the documentation
// pages with the results:
//
//	go run ./examples/measure
package main

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisymeasure"
	"daisyyoke/io/daisypeer"
)

type options struct {
	directory string
	size      daisymeasure.Size
}

func main() {
	if err := newCmdMeasure().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCmdMeasure() *cobra.Command {
	opts := &options{}
	cmd := &cobra.Command{
		Use:          "measure",
		Short:        "Measure routing in virtual time and rewrite the pages with the results",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return measureRun(opts) },
	}
	cmd.Flags().StringVar(&opts.directory, "directory", "docs/measurements", "directory of the pages")
	cmd.Flags().IntVar(&opts.size.Services, "services", 4, "number of services of a fleet, at most 4")
	cmd.Flags().DurationVar(&opts.size.Duration, "for", 20*time.Second, "virtual time during which callers send requests in each case")
	cmd.Flags().Uint64Var(&opts.size.Seed, "seed", 1, "seed of all random choices")
	return cmd
}

func measureRun(opts *options) error {
	if opts.size.Services < 1 || opts.size.Services > 4 {
		return daisyerror.InvalidSetting.New("--services: %d is not from 1 to 4", opts.size.Services)
	}
	var routing, credits strings.Builder
	routing.WriteString(routingHead)
	daisymeasure.WriteTable(&routing, opts.size.Cases())
	credits.WriteString(creditsHead)
	daisymeasure.WriteTrafficTable(&credits, opts.size.Seed, daisypeer.FrameSize)
	if err := write(opts.directory, "routing.md", routing.String()); err != nil {
		return err
	}
	return write(opts.directory, "credits.md", credits.String())
}

func write(directory, name, text string) error {
	if err := os.WriteFile(filepath.Join(directory, name), []byte(text), 0o644); err != nil {
		return daisyerror.Unavailable.Wrap(err, "cannot write %s", name)
	}
	return nil
}

const routingHead = `# Routing under load and faults

Written by ` + "`go run ./examples/measure`" + ` (4 services a fleet, 20 s of callers in each case after 1 s of warm-up, seed 1). All in virtual time: the same command gives the same figures. Every policy meets the same callers with the same work.

- Portugal: 6 VMs, 45 endpoints with 3 slots in 4 services, 4 availability zones, 1 ms one way between them. Czechia: 5 VMs, 30 endpoints with 2 slots, 3 zones, 1.5 ms. Within a zone 0.1 ms.
- Work is log-normal (sigma 0.6) with a mean of 20 ms for urgent, 60 ms for standard and 200 ms for bulk; where nothing else is said it is 50, 30 and 20% of the load. An endpoint holds 3 requests beyond its slots and sheds the rest.
- The central queue knows every slot and the health of every endpoint at once, and sends ahead, so that no slot is idle while a request waits. It does not hedge, so hedging can go below it.
- "Useful" is answered within the rank's target, "useful work" the slot time of such answers of all ranks from the warm-up to the end, as a share of all slots. "Served" shares are of the slot time that the requests offered after the warm-up need; what still waits at the end counts as not served, so little of a bulk flood is: bulk of the warm-up comes first.
- Sheds are requests that an endpoint refused; they are sent again within the budgets. Messages are those between VMs in the whole run.
`

const creditsHead = `# What sharing slots by credits costs

Written by ` + "`go run ./examples/measure`" + ` (one service, 3 slots an endpoint, 4 availability zones, 20 s, seed 1, virtual time). Bytes are encoded frames, without what the session and TCP add; heartbeats are not among them.

The two-year size is 150 services of 12 endpoints and 1,200 calls a second each, here 67% of the slots, and 18 KB a second a VM for all control.

`
