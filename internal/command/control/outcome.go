// How a verb ends: the arguments it takes, the exit code of an error, and the message.

package control

import (
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/operator/client"
	"lacewingrock.example/lacewingrock/internal/operator/message"
)

// usageError is an error of the command line.
type usageError string

// Error gives the message.
func (u usageError) Error() string { return string(u) }

// notInForceError: the change is accepted, but it was not in force everywhere in the time asked for.
type notInForceError struct{ revision int64 }

// Error gives the message.
func (n notInForceError) Error() string {
	return fmt.Sprintf("accepted as revision %d, but not yet in force on every instance; see lacewingctl status", n.revision)
}

// finish prints an error and gives the exit code.
func (p *Program) finish(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	p.complain(err.Error())
	return exitCodeOf(err)
}

// complain writes a line to the error output; where that is closed, the exit code is all there is.
func (p *Program) complain(text string) {
	_, _ = fmt.Fprintln(p.Err, "lacewingctl: "+text)
}

func exitCodeOf(err error) subcommands.ExitStatus {
	var usage usageError
	var refused *client.RefusedError
	var unreachable *client.NoResponseError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &unreachable):
		return exitUnavailable
	case errors.As(err, &refused):
		return exitCodeOfRefusal(refused.Detail.Code)
	}
	return exitFailed
}

func exitCodeOfRefusal(code message.Code) subcommands.ExitStatus {
	switch code {
	case message.CodeConflict:
		return exitConflict
	case message.CodeInvalid, message.CodeTooLarge:
		return exitInvalid
	case message.CodeUnavailable, message.CodeUnknown:
		return exitUnavailable
	case message.CodeUnauthenticated, message.CodeNotFound, message.CodeInternal:
	}
	return exitFailed
}

// begin reads a verb's arguments, looks at its format, and gives the client to call.
func (p *Program) begin(
	f *flag.FlagSet, o output, names ...string,
) (c *client.Client, values []string, err error) {
	values, err = arguments(f, names...)
	if err != nil {
		return nil, nil, err
	}
	if err := o.check(); err != nil {
		return nil, nil, err
	}
	c, err = p.client()
	return c, values, err
}

// arguments gives the arguments that are no flags, as many as there are names for. Flags may stand
// between and after them, which the flag package alone does not take.
func arguments(f *flag.FlagSet, names ...string) (values []string, err error) {
	rest := f.Args()
	for len(rest) > 0 {
		if !strings.HasPrefix(rest[0], "-") {
			values = append(values, rest[0])
			rest = rest[1:]
			continue
		}
		if err := f.Parse(rest); err != nil {
			return nil, usageError(err.Error())
		}
		rest = f.Args()
	}
	if len(values) != len(names) {
		wanted := strings.Join(names, " ")
		if wanted == "" {
			wanted = "none"
		}
		return nil, usageError("wrong number of arguments, expected: " + wanted)
	}
	return values, nil
}

// inForce fails if the operator asked to wait and the change is not in force everywhere.
func inForce(accepted message.Accepted, waited bool) error {
	if waited && !accepted.InForce {
		return notInForceError{revision: accepted.Revision}
	}
	return nil
}
