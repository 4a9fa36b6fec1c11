// The verb key withdraw: ends the use of a caller's key.

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

// Name of the verb.
func (*keyWithdrawVerb) Name() string { return "withdraw" }

// Synopsis is one line for the list of verbs.
func (*keyWithdrawVerb) Synopsis() string { return "end the use of a caller's key" }

// Usage is the help text.
func (*keyWithdrawVerb) Usage() string {
	return `key withdraw -name N [-wait 5s] [-o table|json]
  Ends the use of a key. It stops within seconds on every instance, also on one that is cut off; with
  -wait the answer says that it has.
`
}

// SetFlags sets the verb's flags.
func (v *keyWithdrawVerb) SetFlags(f *flag.FlagSet) {
	v.output.setFlags(f)
	f.StringVar(&v.name, "name", "", "the key's name")
	setWait(f, &v.wait)
}

// Execute carries the verb out.
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
