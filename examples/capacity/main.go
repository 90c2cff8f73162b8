// Command capacity measures how the state, the processor time and the messages of
// one VM grow with the size of the fleet, fits a line to each quantity, and writes
// docs/measurements/capacity.md with a plot of each.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"daisyyoke/core/daisyerror"
)

const folder = "docs/measurements"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	page, err := os.Create(filepath.Join(folder, "capacity.md"))
	if err != nil {
		return daisyerror.Unavailable.Wrap(err, "writing the page; run from the root of the repository")
	}
	defer func() { _ = page.Close() }()
	writeHead(page)
	for _, m := range quantities() {
		fmt.Fprintf(os.Stderr, "%s\n", m.name)
		s := m.measure()
		if err := s.plot(folder); err != nil {
			return err
		}
		s.write(page)
	}
	return nil
}
