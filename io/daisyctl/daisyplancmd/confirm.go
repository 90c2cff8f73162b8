package daisyplancmd

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyoperator"
)

// ConfirmOptions are the options of plan confirm.
type ConfirmOptions struct {
	daisyfactory.JSONOptions
	ID  string
	Yes bool
}

// NewCmdConfirm returns the command plan confirm; in tests, a non-nil runF replaces confirmRun.
func NewCmdConfirm(f *daisyfactory.Factory, runF func(context.Context, *ConfirmOptions) error) *cobra.Command {
	o := &ConfirmOptions{JSONOptions: f.JSONOptions()}
	c := &cobra.Command{
		Use:   "confirm ID",
		Short: "Put a plan in force",
		Long: `Puts a plan in force on every VM. Prompts for confirmation on a terminal; elsewhere --yes is required.

Exits with code 3 if another plan was confirmed first and this one is stale.`,
		Example: `  $ daisyctl plan confirm 7f3a90c1
  $ daisyctl plan confirm 7f3a90c1 --yes`,
		Args: daisyfactory.ExactArgs("ID"),
		RunE: func(c *cobra.Command, args []string) error {
			o.ID = args[0]
			return daisyfactory.Run(o, runF, confirmRun)(c, args)
		},
	}
	c.Flags().BoolVarP(&o.Yes, "yes", "y", false, "skip the confirmation prompt")
	o.JSON.AddFlag(c, daisyoperator.PlanFields...)
	return c
}

func confirmRun(ctx context.Context, o *ConfirmOptions) error {
	if err := o.JSON.Validate(); err != nil {
		return err
	}
	if !o.Yes && !o.Streams.Interactive {
		return daisyerror.InvalidSetting.New("--yes: required to confirm a plan without a terminal")
	}
	client, err := o.Client()
	if err != nil {
		return err
	}
	if !o.Yes {
		agreed, err := promptConfirm(ctx, client, o)
		if err != nil || !agreed {
			return err
		}
	}
	p, err := client.ConfirmPlan(ctx, o.ID)
	if err != nil {
		return err
	}
	if o.JSON.Requested() {
		return o.JSON.Print(o.Streams, p)
	}
	fmt.Fprintf(o.Streams.Out, "plan %s confirmed: revision %d\n", p.ID, p.Revision)
	return nil
}

func promptConfirm(ctx context.Context, client *daisyoperator.Client, o *ConfirmOptions) (bool, error) {
	p, err := client.ViewPlan(ctx, o.ID)
	if err != nil {
		return false, err
	}
	PrintPlan(o.Streams, p)
	agreed, err := o.Streams.Confirm("\nPut this in force?")
	if err == nil && !agreed {
		fmt.Fprintln(o.Streams.Err, "Nothing has changed.")
	}
	return agreed, err
}
