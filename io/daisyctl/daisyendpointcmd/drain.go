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
	daisyfactory.JSONOptions
	Address string
	Fleet   string
	Service string
	Yes     bool
	// Draining is the state to set: true drains the endpoint, false resumes it.
	Draining bool
}

// NewCmdDrain returns the command endpoint drain; in tests, a non-nil runF replaces drainRun.
func NewCmdDrain(f *daisyfactory.Factory, runF func(context.Context, *DrainOptions) error) *cobra.Command {
	c := newCmdDraining(f, runF, true)
	c.Use = "drain IP:PORT"
	c.Short = "Stop sending new requests to an endpoint"
	c.Long = `Creates a plan that drains an endpoint and puts it in force. The endpoint gets no new requests and
completes those in flight.

Prompts for confirmation on a terminal.`
	c.Example = `  $ daisyctl endpoint drain 10.0.0.7:9001
  $ daisyctl endpoint drain 10.0.0.7:9001 --fleet vigia-lar --service visit-lookups --yes`
	return c
}

// NewCmdResume returns the command endpoint resume; in tests, a non-nil runF replaces drainRun.
func NewCmdResume(f *daisyfactory.Factory, runF func(context.Context, *DrainOptions) error) *cobra.Command {
	c := newCmdDraining(f, runF, false)
	c.Use = "resume IP:PORT"
	c.Short = "Send new requests to a drained endpoint again"
	c.Long = `Creates a plan that resumes a drained endpoint and puts it in force. The endpoint gets new requests again.

Prompts for confirmation on a terminal.`
	c.Example = `  $ daisyctl endpoint resume 10.0.0.7:9001`
	return c
}

func newCmdDraining(f *daisyfactory.Factory, runF func(context.Context, *DrainOptions) error, draining bool) *cobra.Command {
	o := &DrainOptions{JSONOptions: f.JSONOptions(), Draining: draining}
	c := &cobra.Command{
		Args: daisyfactory.ExactArgs("IP:PORT"),
		RunE: func(c *cobra.Command, args []string) error {
			o.Address = args[0]
			return daisyfactory.Run(o, runF, drainRun)(c, args)
		},
	}
	c.Flags().StringVar(&o.Fleet, "fleet", "", "limit the change to this `FLEET`")
	c.Flags().StringVar(&o.Service, "service", "", "limit the change to this `SERVICE`")
	c.Flags().BoolVarP(&o.Yes, "yes", "y", false, "skip the confirmation prompt")
	o.JSON.AddFlag(c, daisyoperator.PlanFields...)
	return c
}

func drainRun(ctx context.Context, o *DrainOptions) error {
	address, err := netip.ParseAddrPort(o.Address)
	if err != nil {
		return daisyerror.InvalidSetting.New("%q: want the IP:PORT of an endpoint; see daisyctl endpoint list", o.Address)
	}
	client, err := o.OpenClient()
	if err != nil {
		return err
	}
	request := daisyoperator.EndpointRequest{Address: address, Fleet: o.Fleet, Service: o.Service, Draining: o.Draining}
	p, err := client.PlanEndpoint(ctx, request)
	if err != nil {
		return err
	}
	if len(p.Changes) == 0 {
		return discardUnchanged(ctx, client, o, p)
	}
	if !o.JSON.Requested() {
		daisyplancmd.PrintPlan(o.Streams, p)
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
	if o.JSON.Requested() {
		return o.JSON.Print(o.Streams, p)
	}
	fmt.Fprintf(o.Streams.Out, "plan %s confirmed: revision %d\n", p.ID, p.Revision)
	return nil
}

// discardUnchanged discards a plan without changes instead of confirming it, so that no new revision is created.
func discardUnchanged(ctx context.Context, client *daisyoperator.Client, o *DrainOptions, p daisyoperator.Plan) error {
	p, err := client.DiscardPlan(ctx, p.ID)
	if err != nil {
		return err
	}
	if o.JSON.Requested() {
		return o.JSON.Print(o.Streams, p)
	}
	state := "is not draining"
	if o.Draining {
		state = "is already drained"
	}
	fmt.Fprintf(o.Streams.Out, "%s %s; nothing to do\n", o.Address, state)
	return nil
}
