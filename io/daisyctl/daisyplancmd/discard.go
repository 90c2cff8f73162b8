package daisyplancmd

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyoperator"
)

// DiscardOptions are the options of plan discard.
type DiscardOptions struct {
	daisyfactory.JSONOptions
	ID string
}

// NewCmdDiscard returns the command plan discard; in tests, a non-nil runF replaces discardRun.
func NewCmdDiscard(f *daisyfactory.Factory, runF func(context.Context, *DiscardOptions) error) *cobra.Command {
	o := &DiscardOptions{JSONOptions: f.JSONOptions()}
	c := &cobra.Command{
		Use:     "discard ID",
		Short:   "Discard a plan that is not confirmed",
		Example: `  $ daisyctl plan discard 7f3a90c1`,
		Args:    daisyfactory.ExactArgs("ID"),
		RunE: func(c *cobra.Command, args []string) error {
			o.ID = args[0]
			return daisyfactory.Run(o, runF, discardRun)(c, args)
		},
	}
	o.JSON.AddFlag(c, daisyoperator.PlanFields...)
	return c
}

func discardRun(ctx context.Context, o *DiscardOptions) error {
	client, err := o.OpenClient()
	if err != nil {
		return err
	}
	p, err := client.DiscardPlan(ctx, o.ID)
	if err != nil {
		return err
	}
	if o.JSON.Requested() {
		return o.JSON.Print(o.Streams, p)
	}
	fmt.Fprintf(o.Streams.Out, "plan %s discarded\n", p.ID)
	return nil
}
