package stream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Errors of a Reader. A stream that ends inside an event gives io.ErrUnexpectedEOF, one that ends
// between two events io.EOF.
var (
	// ErrTooLong means that a line or an event is longer than the reader's bound. Without a bound an
	// engine that never ends its line would fill this process's memory.
	ErrTooLong = errors.New("stream: line or event too long")
	// ErrMalformed means that the bytes are no event stream.
	ErrMalformed = errors.New("stream: malformed event")
)

// byteOrderMark may open a stream and means nothing.
const byteOrderMark = "\ufeff"

// Reader reads events from a stream. Lines end in LF or CR LF; a lone CR, which the format also allows
// but no engine sends, is malformed, because waiting for the byte after it would delay an event.
type Reader struct {
	source *bufio.Reader
	limit  int
	begun  bool
}

// NewReader reads events whose lines, and whose data together, are at most limit bytes long.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReader(source), limit: limit}
}

// Next reads the next event that has data. An event whose closing blank line did not come is never
// returned: its data may be cut anywhere.
func (r *Reader) Next() (Event, error) {
	var pending pendingEvent
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, endOf(err, pending.begun)
		}
		if len(line) == 0 {
			if pending.hasData {
				return pending.event(), nil
			}
			pending = pendingEvent{}
			continue
		}
		pending.add(line)
		if len(pending.data) > r.limit {
			return Event{}, ErrTooLong
		}
	}
}

// endOf makes a plain end inside an event an unexpected one.
func endOf(err error, begun bool) error {
	if errors.Is(err, io.EOF) && begun {
		return io.ErrUnexpectedEOF
	}
	return err
}

// line reads one line without its end. A last line without an end is a cut one. The line is the
// reader's own memory until the next call: a copy of each would be a good part of an event's cost.
func (r *Reader) line() (line []byte, err error) {
	line, err = r.lineWithEnd()
	if err != nil {
		return nil, endOf(err, len(line) > 0)
	}
	line = bytes.TrimSuffix(line, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !r.begun {
		line = bytes.TrimPrefix(line, []byte(byteOrderMark))
		r.begun = true
	}
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, ErrMalformed
	}
	return line, nil
}

// lineWithEnd reads up to the end of a line, and copies only what is longer than the source's buffer.
// With an error it returns what came before it.
func (r *Reader) lineWithEnd() (line []byte, err error) {
	for {
		part, err := r.source.ReadSlice('\n')
		if len(line)+len(part) > r.limit+len("\r\n") {
			return nil, ErrTooLong
		}
		if line == nil && err == nil {
			return part, nil
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// pendingEvent gathers the lines of one event.
type pendingEvent struct {
	begun   bool
	hasData bool
	name    string
	id      string
	data    []byte
}

// add takes one line. Unknown fields and comments are skipped, as the format asks.
func (p *pendingEvent) add(line []byte) {
	p.begun = true
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "data":
		if p.hasData {
			p.data = append(p.data, '\n')
		}
		p.hasData = true
		p.data = append(p.data, value...)
	case "event":
		p.name = string(value)
	case "id":
		p.id = string(value)
	}
}

func (p *pendingEvent) event() Event {
	return Event{Name: p.name, ID: p.id, Data: p.data}
}
