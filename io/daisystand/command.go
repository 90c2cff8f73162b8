package daisystand

import (
	"context"
	"fmt"
	"io"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
)

// Exit codes of the program.
const (
	exitSuccess    = 0
	exitFailure    = 1
	exitUsageError = 2
)

// NewCmdRoot returns the root command daisystand with all its subcommands.
func NewCmdRoot() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "daisystand",
		Short:         "Simulated endpoints and platform for trials and tests of daisyyoke",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return daisyerror.InvalidSetting.Wrap(err, "invalid usage")
	})
	cmd.AddCommand(NewCmdEndpoint(nil), NewCmdPlatform(nil))
	return cmd
}

// Execute runs the program with the arguments and returns its exit code: 0 for
// success, 1 for a failure, 2 for invalid usage.
func Execute(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	cmd := NewCmdRoot()
	cmd.SetArgs(arguments)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.ExecuteContext(ctx)
	if err == nil {
		return exitSuccess
	}
	fmt.Fprintf(stderr, "daisystand: %s\n", daisyerror.Text(err))
	if errorx.IsOfType(err, daisyerror.InvalidSetting) {
		return exitUsageError
	}
	return exitFailure
}
