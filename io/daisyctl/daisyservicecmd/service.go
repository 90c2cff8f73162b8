// Package daisyservicecmd implements the commands on services.
package daisyservicecmd

import (
	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
)

// NewCmdService returns the command service with its subcommands.
func NewCmdService(f *daisyfactory.Factory) *cobra.Command {
	c := &cobra.Command{
		Use:   "service <command>",
		Short: "List services",
		Args:  cobra.ArbitraryArgs,
		RunE:  daisyfactory.RunGroup,
	}
	c.AddCommand(NewCmdList(f, nil))
	return c
}
