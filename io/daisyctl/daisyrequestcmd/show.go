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

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// LogLine is one log line of a request.
type LogLine struct {
	At      time.Time      `json:"at"`
	Log     string         `json:"log"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

var lineFields = []string{"at", "log", "message", "fields"}

// ShowOptions are the options of request show.
type ShowOptions struct {
	daisyfactory.JSONOptions
	Name string
	Logs []string
}

// NewCmdShow returns the command request show; in tests, a non-nil runF replaces showRun.
func NewCmdShow(f *daisyfactory.Factory, runF func(context.Context, *ShowOptions) error) *cobra.Command {
	o := &ShowOptions{JSONOptions: f.JSONOptions()}
	c := &cobra.Command{
		Use:   "show NAME",
		Short: "Show the log lines of a request from the VMs' logs",
		Long: `Prints the log lines of one request, merged from the given logs and sorted by time.
Give the logs of all VMs to see every line. Lines that are not JSON are skipped.
NAME is the caller's identifier for one try of the request.`,
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
	o.JSON.AddFlag(c, lineFields...)
	return c
}

func showRun(_ context.Context, o *ShowOptions) error {
	if err := o.JSON.Validate(); err != nil {
		return err
	}
	if len(o.Logs) == 0 {
		return daisyerror.InvalidSetting.New("--log: required; give at least one log file, or - for standard input")
	}
	var lines []LogLine
	for _, name := range o.Logs {
		found, err := o.searchLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return daisyerror.NotFound.New("no log line for request %q; above the log's rate limit only a share of the requests is logged (see kept-share)", o.Name)
	}
	slices.SortStableFunc(lines, func(a, b LogLine) int { return a.At.Compare(b.At) })
	if o.JSON.Requested() {
		return o.JSON.Print(o.Streams, lines)
	}
	t := o.Streams.NewTable("AFTER", "LOG", "WHAT", "DETAILS")
	for _, l := range lines {
		t.AddRow(l.At.Sub(lines[0].At).Round(10*time.Microsecond).String(), l.Log, l.Message, l.details())
	}
	return t.Flush()
}

func (o *ShowOptions) searchLog(name string) ([]LogLine, error) {
	if name == "-" {
		return findLines(o.Streams.In, name, o.Name)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, daisyerror.InvalidSetting.Wrap(err, "--log")
	}
	defer func() { _ = file.Close() }()
	return findLines(file, name, o.Name)
}

// findLines returns the log lines of a request in one log, whose file name is used in errors and results.
func findLines(log io.Reader, file, name string) ([]LogLine, error) {
	var lines []LogLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), []byte(name)) {
			continue
		}
		if l, ok := parseLine(scanner.Bytes(), file, name); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, daisyerror.Unavailable.Wrap(err, "--log %s", file)
	}
	return lines, nil
}

func parseLine(line []byte, file, name string) (LogLine, bool) {
	var fields map[string]any
	if json.Unmarshal(line, &fields) != nil || fields["name"] != name {
		return LogLine{}, false
	}
	l := LogLine{Log: file, Fields: fields}
	l.Message, _ = fields["@message"].(string)
	text, _ := fields["@timestamp"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return LogLine{}, false
	}
	l.At = at
	for _, k := range []string{"@message", "@timestamp", "@level", "@module", "name"} {
		delete(fields, k)
	}
	return l, true
}

// details returns the non-empty fields as name=value pairs, sorted by name.
func (l LogLine) details() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		if l.Fields[k] == "" {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%v", k, l.Fields[k])
	}
	return b.String()
}
