// Package logline creates the logger of a program. It uses zerolog and writes one line of key=value pairs
// for each event, so that an operator can read it directly and process it with ordinary text tools.
// Callers name each field. Neither this package nor its callers log whole requests, keys or tokens.
package logline

import (
	"io"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Field names that have the same meaning in every event.
const (
	FieldError     = "Error"
	FieldInstance  = "Instance"
	FieldRequest   = "RequestId"
	FieldUpstream  = "Upstream"
	FieldWorkspace = "Workspace"
)

func init() {
	zerolog.ErrorFieldName = FieldError // zerolog applies this name to the whole program
}

// New returns a logger for a program that writes events of at least the given level ("debug", "info",
// "warn" or "error") to out. Each line starts with the event's name.
func New(out io.Writer, program, level string) (zerolog.Logger, error) {
	return NewWithWriter(zerolog.SyncWriter(NewFormatter(out)), program, level)
}

// NewWithWriter returns a logger that passes its events, unformatted, to a writer that formats them itself.
func NewWithWriter(writer io.Writer, program, level string) (_ zerolog.Logger, err error) {
	defer func() { err = errors.WithMessage(err, "logline: make a logger") }()

	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	return zerolog.New(writer).Level(parsed).With().Timestamp().Str("program", program).Logger(), nil
}
