// Package control implements the commands of lacewingctl, the operators' command-line client. Each
// command has a file of its own and is listed in the look-up table in this file. A command calls
// one instance through the operators' client package and prints a table, or JSON with -o json.
package control

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"

	"lacewingrock.example/lacewingrock/internal/operator/client"
)

// Exit codes, documented in the help text.
const (
	exitFailed      subcommands.ExitStatus = 1
	exitUsage       subcommands.ExitStatus = 2
	exitConflict    subcommands.ExitStatus = 3
	exitInvalid     subcommands.ExitStatus = 4
	exitUnavailable subcommands.ExitStatus = 5
)

const exitCodes = `
Exit codes:
  0  done
  1  failed (also: accepted, but not in force everywhere within -wait)
  2  wrong usage
  3  conflict: made on an old resource version; nothing was changed
  4  refused as invalid; nothing was changed
  5  unavailable, or the response was lost; the message says whether anything can have changed
`

// Environment variables.
const (
	serverVariable = "LACEWING_SERVER"
	tokenVariable  = "LACEWING_TOKEN"
)

// Program is one run of lacewingctl. Set the exported fields before Run.
type Program struct {
	// Environment looks a variable up, as os.Getenv does.
	Environment func(name string) string
	In          io.Reader
	Out         io.Writer
	Err         io.Writer

	server string
	token  string
}

// verbs returns the look-up table of the commands by their group; the group "" holds those without
// one.
func (p *Program) verbs() map[string][]subcommands.Command {
	return map[string][]subcommands.Command{
		"": {
			&applyVerb{program: p},
			&getVerb{program: p},
			&listVerb{program: p},
			&deleteVerb{program: p},
			&watchVerb{program: p},
			&statusVerb{program: p},
			&versionVerb{program: p},
		},
		"key": {
			&keyGrantVerb{program: p},
			&keyWithdrawVerb{program: p},
		},
		"report": {
			&reportBurnVerb{program: p},
		},
	}
}

// Run executes the command that the arguments name, and returns the exit code.
func (p *Program) Run(ctx context.Context, arguments []string) int {
	flags := flag.NewFlagSet("lacewingctl", flag.ContinueOnError)
	flags.SetOutput(p.Err)
	// The token from the environment is not set as the flag's default, because the help text would show it.
	flags.StringVar(&p.server, "server", "", "URL of an instance for operators (default $"+serverVariable+")")
	flags.StringVar(&p.token, "token", "", "operator's token (default $"+tokenVariable+")")
	commander := p.newCommander(flags, "lacewingctl")
	commander.ImportantFlag("server")
	commander.ImportantFlag("token")
	verbs := p.verbs()
	for _, verb := range verbs[""] {
		commander.Register(verb, "")
	}
	commander.Register(&group{program: p, prefix: "key", synopsis: "grant and withdraw callers' keys", verbs: verbs["key"]}, "")
	commander.Register(&group{program: p, prefix: "report", synopsis: "reports over all instances", verbs: verbs["report"]}, "")
	if err := flags.Parse(arguments); err != nil {
		return int(exitUsage)
	}
	return int(commander.Execute(ctx))
}

// newCommander creates the parser of one level of the command line, with its help.
func (p *Program) newCommander(flags *flag.FlagSet, name string) *subcommands.Commander {
	commander := subcommands.NewCommander(flags, name)
	commander.Output, commander.Error = p.Out, p.Err
	explain := commander.Explain
	commander.Explain = func(w io.Writer) {
		explain(w)
		_, _ = io.WriteString(w, exitCodes) // help goes to a terminal, so a write error is ignored
	}
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	return commander
}

// client returns a client of the instance that the flags or the environment name.
func (p *Program) client() (*client.Client, error) {
	c := &client.Client{Server: p.server, Token: p.token}
	if c.Server == "" {
		c.Server = p.Environment(serverVariable)
	}
	if c.Token == "" {
		c.Token = p.Environment(tokenVariable)
	}
	if c.Server == "" {
		return nil, usageError("name an instance with -server or " + serverVariable)
	}
	if c.Token == "" {
		return nil, usageError("give an operator's token with -token or " + tokenVariable)
	}
	return c, nil
}

// ---------------------------------------------------------------------------------------------

// group is a prefix of several commands, such as key before grant and withdraw.
type group struct {
	program  *Program
	prefix   string
	synopsis string
	verbs    []subcommands.Command
}

// Name returns the prefix.
func (g *group) Name() string { return g.prefix }

// Synopsis returns the line for the list of commands.
func (g *group) Synopsis() string { return g.synopsis }

// Usage returns the help texts of the group's commands.
func (g *group) Usage() string {
	usage := ""
	for _, verb := range g.verbs {
		usage += verb.Usage()
	}
	return usage
}

// SetFlags registers no flags; the commands have their own.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute runs the command after the prefix.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	commander := g.program.newCommander(f, "lacewingctl "+g.prefix)
	for _, verb := range g.verbs {
		commander.Register(verb, "")
	}
	return commander.Execute(ctx)
}
