package daisyplancmd

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyintent"
	"daisyyoke/io/daisyoperator"
)

// CreateOptions are the options of plan create.
type CreateOptions struct {
	daisyfactory.JSONOptions
	File string
	// Restore is the earlier revision whose intent is restored; 0 means that the intent is read from File.
	Restore uint64
}

// NewCmdCreate returns the command plan create; in tests, a non-nil runF replaces createRun.
func NewCmdCreate(f *daisyfactory.Factory, runF func(context.Context, *CreateOptions) error) *cobra.Command {
	o := &CreateOptions{JSONOptions: f.JSONOptions()}
	c := &cobra.Command{
		Use:   "create -f FILE",
		Short: "Create a plan from an intent",
		Long:  "Validates an intent, lists the changes it would make line by line, and stores them as a plan. Nothing takes effect until the plan is confirmed.",
		Example: `  $ daisyctl plan create -f intent.yaml
  $ daisyctl plan create -f - < intent.yaml
  $ daisyctl plan create --restore 3
  $ daisyctl plan create -f intent.yaml --json=id`,
		Args: daisyfactory.ExactArgs(),
		RunE: daisyfactory.Run(o, runF, createRun),
	}
	c.Flags().StringVarP(&o.File, "file", "f", "", "`FILE` with the intent, - for standard input")
	c.Flags().Uint64Var(&o.Restore, "restore", 0, "restore the intent of this earlier `REVISION`")
	o.JSON.AddFlag(c, daisyoperator.PlanFields...)
	return c
}

func createRun(ctx context.Context, o *CreateOptions) error {
	if o.Restore > 0 && o.File != "" {
		return daisyerror.InvalidSetting.New("--restore: cannot be combined with --file")
	}
	p, err := createPlan(ctx, o)
	if err != nil {
		return err
	}
	if o.JSON.Requested() {
		return o.JSON.Print(o.Streams, p)
	}
	PrintPlan(o.Streams, p)
	fmt.Fprintf(o.Streams.Err, "\nNothing has changed yet. To put it in force: daisyctl plan confirm %s\n", p.ID)
	return nil
}

func createPlan(ctx context.Context, o *CreateOptions) (daisyoperator.Plan, error) {
	client, err := o.OpenClient()
	if err != nil {
		return daisyoperator.Plan{}, err
	}
	if o.Restore > 0 {
		return client.RestorePlan(ctx, o.Restore)
	}
	text, err := readIntent(o)
	if err != nil {
		return daisyoperator.Plan{}, err
	}
	return client.CreatePlan(ctx, text)
}

func readIntent(o *CreateOptions) ([]byte, error) {
	if o.File == "" {
		return nil, daisyerror.InvalidSetting.New("--file: required; give the file with the intent, or - for standard input")
	}
	text, err := o.Streams.ReadFile(o.File, daisyintent.MaxSize+1)
	if err != nil {
		return nil, daisyerror.InvalidSetting.Wrap(err, "--file")
	}
	return text, nil
}
