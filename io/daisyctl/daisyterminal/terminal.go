// Package daisyterminal provides the input and output streams of commands, with prompts, colour, tables and JSON.
package daisyterminal

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"golang.org/x/term"

	"daisyyoke/core/daisyerror"
)

// Streams are the input and output of one command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Interactive is set if In and Out are terminals, so that prompts can be answered.
	Interactive bool
	// Color is set if Out is a terminal and NO_COLOR is not set.
	Color bool
}

// System returns the standard streams of the process. NO_COLOR (https://no-color.org) disables colour.
func System() *Streams {
	terminal := term.IsTerminal(int(os.Stdout.Fd()))
	return &Streams{
		In:          os.Stdin,
		Out:         os.Stdout,
		Err:         os.Stderr,
		Interactive: terminal && term.IsTerminal(int(os.Stdin.Fd())),
		Color:       terminal && os.Getenv("NO_COLOR") == "",
	}
}

// ReadFile reads at most limit bytes of a file, or of In if the name is "-". It fails with
// daisyerror.InvalidSetting.
func (s *Streams) ReadFile(name string, limit int64) ([]byte, error) {
	in := s.In
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, daisyerror.InvalidSetting.WrapWithNoMessage(err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	text, err := io.ReadAll(io.LimitReader(in, limit))
	if err != nil {
		return nil, daisyerror.InvalidSetting.WrapWithNoMessage(err)
	}
	return text, nil
}

// PrintSection prints a title and indented lines in a style, or nothing if there are no lines.
func (s *Streams) PrintSection(title string, lines []string, style Style) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(s.Out, "\n%s:\n", title)
	for _, l := range lines {
		if style != "" {
			l = s.Colorize(style, l)
		}
		fmt.Fprintf(s.Out, "  %s\n", l)
	}
}

// Confirm prompts with a yes-or-no question and reports whether the answer is yes; no is
// the default. It fails with daisyerror.Unavailable if the input ends without an answer.
func (s *Streams) Confirm(question string) (bool, error) {
	fmt.Fprintf(s.Err, "%s [y/N] ", question)
	line, err := bufio.NewReader(s.In).ReadString('\n')
	if err != nil && line == "" {
		return false, daisyerror.Unavailable.Wrap(err, "reading the answer")
	}
	switch strings.ToLower(strings.TrimSpace(line)) {
	case "y", "yes":
		return true, nil
	}
	return false, nil
}

// Style is a way to highlight text.
type Style string

// Styles, as ANSI escape sequences (ECMA-48).
const (
	Success Style = "\x1b[32m"
	Failure Style = "\x1b[31m"
	Warning Style = "\x1b[33m"
	Faint   Style = "\x1b[2m"
	reset         = "\x1b[0m"
)

// Colorize returns text in a style, or unchanged if colour is disabled.
func (s *Streams) Colorize(style Style, text string) string {
	if !s.Color {
		return text
	}
	return string(style) + text + reset
}

// Table prints aligned columns. The heading is omitted unless the streams are interactive,
// so that scripts read only rows.
type Table struct {
	writer  *tabwriter.Writer
	streams *Streams
}

const columnPadding = 2

// NewTable returns a table with a heading.
func (s *Streams) NewTable(heading ...string) *Table {
	t := &Table{writer: tabwriter.NewWriter(s.Out, 0, 0, columnPadding, ' ', 0), streams: s}
	if s.Interactive {
		t.AddRow(heading...)
	}
	return t
}

// AddRow appends a row.
func (t *Table) AddRow(cells ...string) {
	fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

// Flush writes the buffered rows to Out. It fails with daisyerror.Unavailable.
func (t *Table) Flush() error {
	if err := t.writer.Flush(); err != nil {
		return daisyerror.Unavailable.Wrap(err, "writing a table")
	}
	return nil
}
