// Package daisyrequestcmd implements the commands on single requests.
package daisyrequestcmd

import (
	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
)

// NewCmdRequest returns the command request with its subcommands.
func NewCmdRequest(f *daisyfactory.Factory) *cobra.Command {
	c := &cobra.Command{
		Use:   "request <verb>",
		Short: "Inspect single requests",
		Args:  cobra.ArbitraryArgs,
		RunE:  daisyfactory.RunGroup,
	}
	c.AddCommand(NewCmdShow(f, nil))
	return c
}
