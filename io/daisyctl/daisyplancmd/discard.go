package daisyplancmd

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
)

// DiscardOptions are the options of plan discard.
type DiscardOptions struct {
	daisyfactory.Options
	ID string
}

// NewCmdDiscard gives the command plan discard; runF stands in for its work in tests.
func NewCmdDiscard(f *daisyfactory.Factory, runF func(context.Context, *DiscardOptions) error) *cobra.Command {
	o := &DiscardOptions{Options: f.Options()}
	return &cobra.Command{
		Use:     "discard ID",
		Short:   "End a plan that is not confirmed",
		Example: `  $ daisyctl plan discard 7f3a90c1`,
		Args:    daisyfactory.ExactArgs("ID"),
		RunE: func(c *cobra.Command, args []string) error {
			o.ID = args[0]
			return daisyfactory.Run(o, runF, discardRun)(c, args)
		},
	}
}

func discardRun(ctx context.Context, o *DiscardOptions) error {
	client, err := o.Client()
	if err != nil {
		return err
	}
	p, err := client.DiscardPlan(ctx, o.ID)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Streams.Out, "plan %s discarded\n", p.ID)
	return nil
}
