// The command report burn: shows how fast each workspace uses up its error budget.

package control

import (
	"context"
	"flag"
	"strconv"

	"github.com/google/subcommands"

	"lacewingrock.example/lacewingrock/internal/operator/message"
)

type reportBurnVerb struct {
	program *Program
	output  output
}

// Name returns the name of the command.
func (*reportBurnVerb) Name() string { return "burn" }

// Synopsis returns the line for the list of commands.
func (*reportBurnVerb) Synopsis() string { return "show service-level burn, worst workspace first" }

// Usage returns the help text.
func (*reportBurnVerb) Usage() string {
	return `report burn [-o table|json]
  Shows for each workspace and objective, over all instances, the burn rate over a short and a long
  window and the remaining share of the error budget, the worst workspace first. At a burn of 1 the
  budget is used up exactly at the end of the window.
`
}

// SetFlags registers the flags of the command.
func (v *reportBurnVerb) SetFlags(f *flag.FlagSet) { v.output.setFlags(f) }

// Execute runs the command.
func (v *reportBurnVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return v.program.finish(v.run(ctx, f))
}

func (v *reportBurnVerb) run(ctx context.Context, f *flag.FlagSet) error {
	c, _, err := v.program.begin(f, v.output)
	if err != nil {
		return err
	}
	report, err := c.Burn(ctx)
	if err != nil {
		return err
	}
	return v.output.print(v.program.Out, report, burnTable(report))
}

func burnTable(report message.Burn) table {
	t := table{heading: []string{
		"WORKSPACE", "OBJECTIVE", "TARGET", "BURN " + report.ShortWindow, "BURN " + report.LongWindow,
		"BUDGETLEFT", "GOOD", "BAD",
	}}
	for _, line := range report.Lines {
		t.add(line.Workspace, line.Objective, number(line.Target), rounded(line.ShortBurn), rounded(line.LongBurn),
			rounded(line.BudgetLeft), strconv.FormatInt(line.Good, 10), strconv.FormatInt(line.Bad, 10))
	}
	return t
}

func rounded(value float64) string {
	return strconv.FormatFloat(value, 'f', 2, 64)
}
