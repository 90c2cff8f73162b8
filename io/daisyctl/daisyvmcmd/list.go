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

// NewCmdList gives the command vm list; runF stands in for its work in tests.
func NewCmdList(f *daisyfactory.Factory, runF func(context.Context, *ListOptions) error) *cobra.Command {
	o := &ListOptions{ShowOptions: f.ShowOptions()}
	c := &cobra.Command{
		Use:   "list",
		Short: "List the entry VMs as the asked VM sees them",
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

// callersText stands for an address that is not known yet too.
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
