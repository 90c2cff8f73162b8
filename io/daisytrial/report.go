package daisytrial

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"daisyyoke/core/daisyerror"
)

const columnGap = 2

// WriteTable writes a table of the counts and latency percentiles by fleet,
// service and rank. It fails with daisyerror.Unavailable.
func (l *Ledger) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tRANK\tREQUESTS\tSERVED\tREFUSED\tFAILED\tCUT\tNO ANSWER\tP50\tP99\tP99.9")
	for _, r := range l.Rows() {
		c := r.Counts
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", r.Kind.Service, r.Kind.Rank,
			c.Requests, c.Served, c.Refused, c.Failed, c.Truncated, c.NoResponse,
			formatQuantile(c, 50), formatQuantile(c, 99), formatQuantile(c, 99.9))
	}
	if err := t.Flush(); err != nil {
		return daisyerror.Unavailable.Wrap(err, "writing the table")
	}
	return nil
}

func formatQuantile(c *Counts, q float64) string {
	return c.Quantile(q).Round(100 * time.Microsecond).String()
}

// String returns the audit as one line.
func (a Audit) String() string {
	return fmt.Sprintf("lost %d, cut %d, mixed up %d, doubled %d, false not-run %d, served without a run %d; broken off by the trial itself %d",
		a.Lost, a.Truncated, a.Mismatched, a.Duplicated, a.FalseNotRun, a.NeverRan, a.BrokenByOutage)
}
