package logline

import (
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"
)

// format.go formats zerolog's events as lines of key=value pairs.

// formatter writes each event as one line: its name, time and level, then the error, then the other fields sorted by name.
// zerolog.ConsoleWriter produces the same lines, but accounts for a tenth of an instance's allocations.
type formatter struct {
	out io.Writer

	mutex  sync.Mutex
	fields []field
	line   []byte
}

type field struct {
	name  string
	value gjson.Result
}

// NewFormatter returns a writer that formats zerolog's events as lines. Each call of Write must pass exactly one event.
func NewFormatter(out io.Writer) io.Writer { return &formatter{out: out} }

// Write implements io.Writer.
func (f *formatter) Write(event []byte) (int, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var name, at, level gjson.Result
	f.fields = f.fields[:0]
	gjson.ParseBytes(event).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case zerolog.MessageFieldName:
			name = value
		case zerolog.TimestampFieldName:
			at = value
		case zerolog.LevelFieldName:
			level = value
		default:
			f.fields = append(f.fields, field{name: key.Str, value: value})
		}
		return true
	})
	slices.SortStableFunc(f.fields, compareFields)
	f.line = append(append(f.line[:0], "event="...), name.String()...)
	f.line = append(append(f.line, " time="...), at.String()...)
	f.line = append(append(f.line, " level="...), level.String()...)
	for _, one := range f.fields {
		f.line = append(append(append(f.line, ' '), one.name...), '=')
		f.line = appendValue(f.line, one.value)
	}
	f.line = append(f.line, '\n')
	if _, err := f.out.Write(f.line); err != nil {
		return 0, err
	}
	return len(event), nil
}

func compareFields(a, b field) int {
	if isError := a.name == FieldError; isError != (b.name == FieldError) {
		if isError {
			return -1
		}
		return 1
	}
	return strings.Compare(a.name, b.name)
}

func appendValue(line []byte, value gjson.Result) []byte {
	if value.Type != gjson.String {
		return append(line, value.Raw...)
	}
	if needsQuotes(value.Str) {
		return strconv.AppendQuote(line, value.Str)
	}
	return append(line, value.Str...)
}

// needsQuotes reports whether a value must be quoted to be read back as one field of the line.
func needsQuotes(text string) bool {
	return strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' || r == '"' || r == '\\' })
}
