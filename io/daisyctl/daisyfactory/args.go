package daisyfactory

import (
	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
)

// ExactArgs returns a check that exactly the named arguments are given. The check fails
// with daisyerror.InvalidSetting.
func ExactArgs(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		return daisyerror.InvalidSetting.New("%s: want %d arguments, got %d; usage: %s", c.Name(), len(names), len(args), c.UseLine())
	}
}

// RunGroup is the RunE of a command that only has subcommands: it prints the help, and fails
// with daisyerror.InvalidSetting on an unknown subcommand.
func RunGroup(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return daisyerror.InvalidSetting.New("%s: unknown command %q; see %s --help", c.CommandPath(), args[0], c.CommandPath())
	}
	return c.Help()
}
