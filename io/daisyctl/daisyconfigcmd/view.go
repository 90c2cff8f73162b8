package daisyconfigcmd

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyctl/daisyterminal"
	"daisyyoke/io/daisyoperator"
)

// ViewOptions are the options of config view.
type ViewOptions struct {
	daisyfactory.JSONOptions
	Revision uint64
	History  bool
	Intent   bool
}

// NewCmdView returns the command config view; in tests, a non-nil runF replaces viewRun.
func NewCmdView(f *daisyfactory.Factory, runF func(context.Context, *ViewOptions) error) *cobra.Command {
	o := &ViewOptions{JSONOptions: f.JSONOptions()}
	c := &cobra.Command{
		Use:   "view",
		Short: "Show the confirmed intent, its revision and the VMs that have it in force",
		Long: `Shows the confirmed intent, its revision and the VMs that have it in force.

To restore an earlier revision, create a plan with daisyctl plan create --restore REVISION.`,
		Example: `  $ daisyctl config view
  $ daisyctl config view --history
  $ daisyctl config view --revision 3 --intent > intent.yaml
  $ daisyctl config view --json=revision,in-force`,
		Args: daisyfactory.ExactArgs(),
		RunE: daisyfactory.Run(o, runF, viewRun),
	}
	c.Flags().Uint64Var(&o.Revision, "revision", 0, "show this earlier `REVISION`")
	c.Flags().BoolVar(&o.History, "history", false, "list who confirmed which revision and when")
	c.Flags().BoolVar(&o.Intent, "intent", false, "print only the intent")
	o.JSON.AddFlag(c, daisyoperator.ConfigFields...)
	return c
}

func viewRun(ctx context.Context, o *ViewOptions) error {
	client, err := o.OpenClient()
	if err != nil {
		return err
	}
	v, err := client.ViewConfig(ctx, o.Revision)
	if err != nil {
		return err
	}
	switch {
	case o.JSON.Requested():
		return o.JSON.Print(o.Streams, v)
	case o.History:
		return printHistory(o.Streams, v.History)
	case o.Intent:
		fmt.Fprint(o.Streams.Out, v.IntentYAML)
		return nil
	}
	return printConfig(o.Streams, v)
}

func printHistory(s *daisyterminal.Streams, history []daisyoperator.Revision) error {
	t := s.NewTable("REVISION", "PLAN", "CONFIRMED", "BY")
	for _, r := range history {
		t.AddRow(formatRevision(r.Revision), r.PlanID, r.ConfirmedAt.Format(time.RFC3339), r.ConfirmedBy)
	}
	return t.Flush()
}

func printConfig(s *daisyterminal.Streams, v daisyoperator.Config) error {
	fmt.Fprintf(s.Out, "revision %d, confirmed by %s at %s from plan %s\n\n",
		v.Revision, v.ConfirmedBy, v.ConfirmedAt.Format(time.RFC3339), v.PlanID)
	t := s.NewTable("VM", "IN FORCE")
	for _, f := range v.InForce {
		style := daisyterminal.Success
		if f.Revision != v.Revision {
			style = daisyterminal.Warning
		}
		t.AddRow(f.VM, s.Colorize(style, formatRevision(f.Revision)))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "\n%s", v.IntentYAML)
	return nil
}

func formatRevision(r uint64) string { return strconv.FormatUint(r, 10) }
