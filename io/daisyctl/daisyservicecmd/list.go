package daisyservicecmd

import (
	"context"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyoperator"
)

// ListOptions are the options of service list.
type ListOptions struct {
	daisyfactory.JSONOptions
	Fleet string
}

// NewCmdList returns the command service list; in tests, a non-nil runF replaces listRun.
func NewCmdList(f *daisyfactory.Factory, runF func(context.Context, *ListOptions) error) *cobra.Command {
	o := &ListOptions{JSONOptions: f.JSONOptions()}
	c := &cobra.Command{
		Use:   "list",
		Short: "List services with their slots and their requests on the queried VM",
		Example: `  $ daisyctl service list
  $ daisyctl service list --fleet vigia-lar --json=fleet,service,slots`,
		Args: daisyfactory.ExactArgs(),
		RunE: daisyfactory.Run(o, runF, listRun),
	}
	c.Flags().StringVar(&o.Fleet, "fleet", "", "list only this `FLEET`")
	o.JSON.AddFlag(c, daisyoperator.ServiceFields...)
	return c
}

func listRun(ctx context.Context, o *ListOptions) error {
	client, err := o.OpenClient()
	if err != nil {
		return err
	}
	all, err := client.ListServices(ctx)
	if err != nil {
		return err
	}
	services := make([]daisyoperator.Service, 0, len(all))
	for _, s := range all {
		if o.Fleet == "" || s.Fleet == o.Fleet {
			services = append(services, s)
		}
	}
	if o.JSON.Requested() {
		return o.JSON.Print(o.Streams, services)
	}
	t := o.Streams.NewTable("FLEET", "SERVICE", "RANKS", "ENDPOINTS", "SLOTS", "DRAINING", "IN FLIGHT", "WAITING")
	for _, s := range services {
		t.AddRow(s.Fleet, s.Service, strings.Join(s.Ranks, ","), strconv.Itoa(s.Endpoints), strconv.Itoa(s.Slots),
			strconv.Itoa(s.Draining), strconv.Itoa(s.InFlight), strconv.Itoa(s.Waiting))
	}
	return t.Flush()
}
