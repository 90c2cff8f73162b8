package daisyplancmd

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyoperator"
)

// ListOptions are the options of plan list.
type ListOptions struct {
	daisyfactory.JSONOptions
}

// NewCmdList returns the command plan list; in tests, a non-nil runF replaces listRun.
func NewCmdList(f *daisyfactory.Factory, runF func(context.Context, *ListOptions) error) *cobra.Command {
	o := &ListOptions{JSONOptions: f.JSONOptions()}
	c := &cobra.Command{
		Use:   "list",
		Short: "List plans, newest first",
		Example: `  $ daisyctl plan list
  $ daisyctl plan list --json=id,state`,
		Args: daisyfactory.ExactArgs(),
		RunE: daisyfactory.Run(o, runF, listRun),
	}
	o.JSON.AddFlag(c, daisyoperator.PlanFields...)
	return c
}

func listRun(ctx context.Context, o *ListOptions) error {
	client, err := o.OpenClient()
	if err != nil {
		return err
	}
	plans, err := client.ListPlans(ctx)
	if err != nil {
		return err
	}
	if o.JSON.Requested() {
		return o.JSON.Print(o.Streams, plans)
	}
	t := o.Streams.NewTable("ID", "STATE", "FROM REVISION", "BY", "CREATED")
	for _, p := range plans {
		t.AddRow(p.ID, colorizeState(o.Streams, p.State), formatRevision(p.BaseRevision), p.CreatedBy, p.CreatedAt.Format(time.RFC3339))
	}
	return t.Flush()
}
