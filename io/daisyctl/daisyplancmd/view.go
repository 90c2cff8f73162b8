package daisyplancmd

import (
	"context"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyoperator"
)

// ViewOptions are the options of plan view.
type ViewOptions struct {
	daisyfactory.JSONOptions
	ID string
}

// NewCmdView returns the command plan view; in tests, a non-nil runF replaces viewRun.
func NewCmdView(f *daisyfactory.Factory, runF func(context.Context, *ViewOptions) error) *cobra.Command {
	o := &ViewOptions{JSONOptions: f.JSONOptions()}
	c := &cobra.Command{
		Use:     "view ID",
		Short:   "Show what a plan would change",
		Example: `  $ daisyctl plan view 7f3a90c1`,
		Args:    daisyfactory.ExactArgs("ID"),
		RunE: func(c *cobra.Command, args []string) error {
			o.ID = args[0]
			return daisyfactory.Run(o, runF, viewRun)(c, args)
		},
	}
	o.JSON.AddFlag(c, daisyoperator.PlanFields...)
	return c
}

func viewRun(ctx context.Context, o *ViewOptions) error {
	client, err := o.OpenClient()
	if err != nil {
		return err
	}
	p, err := client.ViewPlan(ctx, o.ID)
	if err != nil {
		return err
	}
	if o.JSON.Requested() {
		return o.JSON.Print(o.Streams, p)
	}
	PrintPlan(o.Streams, p)
	return nil
}
