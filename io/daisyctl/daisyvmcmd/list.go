package daisyvmcmd

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyctl/daisyterminal"
	"daisyyoke/io/daisyoperator"
)

// ListOptions are the options of vm list.
type ListOptions struct {
	daisyfactory.JSONOptions
	// Zone is the availability zone of the VMs to list, FLEET/NAME; empty lists all.
	Zone string
	// Limit is the maximum number of VMs to list; 0 lists all.
	Limit int
}

// NewCmdList returns the command vm list; in tests, a non-nil runF replaces listRun.
func NewCmdList(f *daisyfactory.Factory, runF func(context.Context, *ListOptions) error) *cobra.Command {
	o := &ListOptions{JSONOptions: f.JSONOptions()}
	c := &cobra.Command{
		Use:   "list",
		Short: "List the entry VMs as seen by the queried VM",
		Example: `  $ daisyctl vm list
  $ daisyctl vm list --zone vigia-lar/lisboa-1 --limit 20
  $ daisyctl vm list --json name,state,revision`,
		Args: daisyfactory.ExactArgs(),
		RunE: daisyfactory.Run(o, runF, listRun),
	}
	c.Flags().StringVarP(&o.Zone, "zone", "z", "", "list only the VMs of the availability zone `FLEET/NAME`")
	c.Flags().IntVarP(&o.Limit, "limit", "L", 0, "list at most `N` VMs; 0 lists all")
	o.JSON.AddFlag(c, daisyoperator.VMFields...)
	return c
}

func listRun(ctx context.Context, o *ListOptions) error {
	if o.Limit < 0 {
		return daisyerror.InvalidSetting.New("--limit %d: want 0 or more", o.Limit)
	}
	client, err := o.OpenClient()
	if err != nil {
		return err
	}
	all, err := client.ListVMs(ctx)
	if err != nil {
		return err
	}
	vms := o.selectVMs(all)
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

// selectVMs returns the VMs of the zone, at most the limit, and says how many it leaves out.
func (o *ListOptions) selectVMs(all []daisyoperator.VM) []daisyoperator.VM {
	vms := make([]daisyoperator.VM, 0, len(all))
	for _, v := range all {
		if o.Zone == "" || v.Zone == o.Zone {
			vms = append(vms, v)
		}
	}
	if o.Limit == 0 || len(vms) <= o.Limit {
		return vms
	}
	fmt.Fprintf(o.Streams.Err, "Showing %d of %d VMs\n", o.Limit, len(vms))
	return vms[:o.Limit]
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
