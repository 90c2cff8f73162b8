// Package daisyconfigcmd implements the commands on the confirmed configuration.
package daisyconfigcmd

import (
	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
)

// NewCmdConfig returns the command config with its subcommands.
func NewCmdConfig(f *daisyfactory.Factory) *cobra.Command {
	c := &cobra.Command{
		Use:   "config <command>",
		Short: "View the confirmed configuration",
		Args:  cobra.ArbitraryArgs,
		RunE:  daisyfactory.RunGroup,
	}
	c.AddCommand(NewCmdView(f, nil))
	return c
}
