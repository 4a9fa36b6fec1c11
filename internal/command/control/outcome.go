// The arguments of a command, and the exit code and message of an error.

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

// Error returns the message.
func (u usageError) Error() string { return string(u) }

// notInForceError means that the change is accepted, but was not in force on every instance within -wait.
type notInForceError struct{ revision int64 }

// Error returns the message.
func (n notInForceError) Error() string {
	return fmt.Sprintf("accepted as revision %d, but not yet in force on every instance; see lacewingctl status", n.revision)
}

// finish prints an error and returns the exit code.
func (p *Program) finish(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	p.printError(err.Error())
	return exitCodeOf(err)
}

// printError writes a line to the error output. If that is closed, only the exit code reports the error.
func (p *Program) printError(text string) {
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

// begin parses a command's arguments, checks its output format, and returns them with the client to
// call.
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

// arguments returns the arguments that are not flags; their number must equal that of names. Flags may
// appear between and after them, which the flag package alone does not support.
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

// inForce returns an error if the operator used -wait and the change is not in force on every instance.
func inForce(accepted message.Accepted, waited bool) error {
	if waited && !accepted.InForce {
		return notInForceError{revision: accepted.Revision}
	}
	return nil
}
