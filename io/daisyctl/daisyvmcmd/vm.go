// Package daisyvmcmd implements the commands on entry VMs.
package daisyvmcmd

import (
	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
)

// NewCmdVM returns the command vm with its subcommands.
func NewCmdVM(f *daisyfactory.Factory) *cobra.Command {
	c := &cobra.Command{
		Use:   "vm <command>",
		Short: "List entry VMs and stop them gracefully",
		Args:  cobra.ArbitraryArgs,
		RunE:  daisyfactory.RunGroup,
	}
	c.AddCommand(NewCmdList(f, nil), NewCmdDrain(f, nil))
	return c
}
