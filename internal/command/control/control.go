// Package control holds the verbs of lacewingctl, the operators' client. Each verb is a file of its
// own, and all of them stand in the look-up table of this one. A verb calls one instance through the
// operators' client and prints a table, or JSON with -o json.
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
  5  unavailable, or the answer was lost; the message says whether anything can have changed
`

// Names of the settings in the environment.
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

// verbs is the look-up table: the verbs by the word that stands before them.
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

// Run carries out the verb that the arguments name, and gives the exit code.
func (p *Program) Run(ctx context.Context, arguments []string) int {
	flags := flag.NewFlagSet("lacewingctl", flag.ContinueOnError)
	flags.SetOutput(p.Err)
	// The token's default is not given to the flag: it would stand in the help text.
	flags.StringVar(&p.server, "server", "", "URL of an instance for operators (default $"+serverVariable+")")
	flags.StringVar(&p.token, "token", "", "operator's token (default $"+tokenVariable+")")
	commander := p.commander(flags, "lacewingctl")
	commander.ImportantFlag("server")
	commander.ImportantFlag("token")
	verbs := p.verbs()
	for _, verb := range verbs[""] {
		commander.Register(verb, "")
	}
	commander.Register(&group{program: p, word: "key", synopsis: "grant and withdraw callers' keys", verbs: verbs["key"]}, "")
	commander.Register(&group{program: p, word: "report", synopsis: "reports over all instances", verbs: verbs["report"]}, "")
	if err := flags.Parse(arguments); err != nil {
		return int(exitUsage)
	}
	return int(commander.Execute(ctx))
}

// commander makes one level of the command line, with help.
func (p *Program) commander(flags *flag.FlagSet, name string) *subcommands.Commander {
	commander := subcommands.NewCommander(flags, name)
	commander.Output, commander.Error = p.Out, p.Err
	explain := commander.Explain
	commander.Explain = func(w io.Writer) {
		explain(w)
		_, _ = io.WriteString(w, exitCodes) // help is for a terminal
	}
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	return commander
}

// client gives the client of the instance that flags or environment name.
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

// group is the word before several verbs, such as key before grant and withdraw.
type group struct {
	program  *Program
	word     string
	synopsis string
	verbs    []subcommands.Command
}

// Name is the word.
func (g *group) Name() string { return g.word }

// Synopsis is one line for the list of verbs.
func (g *group) Synopsis() string { return g.synopsis }

// Usage says which verbs follow the word.
func (g *group) Usage() string {
	usage := ""
	for _, verb := range g.verbs {
		usage += verb.Usage()
	}
	return usage
}

// SetFlags sets none: the verbs have their own.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute carries out the verb after the word.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	commander := g.program.commander(f, "lacewingctl "+g.word)
	for _, verb := range g.verbs {
		commander.Register(verb, "")
	}
	return commander.Execute(ctx)
}
