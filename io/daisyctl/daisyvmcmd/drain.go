package daisyvmcmd

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyoperator"
)

// DrainOptions are the options of vm drain.
type DrainOptions struct {
	daisyfactory.JSONOptions
	Name string
	Yes  bool
}

// NewCmdDrain returns the command vm drain; in tests, a non-nil runF replaces drainRun.
func NewCmdDrain(f *daisyfactory.Factory, runF func(context.Context, *DrainOptions) error) *cobra.Command {
	o := &DrainOptions{JSONOptions: f.JSONOptions()}
	c := &cobra.Command{
		Use:   "drain NAME",
		Short: "Stop a VM gracefully, without interrupting requests",
		Long: `Starts a planned stop: callers are directed to other VMs, requests in flight are completed, then the process exits.
Only one VM stops at a time: a second planned stop waits for the first. Prompts for confirmation on a terminal.`,
		Example: `  $ daisyctl vm drain vm-3`,
		Args:    daisyfactory.ExactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			o.Name = args[0]
			return daisyfactory.Run(o, runF, drainRun)(c, args)
		},
	}
	c.Flags().BoolVarP(&o.Yes, "yes", "y", false, "skip the confirmation prompt")
	o.JSON.AddFlag(c, daisyoperator.VMFields...)
	return c
}

func drainRun(ctx context.Context, o *DrainOptions) error {
	client, err := o.OpenClient()
	if err != nil {
		return err
	}
	if o.Streams.Interactive && !o.Yes {
		agreed, err := o.Streams.Confirm("Stop " + o.Name + "?")
		if err != nil || !agreed {
			return err
		}
	}
	v, err := client.DrainVM(ctx, o.Name)
	if err != nil {
		return err
	}
	if o.JSON.Requested() {
		return o.JSON.Print(o.Streams, v)
	}
	fmt.Fprintf(o.Streams.Out, "%s: %s; follow its progress with daisyctl vm list\n", v.Name, v.State)
	return nil
}
