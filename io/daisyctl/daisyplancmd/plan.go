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
		RunE:  daisyfactory.RunGroup,
	}
	c.AddCommand(NewCmdCreate(f, nil), NewCmdList(f, nil), NewCmdView(f, nil), NewCmdConfirm(f, nil), NewCmdDiscard(f, nil))
	return c
}

// PrintPlan prints a plan in human-readable form.
func PrintPlan(s *daisyterminal.Streams, p daisyoperator.Plan) {
	fmt.Fprintf(s.Out, "plan %s  %s, made from revision %d by %s at %s\n",
		p.ID, colorizeState(s, p.State), p.BaseRevision, p.CreatedBy, p.CreatedAt.Format(time.RFC3339))
	s.PrintSection("changes", p.Changes, "")
	s.PrintSection("effects", p.Effects, "")
	s.PrintSection("warnings", p.Warnings, daisyterminal.Warning)
}

func colorizeState(s *daisyterminal.Streams, state string) string {
	switch state {
	case "confirmed":
		return s.Colorize(daisyterminal.Success, state)
	case "open":
		return s.Colorize(daisyterminal.Warning, state)
	}
	return s.Colorize(daisyterminal.Faint, state)
}

func formatRevision(r uint64) string { return strconv.FormatUint(r, 10) }
