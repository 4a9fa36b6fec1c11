// The command watch: prints changes as they come into force on the instance.

package control

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/operator/client"
	"lacewingrock.example/lacewingrock/internal/operator/message"
)

const (
	// watchWait is how long one call waits for a change.
	watchWait = 20 * time.Second
	// watchPause is the time between retries while the instance is unreachable.
	watchPause = time.Second
	// fromNow is the value of -after that starts at the revision in force.
	fromNow = -1
)

type watchVerb struct {
	program *Program
	output  output
	after   int64
	count   int
}

// Name returns the name of the command.
func (*watchVerb) Name() string { return "watch" }

// Synopsis returns the line for the list of commands.
func (*watchVerb) Synopsis() string { return "print changes as they come into force" }

// Usage returns the help text.
func (*watchVerb) Usage() string {
	return `watch [-after REVISION] [-count N] [-o table|json]
  Prints each change as it comes into force on the instance, one line per resource, until interrupted.
  With -o json it prints one object per line. While the instance is unreachable it keeps retrying.
`
}

// SetFlags registers the flags of the command.
func (v *watchVerb) SetFlags(f *flag.FlagSet) {
	v.output.setFlags(f)
	f.Int64Var(&v.after, "after", fromNow, "begin after this revision; -1: the one in force")
	f.IntVar(&v.count, "count", 0, "stop after that many revisions; 0: no limit")
}

// Execute runs the command.
func (v *watchVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return v.program.finish(v.run(ctx, f))
}

func (v *watchVerb) run(ctx context.Context, f *flag.FlagSet) error {
	c, _, err := v.program.begin(f, v.output)
	if err != nil {
		return err
	}
	after := v.after
	if after == fromNow {
		status, err := c.Status(ctx)
		if err != nil {
			return err
		}
		after = status.Revision
	}
	return v.loop(ctx, c, after)
}

// loop prints changes until the operator interrupts it, until count revisions have been printed, or until
// an error that a retry would not resolve.
func (v *watchVerb) loop(ctx context.Context, c *client.Client, after int64) error {
	for printed := 0; v.count == 0 || printed < v.count; {
		changes, err := c.Watch(ctx, after, watchWait)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if !v.pauseIfTransient(ctx, err) {
				return err
			}
			continue
		}
		if changes.Revision <= after {
			continue
		}
		if err := v.printChanges(changes); err != nil {
			return err
		}
		after = changes.Revision
		printed++
	}
	return nil
}

// pauseIfTransient reports whether an error may be transient, and if so, prints it and pauses.
func (v *watchVerb) pauseIfTransient(ctx context.Context, err error) bool {
	var unreachable *client.NoResponseError
	if !errors.As(err, &unreachable) {
		return false
	}
	v.program.printError(err.Error() + "; trying again")
	select {
	case <-time.After(watchPause):
	case <-ctx.Done():
	}
	return true
}

func (v *watchVerb) printChanges(changes message.Changes) error {
	if v.output.format == formatJSON {
		return json.NewEncoder(v.program.Out).Encode(changes)
	}
	lines := ""
	if !changes.Complete {
		lines = fmt.Sprintf("revision %d: changes before it are not kept any more; list again\n", changes.Revision)
	}
	for _, change := range changes.Changes {
		lines += fmt.Sprintf("revision %d: %s/%s version %d %s\n",
			changes.Revision, change.Kind, change.Name, change.ResourceVersion, outcomeOf(change))
	}
	_, err := io.WriteString(v.program.Out, lines)
	return err
}
