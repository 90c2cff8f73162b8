// Package daisyctl implements the operators' command line.
package daisyctl

import (
	"context"
	"fmt"
	"io"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyctl/daisyconfigcmd"
	"daisyyoke/io/daisyctl/daisyendpointcmd"
	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyctl/daisyplancmd"
	"daisyyoke/io/daisyctl/daisyrequestcmd"
	"daisyyoke/io/daisyctl/daisyservicecmd"
	"daisyyoke/io/daisyctl/daisyterminal"
	"daisyyoke/io/daisyctl/daisyvmcmd"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that the operation failed, or that its result is unknown.
	ExitFailed = 1
	// ExitUsage means that a flag, an argument, the request or the intent is invalid.
	ExitUsage = 2
	// ExitStale means that another plan was confirmed first.
	ExitStale = 3
)

// Main runs the command line and returns its exit code. The checker reads the configurations
// of a platform; nil if there are only intents.
func Main(ctx context.Context, args []string, checker daisyfactory.Checker) int {
	root := newRoot()
	f := daisyfactory.New(root)
	f.Checker = checker
	return run(ctx, root, f, args)
}

func newRoot() *cobra.Command {
	return &cobra.Command{
		Use:   "daisyctl <command> <verb>",
		Short: "Operate daisyyoke: plan changes from an intent, review and confirm them",
		Example: `  $ daisyctl plan create -f intent.yaml
  $ daisyctl plan confirm 7f3a90c1
  $ daisyctl endpoint list`,
		Args:          cobra.ArbitraryArgs,
		RunE:          daisyfactory.RunGroup,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
}

func run(ctx context.Context, root *cobra.Command, f *daisyfactory.Factory, args []string) int {
	root.AddCommand(
		daisyplancmd.NewCmdPlan(f),
		daisyconfigcmd.NewCmdConfig(f),
		daisyservicecmd.NewCmdService(f),
		daisyendpointcmd.NewCmdEndpoint(f),
		daisyvmcmd.NewCmdVM(f),
		daisyrequestcmd.NewCmdRequest(f),
	)
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return daisyerror.InvalidSetting.New("%s; see %s --help", err.Error(), c.CommandPath())
	})
	root.SetIn(f.Streams.In)
	root.SetOut(f.Streams.Out)
	root.SetErr(f.Streams.Err)
	root.SetArgs(daisyterminal.JoinFields(root, args))
	if err := root.ExecuteContext(ctx); err != nil {
		printError(f.Streams.Err, err)
		return exitCode(err)
	}
	return ExitOK
}

func exitCode(err error) int {
	switch {
	case errorx.IsOfType(err, daisyerror.Stale):
		return ExitStale
	case errorx.IsOfType(err, daisyerror.InvalidSetting),
		errorx.IsOfType(err, daisyerror.InvalidIntent),
		errorx.IsOfType(err, daisyerror.InvalidRequest):
		return ExitUsage
	}
	return ExitFailed
}

// printError prints an error and, where there is one, a hint on what to do next.
func printError(w io.Writer, err error) {
	fmt.Fprintln(w, daisyerror.Text(err))
	if hint := hintFor(err); hint != "" {
		fmt.Fprintln(w, hint)
	}
}

func hintFor(err error) string {
	switch {
	case errorx.IsOfType(err, daisyerror.Stale):
		return "Review the configuration in force with daisyctl config view, then make a new plan with daisyctl plan create."
	case errorx.IsOfType(err, daisyerror.Ended):
		return "Nothing has changed; review the plan with daisyctl plan view."
	case errorx.IsOfType(err, daisyerror.InvalidIntent):
		return "Nothing has changed; correct these lines and create the plan again."
	case errorx.IsOfType(err, daisyerror.Unauthorized):
		return "Pass the operator token with --operator-token-file."
	case errorx.IsOfType(err, daisyerror.Unknown):
		return "Before you try again, check with daisyctl plan list whether it took effect; confirming a plan twice is safe."
	case errorx.IsOfType(err, daisyerror.Unavailable):
		return "Nothing has changed; try again, or choose another VM with --server."
	case errorx.IsOfType(err, daisyerror.NotFound):
		return "Check the name with the list command, for instance daisyctl plan list."
	}
	return ""
}
