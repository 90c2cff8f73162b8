package daisydaemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisysetting"
)

// Exit codes of daisyd.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Main runs the daisyd command line with the given subcommands and returns its exit code.
// Without a subcommand it runs the daemon until a planned stop is complete; a signal
// starts one.
func Main(ctx context.Context, args []string, out, log io.Writer, commands ...*cobra.Command) int {
	c := NewCmdDaemon(log, nil)
	c.AddCommand(commands...)
	c.SetArgs(args)
	c.SetOut(out)
	c.SetErr(log)
	err := c.ExecuteContext(ctx)
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(log, daisyerror.Text(err))
	if errorx.IsOfType(err, daisyerror.InvalidSetting) {
		return ExitUsage
	}
	return ExitFailed
}

// NewCmdDaemon returns the root command of daisyd. It calls run with the parsed options,
// or runs the daemon if run is nil.
func NewCmdDaemon(log io.Writer, run func(context.Context, Options) error) *cobra.Command {
	if run == nil {
		run = runDaemon
	}
	c := &cobra.Command{
		Use:   "daisyd",
		Short: "Balance callers' requests over endpoints, on one entry VM",
		Long:  "Each flag has an environment variable: --callers is DAISYYOKE_CALLERS.",
		Example: `  $ daisyd --vm vm-1 --availability-zone vigia-lar/lisboa-1 --platform http://127.0.0.1:9100 --peers 127.0.0.1:8082
  $ daisyd --vm vm-1 --availability-zone vigia-lar/lisboa-1 --platform embedded --intent intent.yaml`,
		Args:          rejectArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	flags := daisysetting.Bind(c.Flags())
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return daisyerror.InvalidSetting.New("%s; see daisyd --help", err.Error())
	})
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := flags.ReadEnvironment(); err != nil {
			return err
		}
		settings, err := flags.Check()
		if err != nil {
			return err
		}
		return run(c.Context(), Options{Settings: settings, Log: log})
	}
	return c
}

func rejectArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return daisyerror.InvalidSetting.New("%q: daisyd takes flags only; see daisyd --help", args[0])
	}
	return nil
}

func runDaemon(ctx context.Context, options Options) error {
	SetGCPercent()
	signals, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := New(signals, options)
	if err != nil {
		return err
	}
	defer d.Close()
	d.redirectStandardLog()
	select {
	case <-signals.Done():
		d.RequestStop("signal")
	case <-d.members.Superseded():
		d.RequestStop("superseded")
	case <-d.Stopped():
	}
	<-d.Stopped()
	return nil
}
