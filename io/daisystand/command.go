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
	exitDone       = 0
	exitFailed     = 1
	exitWrongUsage = 2
)

// NewCmdRoot gives the command daisystand with all its subcommands.
func NewCmdRoot() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "daisystand",
		Short:         "Stand-ins for trials and tests of daisyyoke",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return daisyerror.InvalidSetting.Wrap(err, "wrong usage")
	})
	cmd.AddCommand(NewCmdEndpoint(nil), NewCmdPlatform(nil))
	return cmd
}

// Execute runs the program with its arguments and gives its exit code: 0 done, 1 failed, 2 wrong usage.
func Execute(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	cmd := NewCmdRoot()
	cmd.SetArgs(arguments)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.ExecuteContext(ctx)
	if err == nil {
		return exitDone
	}
	fmt.Fprintf(stderr, "daisystand: %s\n", daisyerror.Text(err))
	if errorx.IsOfType(err, daisyerror.InvalidSetting) {
		return exitWrongUsage
	}
	return exitFailed
}
