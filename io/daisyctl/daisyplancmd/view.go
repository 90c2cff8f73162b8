package daisyplancmd

import (
	"context"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyctl/daisyterminal"
	"daisyyoke/io/daisyoperator"
)

// ViewOptions are the options of plan view.
type ViewOptions struct {
	Streams *daisyterminal.Streams
	Client  func() (*daisyoperator.Client, error)
	JSON    daisyterminal.JSON
	ID      string
}

// NewCmdView gives the command plan view; runF stands in for its work in tests.
func NewCmdView(f *daisyfactory.Factory, runF func(context.Context, *ViewOptions) error) *cobra.Command {
	o := &ViewOptions{Streams: f.Streams, Client: f.Client}
	c := &cobra.Command{
		Use:     "view ID",
		Short:   "Show what a plan would change",
		Example: `  $ daisyctl plan view 7f3a90c1`,
		Args:    daisyfactory.ExactArgs("ID"),
		RunE: func(c *cobra.Command, args []string) error {
			o.ID = args[0]
			if runF != nil {
				return runF(c.Context(), o)
			}
			return viewRun(c.Context(), o)
		},
	}
	o.JSON.AddFlag(c, daisyoperator.PlanFields...)
	return c
}

func viewRun(ctx context.Context, o *ViewOptions) error {
	if err := o.JSON.Check(); err != nil {
		return err
	}
	client, err := o.Client()
	if err != nil {
		return err
	}
	p, err := client.ViewPlan(ctx, o.ID)
	if err != nil {
		return err
	}
	if o.JSON.Wanted() {
		return o.JSON.Print(o.Streams, p)
	}
	Show(o.Streams, p)
	return nil
}
