// Package daisyplancmd implements the commands on plans, one file per subcommand.
package daisyplancmd

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyctl/daisyterminal"
	"daisyyoke/io/daisyoperator"
)

// NewCmdPlan returns the command plan with its subcommands.
func NewCmdPlan(f *daisyfactory.Factory) *cobra.Command {
	c := &cobra.Command{
		Use:   "plan <command>",
		Short: "Create, list, view, confirm and discard plans",
		Long:  "A plan lists what an intent would change. Nothing takes effect until the plan is confirmed.",
		Args:  cobra.ArbitraryArgs,
		RunE:  daisyfactory.Group,
	}
	c.AddCommand(NewCmdCreate(f, nil), NewCmdList(f, nil), NewCmdView(f, nil), NewCmdConfirm(f, nil), NewCmdDiscard(f, nil))
	return c
}

// Show prints a plan in human-readable form.
func Show(s *daisyterminal.Streams, p daisyoperator.Plan) {
	fmt.Fprintf(s.Out, "plan %s  %s, made from revision %d by %s at %s\n",
		p.ID, paintState(s, p.State), p.BaseRevision, p.CreatedBy, p.CreatedAt.Format(time.RFC3339))
	section(s, "changes", p.Changes, "")
	section(s, "effects", p.Effects, "")
	section(s, "warnings", p.Warnings, daisyterminal.Warn)
}

func section(s *daisyterminal.Streams, title string, lines []string, style daisyterminal.Style) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(s.Out, "\n%s:\n", title)
	for _, l := range lines {
		if style != "" {
			l = s.Paint(style, l)
		}
		fmt.Fprintf(s.Out, "  %s\n", l)
	}
}

func paintState(s *daisyterminal.Streams, state string) string {
	switch state {
	case "confirmed":
		return s.Paint(daisyterminal.Good, state)
	case "open":
		return s.Paint(daisyterminal.Warn, state)
	}
	return s.Paint(daisyterminal.Faint, state)
}

func revisionText(r uint64) string { return strconv.FormatUint(r, 10) }
