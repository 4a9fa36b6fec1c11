// The verb watch: tells changes as they come into force at the instance.

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
	// watchPause is the time between calls while the instance cannot be reached.
	watchPause = time.Second
	// fromNow as -after begins with the revision in force.
	fromNow = -1
)

type watchVerb struct {
	program *Program
	output  output
	after   int64
	count   int
}

// Name of the verb.
func (*watchVerb) Name() string { return "watch" }

// Synopsis is one line for the list of verbs.
func (*watchVerb) Synopsis() string { return "tell changes as they come into force" }

// Usage is the help text.
func (*watchVerb) Usage() string {
	return `watch [-after REVISION] [-count N] [-o table|json]
  Tells each change as it comes into force at the instance, one line a resource, until interrupted.
  With -o json, one object a line. While the instance cannot be reached it goes on trying.
`
}

// SetFlags sets the verb's flags.
func (v *watchVerb) SetFlags(f *flag.FlagSet) {
	v.output.setFlags(f)
	f.Int64Var(&v.after, "after", fromNow, "begin after this revision; -1: the one in force")
	f.IntVar(&v.count, "count", 0, "end after that many revisions; 0: go on")
}

// Execute carries the verb out.
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

// loop ends when the operator interrupts it, when as many revisions as asked for were told, or with an
// answer that another try would not change.
func (v *watchVerb) loop(ctx context.Context, c *client.Client, after int64) error {
	for told := 0; v.count == 0 || told < v.count; {
		changes, err := c.Watch(ctx, after, watchWait)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if !v.goOn(ctx, err) {
				return err
			}
			continue
		}
		if changes.Revision <= after {
			continue
		}
		if err := v.tell(changes); err != nil {
			return err
		}
		after = changes.Revision
		told++
	}
	return nil
}

// goOn pauses after an error that may pass, and tells whether it is one.
func (v *watchVerb) goOn(ctx context.Context, err error) bool {
	var unreachable *client.NoResponseError
	if !errors.As(err, &unreachable) {
		return false
	}
	v.program.complain(err.Error() + "; trying again")
	select {
	case <-time.After(watchPause):
	case <-ctx.Done():
	}
	return true
}

func (v *watchVerb) tell(changes message.Changes) error {
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
