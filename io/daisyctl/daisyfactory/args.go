package daisyfactory

import (
	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
)

// ExactArgs wants exactly these arguments. It fails with daisyerror.InvalidSetting.
func ExactArgs(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		return daisyerror.InvalidSetting.New("%s: want %d arguments, got %d; usage: %s", c.Name(), len(names), len(args), c.UseLine())
	}
}

// Group wants one of the subcommands of a command.
func Group(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return daisyerror.InvalidSetting.New("%s: no command %q; see %s --help", c.CommandPath(), args[0], c.CommandPath())
	}
	return c.Help()
}
