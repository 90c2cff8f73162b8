// Package daisyterminal holds the streams of a command and what a terminal allows on them.
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
	// Interactive says that a person can be asked: In and Out are terminals.
	Interactive bool
	// Color says that Out may carry colour.
	Color bool
}

// System gives the streams of the process. NO_COLOR (https://no-color.org) switches colour off.
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

// Confirm asks a question that yes answers. It fails with daisyerror.Unavailable
// when the input ends.
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

// Style is how a word stands out.
type Style string

// Styles, as ANSI escape sequences (ECMA-48).
const (
	Good  Style = "\x1b[32m"
	Bad   Style = "\x1b[31m"
	Warn  Style = "\x1b[33m"
	Faint Style = "\x1b[2m"
	reset       = "\x1b[0m"
)

// Paint gives text in a style where colour is allowed.
func (s *Streams) Paint(style Style, text string) string {
	if !s.Color {
		return text
	}
	return string(style) + text + reset
}

// Table prints aligned columns. The heading is left out when Out is no terminal,
// so that scripts read rows only.
type Table struct {
	writer  *tabwriter.Writer
	streams *Streams
}

const columnGap = 2

// NewTable starts a table with a heading.
func (s *Streams) NewTable(heading ...string) *Table {
	t := &Table{writer: tabwriter.NewWriter(s.Out, 0, 0, columnGap, ' ', 0), streams: s}
	if s.Interactive {
		t.Row(heading...)
	}
	return t
}

// Row adds a row.
func (t *Table) Row(cells ...string) {
	fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

// Close writes the table out. It fails with daisyerror.Unavailable.
func (t *Table) Close() error {
	if err := t.writer.Flush(); err != nil {
		return daisyerror.Unavailable.Wrap(err, "writing a table")
	}
	return nil
}
