package daisyrequestcmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyctl/daisyfactory"
)

// longestLine bounds the length of a log line.
const longestLine = 1 << 20

// Step is one log line of a request.
type Step struct {
	At      time.Time      `json:"at"`
	Log     string         `json:"log"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

var stepFields = []string{"at", "log", "message", "fields"}

// ShowOptions are the options of request show.
type ShowOptions struct {
	daisyfactory.ShowOptions
	Name string
	Logs []string
}

// NewCmdShow returns the command request show; in tests, a non-nil runF replaces showRun.
func NewCmdShow(f *daisyfactory.Factory, runF func(context.Context, *ShowOptions) error) *cobra.Command {
	o := &ShowOptions{ShowOptions: f.ShowOptions()}
	c := &cobra.Command{
		Use:   "show NAME",
		Short: "Show the log lines of a request from the VMs' logs",
		Long: `Prints the log lines of one request, merged from the given logs and sorted by time.
NAME is the caller's identifier for one try of the request. Lines that are not JSON are skipped.`,
		Example: `  $ daisyctl request show 9c41d07be2a35f68 --log vm-1.log --log vm-2.log
  $ daisyctl request show 9c41d07be2a35f68 --log - <all.log
  $ daisyctl request show 9c41d07be2a35f68 --log vm-1.log --json=at,message`,
		Args: daisyfactory.ExactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			o.Name = args[0]
			return daisyfactory.Run(o, runF, showRun)(c, args)
		},
	}
	c.Flags().StringArrayVar(&o.Logs, "log", nil, "`FILE` with the log of a VM, - for standard input; may be repeated")
	o.JSON.AddFlag(c, stepFields...)
	return c
}

func showRun(_ context.Context, o *ShowOptions) error {
	if err := o.JSON.Check(); err != nil {
		return err
	}
	if len(o.Logs) == 0 {
		return daisyerror.InvalidSetting.New("--log: required; give at least one log file, or - for standard input")
	}
	var steps []Step
	for _, name := range o.Logs {
		found, err := o.search(name)
		if err != nil {
			return err
		}
		steps = append(steps, found...)
	}
	if len(steps) == 0 {
		return daisyerror.NotFound.New("no log line of request %q; above the log's rate limit only a share of the requests is logged (see kept-share)", o.Name)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return a.At.Compare(b.At) })
	if o.JSON.Wanted() {
		return o.JSON.Print(o.Streams, steps)
	}
	t := o.Streams.NewTable("AFTER", "LOG", "WHAT", "DETAILS")
	for _, s := range steps {
		t.Row(s.At.Sub(steps[0].At).Round(10*time.Microsecond).String(), s.Log, s.Message, s.details())
	}
	return t.Close()
}

func (o *ShowOptions) search(name string) ([]Step, error) {
	if name == "-" {
		return find(o.Streams.In, name, o.Name)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, daisyerror.InvalidSetting.Wrap(err, "--log")
	}
	defer func() { _ = file.Close() }()
	return find(file, name, o.Name)
}

// find returns the log lines of a request in one log, whose file name is used in errors and results.
func find(log io.Reader, file, name string) ([]Step, error) {
	var steps []Step
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), []byte(name)) {
			continue
		}
		if s, ok := parse(scanner.Bytes(), file, name); ok {
			steps = append(steps, s)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, daisyerror.Unavailable.Wrap(err, "--log %s", file)
	}
	return steps, nil
}

func parse(line []byte, file, name string) (Step, bool) {
	var fields map[string]any
	if json.Unmarshal(line, &fields) != nil || fields["name"] != name {
		return Step{}, false
	}
	s := Step{Log: file, Fields: fields}
	s.Message, _ = fields["@message"].(string)
	text, _ := fields["@timestamp"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return Step{}, false
	}
	s.At = at
	for _, k := range []string{"@message", "@timestamp", "@level", "@module", "name"} {
		delete(fields, k)
	}
	return s, true
}

// details returns the non-empty fields as name=value pairs, sorted by name.
func (s Step) details() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(s.Fields)) {
		if s.Fields[k] == "" {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%v", k, s.Fields[k])
	}
	return b.String()
}
