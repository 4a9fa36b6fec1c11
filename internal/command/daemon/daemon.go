// Package daemon has the commands of lacewingd. Each command is in its own file and is registered in the table in
// this file, from which the help text is generated too.
package daemon

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"
)

// Exit codes, documented in the help text.
const (
	exitSuccess subcommands.ExitStatus = 0
	exitFailed  subcommands.ExitStatus = 1
	exitUsage   subcommands.ExitStatus = 2
	exitInvalid subcommands.ExitStatus = 4
)

const exitCodes = `
Exit codes:
  0  success; for run: planned stop without cutting a request
  1  failed; the last line of the log says why
  2  invalid usage
  4  the settings are invalid; nothing was started
`

// Program is one run of lacewingd. Set the exported fields before Run.
type Program struct {
	Out io.Writer
	Err io.Writer
}

// commands returns the table of commands.
func (p *Program) commands() []subcommands.Command {
	return []subcommands.Command{
		&runCommand{program: p},
		&serveCommand{program: p},
		&checkCommand{program: p},
		&versionCommand{program: p},
	}
}

// Run executes the command that the arguments name and returns the exit code.
func (p *Program) Run(ctx context.Context, arguments []string) int {
	flags := flag.NewFlagSet("lacewingd", flag.ContinueOnError)
	flags.SetOutput(p.Err)
	commander := subcommands.NewCommander(flags, "lacewingd")
	commander.Output = p.Out
	commander.Error = p.Err
	commander.Register(commander.HelpCommand(), "")
	for _, command := range p.commands() {
		commander.Register(command, "")
	}
	explain := commander.Explain
	commander.Explain = func(out io.Writer) {
		explain(out)
		printText(out, exitCodes)
	}
	if err := flags.Parse(arguments); err != nil {
		return int(exitUsage)
	}
	return int(commander.Execute(ctx))
}

// fail prints why a command failed and returns the status.
func (p *Program) fail(status subcommands.ExitStatus, err error) subcommands.ExitStatus {
	printText(p.Err, "lacewingd: "+err.Error()+"\n")
	return status
}

// printText writes text for the operator. A failed write is ignored, since there is no other output to report it on.
func printText(out io.Writer, text string) {
	_, _ = io.WriteString(out, text)
}
