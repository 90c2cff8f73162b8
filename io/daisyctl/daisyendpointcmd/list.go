package daisyendpointcmd

import (
	"context"
	"strconv"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyctl/daisyterminal"
	"daisyyoke/io/daisyoperator"
)

// ListOptions are the options of endpoint list.
type ListOptions struct {
	daisyfactory.ShowOptions
	Fleet   string
	Service string
}

// NewCmdList returns the command endpoint list; in tests, a non-nil runF replaces listRun.
func NewCmdList(f *daisyfactory.Factory, runF func(context.Context, *ListOptions) error) *cobra.Command {
	o := &ListOptions{ShowOptions: f.ShowOptions()}
	c := &cobra.Command{
		Use:   "list",
		Short: "List endpoints with their state on the queried VM",
		Example: `  $ daisyctl endpoint list
  $ daisyctl endpoint list --fleet vigia-lar --service visit-lookups
  $ daisyctl endpoint list --json=address,state`,
		Args: daisyfactory.ExactArgs(),
		RunE: daisyfactory.Run(o, runF, listRun),
	}
	c.Flags().StringVar(&o.Fleet, "fleet", "", "list only this `FLEET`")
	c.Flags().StringVar(&o.Service, "service", "", "list only this `SERVICE`")
	o.JSON.AddFlag(c, daisyoperator.EndpointFields...)
	return c
}

func listRun(ctx context.Context, o *ListOptions) error {
	client, err := o.Open()
	if err != nil {
		return err
	}
	all, err := client.ListEndpoints(ctx)
	if err != nil {
		return err
	}
	endpoints := make([]daisyoperator.Endpoint, 0, len(all))
	for _, e := range all {
		if (o.Fleet == "" || e.Fleet == o.Fleet) && (o.Service == "" || e.Service == o.Service) {
			endpoints = append(endpoints, e)
		}
	}
	if o.JSON.Wanted() {
		return o.JSON.Print(o.Streams, endpoints)
	}
	t := o.Streams.NewTable("FLEET", "SERVICE", "ADDRESS", "AVAILABILITY ZONE", "SLOTS", "IN FLIGHT", "STATE")
	for _, e := range endpoints {
		t.Row(e.Fleet, e.Service, e.Address.String(), e.Zone, strconv.Itoa(e.Slots), strconv.Itoa(e.InFlight), paintState(o.Streams, e.State))
	}
	return t.Close()
}

func paintState(s *daisyterminal.Streams, state string) string {
	if state == "in-use" {
		return s.Paint(daisyterminal.Good, state)
	}
	return s.Paint(daisyterminal.Warn, state)
}
