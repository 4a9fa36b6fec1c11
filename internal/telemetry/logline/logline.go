// Package logline makes the logger of a program: zerolog, writing one line of key=value pairs for
// each event, so that an operator can read it as it is and cut it up with ordinary tools. Whoever
// logs names each field; nothing here or elsewhere logs whole requests, keys or tokens.
package logline

import (
	"io"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Field names that mean the same in every event.
const (
	FieldError     = "Error"
	FieldInstance  = "Instance"
	FieldRequest   = "RequestId"
	FieldUpstream  = "Upstream"
	FieldWorkspace = "Workspace"
)

func init() {
	zerolog.ErrorFieldName = FieldError // the library keeps this name for the whole program
}

// New gives a logger for a program that writes events of at least the given level ("debug", "info",
// "warn" or "error") to out. The event's name comes first on each line.
func New(out io.Writer, program, level string) (zerolog.Logger, error) {
	return NewWithWriter(zerolog.SyncWriter(NewFormatter(out)), program, level)
}

// NewWithWriter gives a logger whose events go to a writer that formats them itself.
func NewWithWriter(writer io.Writer, program, level string) (_ zerolog.Logger, err error) {
	defer func() { err = errors.WithMessage(err, "logline: make a logger") }()

	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	return zerolog.New(writer).Level(parsed).With().Timestamp().Str("program", program).Logger(), nil
}
