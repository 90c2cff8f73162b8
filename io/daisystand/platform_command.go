package daisystand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
)

// PlatformServerOptions are the settings of `daisystand platform`.
type PlatformServerOptions struct {
	Listen netip.AddrPort
	// Seed makes the random choices of faults repeatable.
	Seed uint64
	Out  io.Writer
}

// NewCmdPlatform returns the command that serves a simulated platform until its context
// ends. If run is nil, the command starts the server; otherwise it calls run with the
// parsed options.
func NewCmdPlatform(run func(context.Context, PlatformServerOptions) error) *cobra.Command {
	if run == nil {
		run = platformRun
	}
	var listen string
	var options PlatformServerOptions
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve a simulated platform: its table, objects and list of VMs, with faults",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, err := netip.ParseAddrPort(listen)
			if err != nil {
				return daisyerror.InvalidSetting.Wrap(err, "--listen %q: want IP:PORT", listen)
			}
			options.Listen = address
			options.Out = cmd.OutOrStdout()
			return run(cmd.Context(), options)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:9100", "address to serve on, `IP:PORT`; port 0 selects a free one")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the random choices of faults")
	return cmd
}

func platformRun(ctx context.Context, options PlatformServerOptions) error {
	listener, err := net.Listen("tcp", options.Listen.String())
	if err != nil {
		return daisyerror.Unavailable.Wrap(err, "cannot listen on %v", options.Listen)
	}
	s := NewEndpointServer(listener, NewPlatform(options.Seed))
	fmt.Fprintf(options.Out, "serving on %v\n", s.Address())
	<-ctx.Done()
	s.Close()
	return nil
}
