// Package daisyendpointcmd implements the commands on endpoints.
package daisyendpointcmd

import (
	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
)

// NewCmdEndpoint returns the command endpoint with its subcommands.
func NewCmdEndpoint(f *daisyfactory.Factory) *cobra.Command {
	c := &cobra.Command{
		Use:   "endpoint <command>",
		Short: "List, drain and resume endpoints",
		Args:  cobra.ArbitraryArgs,
		RunE:  daisyfactory.RunGroup,
	}
	c.AddCommand(NewCmdList(f, nil), NewCmdDrain(f, nil), NewCmdResume(f, nil))
	return c
}
