// Package daemon holds the verbs of lacewingd. Each verb is a file of its own and stands in the look-up
// table of this one, from which the help text is printed too.
package daemon

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"
)

// Exit codes, documented in the help text.
const (
	exitDone    subcommands.ExitStatus = 0
	exitFailed  subcommands.ExitStatus = 1
	exitUsage   subcommands.ExitStatus = 2
	exitInvalid subcommands.ExitStatus = 4
)

const exitCodes = `
Exit codes:
  0  done; for run: stopped as planned, no request was cut
  1  failed; the last line of the log says why
  2  wrong usage
  4  the settings are invalid; nothing was started
`

// Program is one run of lacewingd. Set the exported fields before Run.
type Program struct {
	Out io.Writer
	Err io.Writer
}

// verbs is the look-up table.
func (p *Program) verbs() []subcommands.Command {
	return []subcommands.Command{
		&runVerb{program: p},
		&serveVerb{program: p},
		&checkVerb{program: p},
		&versionVerb{program: p},
	}
}

// Run carries out the verb that the arguments name and returns the exit code.
func (p *Program) Run(ctx context.Context, arguments []string) int {
	flags := flag.NewFlagSet("lacewingd", flag.ContinueOnError)
	flags.SetOutput(p.Err)
	commander := subcommands.NewCommander(flags, "lacewingd")
	commander.Output = p.Out
	commander.Error = p.Err
	commander.Register(commander.HelpCommand(), "")
	for _, verb := range p.verbs() {
		commander.Register(verb, "")
	}
	explain := commander.Explain
	commander.Explain = func(out io.Writer) {
		explain(out)
		say(out, exitCodes)
	}
	if err := flags.Parse(arguments); err != nil {
		return int(exitUsage)
	}
	return int(commander.Execute(ctx))
}

// fail prints why a verb failed.
func (p *Program) fail(status subcommands.ExitStatus, err error) subcommands.ExitStatus {
	say(p.Err, "lacewingd: "+err.Error()+"\n")
	return status
}

// say writes text for the operator. When that fails there is nobody left to tell.
func say(out io.Writer, text string) {
	_, _ = io.WriteString(out, text)
}
