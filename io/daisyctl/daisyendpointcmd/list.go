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
	daisyfactory.JSONOptions
	Fleet   string
	Service string
}

// NewCmdList returns the command endpoint list; in tests, a non-nil runF replaces listRun.
func NewCmdList(f *daisyfactory.Factory, runF func(context.Context, *ListOptions) error) *cobra.Command {
	o := &ListOptions{JSONOptions: f.JSONOptions()}
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
	client, err := o.OpenClient()
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
	if o.JSON.Requested() {
		return o.JSON.Print(o.Streams, endpoints)
	}
	t := o.Streams.NewTable("FLEET", "SERVICE", "ADDRESS", "AVAILABILITY ZONE", "SLOTS", "IN FLIGHT", "RATE LIMIT", "RATE USED", "PAUSE", "STATE")
	for _, e := range endpoints {
		t.AddRow(e.Fleet, e.Service, e.Address.String(), e.Zone, strconv.Itoa(e.Slots), strconv.Itoa(e.InFlight), rateLimit(e), rateUsed(e), pause(e), colorizeState(o.Streams, e.State))
	}
	return t.Flush()
}

func rateLimit(e daisyoperator.Endpoint) string {
	if e.RateLimit == nil {
		return "-"
	}
	return strconv.FormatFloat(*e.RateLimit, 'g', 3, 64) + "/s"
}

func rateUsed(e daisyoperator.Endpoint) string {
	if e.RateLimit == nil {
		return "-"
	}
	return strconv.FormatFloat(100*e.RateUsed, 'f', 0, 64) + "%"
}

func pause(e daisyoperator.Endpoint) string {
	if e.Pause == "0s" {
		return "-"
	}
	return e.Pause
}

func colorizeState(s *daisyterminal.Streams, state string) string {
	if state == "in-use" {
		return s.Colorize(daisyterminal.Success, state)
	}
	return s.Colorize(daisyterminal.Warning, state)
}
