package daisyfactory

import (
	"context"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyterminal"
	"daisyyoke/io/daisyoperator"
)

// Options are what every command depends on.
type Options struct {
	Streams *daisyterminal.Streams
	Client  func() (*daisyoperator.Client, error)
}

// Options gives a command its dependencies.
func (f *Factory) Options() Options { return Options{Streams: f.Streams, Client: f.Client} }

// ShowOptions are what every command that shows something depends on.
type ShowOptions struct {
	Options
	JSON daisyterminal.JSON
}

// ShowOptions gives a command that shows something its dependencies.
func (f *Factory) ShowOptions() ShowOptions { return ShowOptions{Options: f.Options()} }

// Open checks --json and gives the client. It fails with daisyerror.InvalidSetting.
func (o *ShowOptions) Open() (*daisyoperator.Client, error) {
	if err := o.JSON.Check(); err != nil {
		return nil, err
	}
	return o.Client()
}

// Run gives the work of a command: the stand-in where a test has one, else its own.
func Run[O any](options O, standIn, own func(context.Context, O) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, _ []string) error {
		if standIn != nil {
			return standIn(c.Context(), options)
		}
		return own(c.Context(), options)
	}
}
