package daisyfactory

import (
	"context"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyterminal"
	"daisyyoke/io/daisyoperator"
)

// Options holds the dependencies of every command.
type Options struct {
	Streams *daisyterminal.Streams
	Client  func() (*daisyoperator.Client, error)
}

// Options returns the dependencies of a command.
func (f *Factory) Options() Options { return Options{Streams: f.Streams, Client: f.Client} }

// JSONOptions holds the dependencies of a command that has a --json flag.
type JSONOptions struct {
	Options
	JSON daisyterminal.JSONFlag
}

// JSONOptions returns the dependencies of a command that has a --json flag.
func (f *Factory) JSONOptions() JSONOptions { return JSONOptions{Options: f.Options()} }

// OpenClient validates --json and returns the client. It fails with daisyerror.InvalidSetting.
func (o *JSONOptions) OpenClient() (*daisyoperator.Client, error) {
	if err := o.JSON.Validate(); err != nil {
		return nil, err
	}
	return o.Client()
}

// Run returns the RunE of a command: it calls override, which only tests pass, or run if override is nil.
func Run[O any](options O, override, run func(context.Context, O) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, _ []string) error {
		if override != nil {
			return override(c.Context(), options)
		}
		return run(c.Context(), options)
	}
}
