package daisyvmcmd

import (
	"context"
	"net/netip"
	"strconv"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyctl/daisyterminal"
	"daisyyoke/io/daisyoperator"
)

// ListOptions are the options of vm list.
type ListOptions struct {
	daisyfactory.JSONOptions
}

// NewCmdList returns the command vm list; in tests, a non-nil runF replaces listRun.
func NewCmdList(f *daisyfactory.Factory, runF func(context.Context, *ListOptions) error) *cobra.Command {
	o := &ListOptions{JSONOptions: f.JSONOptions()}
	c := &cobra.Command{
		Use:   "list",
		Short: "List the entry VMs as seen by the queried VM",
		Example: `  $ daisyctl vm list
  $ daisyctl vm list --json=name,state,revision`,
		Args: daisyfactory.ExactArgs(),
		RunE: daisyfactory.Run(o, runF, listRun),
	}
	o.JSON.AddFlag(c, daisyoperator.VMFields...)
	return c
}

func listRun(ctx context.Context, o *ListOptions) error {
	client, err := o.OpenClient()
	if err != nil {
		return err
	}
	vms, err := client.ListVMs(ctx)
	if err != nil {
		return err
	}
	if o.JSON.Requested() {
		return o.JSON.Print(o.Streams, vms)
	}
	t := o.Streams.NewTable("NAME", "AVAILABILITY ZONE", "CALLERS", "STATE", "READY", "REVISION", "SPARE")
	for _, v := range vms {
		t.AddRow(v.Name, v.Zone, formatCallers(v.Callers), colorizeState(o.Streams, v.State), strconv.FormatBool(v.Ready),
			strconv.FormatUint(v.Revision, 10), strconv.Itoa(v.Spare))
	}
	return t.Flush()
}

// formatCallers returns an address as text, or "-" while it is not known.
func formatCallers(address netip.AddrPort) string {
	if !address.IsValid() {
		return "-"
	}
	return address.String()
}

func colorizeState(s *daisyterminal.Streams, state string) string {
	if state == "live" {
		return s.Colorize(daisyterminal.Success, state)
	}
	return s.Colorize(daisyterminal.Warning, state)
}
