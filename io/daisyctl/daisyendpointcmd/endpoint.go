// Package daisyendpointcmd holds the commands on endpoints.
package daisyendpointcmd

import (
	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
)

// NewCmdEndpoint gives the endpoint command with its verbs.
func NewCmdEndpoint(f *daisyfactory.Factory) *cobra.Command {
	c := &cobra.Command{
		Use:   "endpoint <command>",
		Short: "Look at endpoints, drain and resume them",
		Args:  cobra.ArbitraryArgs,
		RunE:  daisyfactory.Group,
	}
	c.AddCommand(NewCmdList(f, nil), NewCmdDrain(f, nil), NewCmdResume(f, nil))
	return c
}
