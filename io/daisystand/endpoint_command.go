package daisystand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
)

// EndpointServerOptions are the settings of `daisystand endpoint`.
type EndpointServerOptions struct {
	Listen   netip.AddrPort
	Endpoint EndpointOptions
	Out      io.Writer
}

// NewCmdEndpoint returns the command that serves a simulated endpoint until its context
// ends. If run is nil, the command starts the server; otherwise it calls run with the
// parsed options.
func NewCmdEndpoint(run func(context.Context, EndpointServerOptions) error) *cobra.Command {
	if run == nil {
		run = endpointRun
	}
	var listen string
	options := EndpointServerOptions{Endpoint: EndpointOptions{Slots: 3, Queue: 1, ServiceTime: 20 * time.Millisecond}}
	cmd := &cobra.Command{
		Use:   "endpoint",
		Short: "Serve a simulated endpoint with slots, a service time and faults",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, err := netip.ParseAddrPort(listen)
			if err != nil {
				return daisyerror.InvalidSetting.Wrap(err, "--listen %q: want IP:PORT", listen)
			}
			if err := options.Endpoint.validate(); err != nil {
				return err
			}
			options.Listen = address
			options.Out = cmd.OutOrStdout()
			return run(cmd.Context(), options)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:9001", "address to serve on, `IP:PORT`; port 0 selects a free one")
	flags.IntVar(&options.Endpoint.Slots, "slots", options.Endpoint.Slots, "requests that are run concurrently")
	flags.IntVar(&options.Endpoint.Queue, "queue", options.Endpoint.Queue, "requests that may wait for a slot; further ones are shed")
	flags.DurationVar(&options.Endpoint.ServiceTime, "service-time", options.Endpoint.ServiceTime, "time that one request takes")
	flags.IntVar(&options.Endpoint.AnswerSize, "answer-size", 0, "minimum size of a response body in bytes")
	return cmd
}

func endpointRun(ctx context.Context, options EndpointServerOptions) error {
	listener, err := net.Listen("tcp", options.Listen.String())
	if err != nil {
		return daisyerror.Unavailable.Wrap(err, "cannot listen on %v", options.Listen)
	}
	s := NewEndpointServer(listener, NewEndpoint(options.Endpoint))
	fmt.Fprintf(options.Out, "serving on %v\n", s.Address())
	<-ctx.Done()
	s.Close()
	return nil
}
