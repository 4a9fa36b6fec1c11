// The command key withdraw: withdraws a caller's key, so that it is no longer accepted.

package control

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
)

type keyWithdrawVerb struct {
	program *Program
	output  output
	name    string
	wait    time.Duration
}

// Name returns the name of the command.
func (*keyWithdrawVerb) Name() string { return "withdraw" }

// Synopsis returns the line for the list of commands.
func (*keyWithdrawVerb) Synopsis() string { return "withdraw a caller's key" }

// Usage returns the help text.
func (*keyWithdrawVerb) Usage() string {
	return `key withdraw -name N [-wait 5s] [-o table|json]
  Withdraws a key. Within seconds no instance accepts it any more, even one that is partitioned; with
  -wait the response confirms it.
`
}

// SetFlags registers the flags of the command.
func (v *keyWithdrawVerb) SetFlags(f *flag.FlagSet) {
	v.output.setFlags(f)
	f.StringVar(&v.name, "name", "", "the key's name")
	setWait(f, &v.wait)
}

// Execute runs the command.
func (v *keyWithdrawVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return v.program.finish(v.run(ctx, f))
}

func (v *keyWithdrawVerb) run(ctx context.Context, f *flag.FlagSet) error {
	c, _, err := v.program.begin(f, v.output)
	if err != nil {
		return err
	}
	if v.name == "" {
		return usageError("give -name")
	}
	accepted, err := c.WithdrawKey(ctx, v.name, v.wait)
	if err != nil {
		return err
	}
	if err := v.output.print(v.program.Out, accepted, acceptedTable(accepted)); err != nil {
		return err
	}
	return inForce(accepted, v.wait > 0)
}
