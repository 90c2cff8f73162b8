// Package daisyconfigcmd implements the commands on configurations.
package daisyconfigcmd

import (
	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
)

// NewCmdConfig returns the command config with its subcommands.
func NewCmdConfig(f *daisyfactory.Factory) *cobra.Command {
	c := &cobra.Command{
		Use:   "config <command>",
		Short: "View the confirmed configuration, and check a new one",
		Args:  cobra.ArbitraryArgs,
		RunE:  daisyfactory.RunGroup,
	}
	c.AddCommand(NewCmdView(f, nil), NewCmdCheck(f, nil))
	return c
}
