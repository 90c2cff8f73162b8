package daisyendpointcmd

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyctl/daisyplancmd"
	"daisyyoke/io/daisyoperator"
)

// DrainOptions are the options of endpoint drain and endpoint resume.
type DrainOptions struct {
	daisyfactory.ShowOptions
	Address string
	Fleet   string
	Service string
	Yes     bool
	// Draining is what the endpoint shall do.
	Draining bool
}

// NewCmdDrain gives the command endpoint drain; runF stands in for its work in tests.
func NewCmdDrain(f *daisyfactory.Factory, runF func(context.Context, *DrainOptions) error) *cobra.Command {
	c := newCmdDraining(f, runF, true)
	c.Use = "drain IP:PORT"
	c.Short = "Give an endpoint no new work"
	c.Long = `Makes a plan that gives an endpoint no new work and puts it in force. What it works on is finished.

Asks first on a terminal.`
	c.Example = `  $ daisyctl endpoint drain 10.0.0.7:9001
  $ daisyctl endpoint drain 10.0.0.7:9001 --fleet vigia-lar --service visit-lookups --yes`
	return c
}

// NewCmdResume gives the command endpoint resume; runF stands in for its work in tests.
func NewCmdResume(f *daisyfactory.Factory, runF func(context.Context, *DrainOptions) error) *cobra.Command {
	c := newCmdDraining(f, runF, false)
	c.Use = "resume IP:PORT"
	c.Short = "Give a drained endpoint work again"
	c.Long = `Makes a plan that gives a drained endpoint work again and puts it in force.

Asks first on a terminal.`
	c.Example = `  $ daisyctl endpoint resume 10.0.0.7:9001`
	return c
}

func newCmdDraining(f *daisyfactory.Factory, runF func(context.Context, *DrainOptions) error, draining bool) *cobra.Command {
	o := &DrainOptions{ShowOptions: f.ShowOptions(), Draining: draining}
	c := &cobra.Command{
		Args: daisyfactory.ExactArgs("IP:PORT"),
		RunE: func(c *cobra.Command, args []string) error {
			o.Address = args[0]
			return daisyfactory.Run(o, runF, drainRun)(c, args)
		},
	}
	c.Flags().StringVar(&o.Fleet, "fleet", "", "only in this `FLEET`")
	c.Flags().StringVar(&o.Service, "service", "", "only in this `SERVICE`")
	c.Flags().BoolVarP(&o.Yes, "yes", "y", false, "do not ask")
	o.JSON.AddFlag(c, daisyoperator.PlanFields...)
	return c
}

func drainRun(ctx context.Context, o *DrainOptions) error {
	address, err := netip.ParseAddrPort(o.Address)
	if err != nil {
		return daisyerror.InvalidSetting.New("%q: want the IP:PORT of an endpoint; see daisyctl endpoint list", o.Address)
	}
	client, err := o.Open()
	if err != nil {
		return err
	}
	request := daisyoperator.EndpointRequest{Address: address, Fleet: o.Fleet, Service: o.Service, Draining: o.Draining}
	p, err := client.PlanEndpoint(ctx, request)
	if err != nil {
		return err
	}
	if len(p.Changes) == 0 {
		return leave(ctx, client, o, p)
	}
	if !o.JSON.Wanted() {
		daisyplancmd.Show(o.Streams, p)
	}
	if o.Streams.Interactive && !o.Yes {
		agreed, err := o.Streams.Confirm("\nPut this in force?")
		if err != nil || !agreed {
			return err
		}
	}
	p, err = client.ConfirmPlan(ctx, p.ID)
	if err != nil {
		return err
	}
	if o.JSON.Wanted() {
		return o.JSON.Print(o.Streams, p)
	}
	fmt.Fprintf(o.Streams.Out, "plan %s confirmed: revision %d\n", p.ID, p.Revision)
	return nil
}

// leave ends a plan that would change nothing, so that no revision is made of it.
func leave(ctx context.Context, client *daisyoperator.Client, o *DrainOptions, p daisyoperator.Plan) error {
	p, err := client.DiscardPlan(ctx, p.ID)
	if err != nil {
		return err
	}
	if o.JSON.Wanted() {
		return o.JSON.Print(o.Streams, p)
	}
	state := "gets work already"
	if o.Draining {
		state = "is drained already"
	}
	fmt.Fprintf(o.Streams.Out, "%s %s; nothing to do\n", o.Address, state)
	return nil
}
