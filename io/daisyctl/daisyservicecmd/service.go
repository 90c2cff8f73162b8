// Package daisyservicecmd holds the commands on services.
package daisyservicecmd

import (
	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
)

// NewCmdService gives the service command with its verbs.
func NewCmdService(f *daisyfactory.Factory) *cobra.Command {
	c := &cobra.Command{
		Use:   "service <command>",
		Short: "Look at services",
		Args:  cobra.ArbitraryArgs,
		RunE:  daisyfactory.Group,
	}
	c.AddCommand(NewCmdList(f, nil))
	return c
}
