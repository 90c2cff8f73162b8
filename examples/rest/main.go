// Command rest measures the resource usage of idle entry VMs, to which no caller
// sends requests: processor time, memory, bytes between VMs and operations on the
// platform, by the number of VMs and of services. The VMs are real processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisytrial"
)

type options struct {
	vms, services []int
	settleTime    time.Duration
	duration      time.Duration
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
		Use:           "rest",
		Short:         "Measure the resource usage of idle VMs",
		Example:       "  $ go run ./examples/rest --vms 2,4,8,16 --services 150",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          func(c *cobra.Command, _ []string) error { return restRun(c.Context(), o) },
	}
	flags := c.Flags()
	flags.IntSliceVar(&o.vms, "vms", []int{6}, "numbers of VMs")
	flags.IntSliceVar(&o.services, "services", []int{10, 50, 100, 150}, "numbers of services, of 12 endpoints each")
	flags.DurationVar(&o.settleTime, "settle", 5*time.Second, "time between the start of the VMs and the measurement")
	flags.DurationVar(&o.duration, "for", 10*time.Second, "length of the measurement")
	return c
}

func restRun(ctx context.Context, o *options) error {
	folder, err := os.MkdirTemp("", "daisyyoke-rest-")
	if err != nil {
		return daisyerror.Unavailable.Wrap(err, "creating a temporary directory")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := daisytrial.Build(folder); err != nil {
		return err
	}
	fmt.Println("| VMs | services | % of a core | MB resident | KB/s sent | KB/s received | platform operations a minute |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, v := range o.vms {
		for _, s := range o.services {
			if err := measure(ctx, folder, v, s, o); err != nil {
				return err
			}
		}
	}
	return nil
}

func measure(ctx context.Context, folder string, vms, services int, o *options) error {
	f, err := startFleet(ctx, folder, vms, services)
	if err != nil {
		return err
	}
	defer f.close()
	if !daisytrial.Sleep(ctx, o.settleTime) {
		return nil
	}
	before, err := f.sample()
	if err != nil {
		return err
	}
	if !daisytrial.Sleep(ctx, o.duration) {
		return nil
	}
	after, err := f.sample()
	if err != nil {
		return err
	}
	perVM := after.sub(before).div(o.duration.Seconds() * float64(vms))
	fmt.Printf("| %d | %d | %.2f | %.0f | %.2f | %.2f | %.0f |\n", vms, services,
		perVM.cpu*100, after.resident/float64(vms)/megabyte, perVM.sent/kilobyte, perVM.received/kilobyte, perVM.platform*60)
	return nil
}

const (
	kilobyte = 1e3
	megabyte = 1e6
)
