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
	daisyfactory.ShowOptions
}

// NewCmdList returns the command vm list; in tests, a non-nil runF replaces listRun.
func NewCmdList(f *daisyfactory.Factory, runF func(context.Context, *ListOptions) error) *cobra.Command {
	o := &ListOptions{ShowOptions: f.ShowOptions()}
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
	client, err := o.Open()
	if err != nil {
		return err
	}
	vms, err := client.ListVMs(ctx)
	if err != nil {
		return err
	}
	if o.JSON.Wanted() {
		return o.JSON.Print(o.Streams, vms)
	}
	t := o.Streams.NewTable("NAME", "AVAILABILITY ZONE", "CALLERS", "STATE", "READY", "REVISION", "SPARE")
	for _, v := range vms {
		t.Row(v.Name, v.Zone, callersText(v.Callers), paintState(o.Streams, v.State), strconv.FormatBool(v.Ready),
			strconv.FormatUint(v.Revision, 10), strconv.Itoa(v.Spare))
	}
	return t.Close()
}

// callersText returns an address as text, or "-" while it is not known.
func callersText(address netip.AddrPort) string {
	if !address.IsValid() {
		return "-"
	}
	return address.String()
}

func paintState(s *daisyterminal.Streams, state string) string {
	if state == "live" {
		return s.Paint(daisyterminal.Good, state)
	}
	return s.Paint(daisyterminal.Warn, state)
}
