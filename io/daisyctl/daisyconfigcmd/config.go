// Package daisyconfigcmd holds the commands on the confirmed configuration.
package daisyconfigcmd

import (
	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
)

// NewCmdConfig gives the config command with its verbs.
func NewCmdConfig(f *daisyfactory.Factory) *cobra.Command {
	c := &cobra.Command{
		Use:   "config <command>",
		Short: "Look at the confirmed configuration",
		Args:  cobra.ArbitraryArgs,
		RunE:  daisyfactory.Group,
	}
	c.AddCommand(NewCmdView(f, nil))
	return c
}
