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
	// ErrTooLong means that a line or an event exceeds the reader's limit. Without a limit, an engine that never ends
	// its line would fill the memory of this process.
	ErrTooLong = errors.New("stream: line or event exceeds the size limit")
	// ErrMalformed means that the bytes are not an event stream.
	ErrMalformed = errors.New("stream: malformed event")
)

// byteOrderMark may start a stream and is ignored.
const byteOrderMark = "\ufeff"

// Reader reads events from a stream. Lines end in LF or CR LF. A lone CR, which the format also allows but no engine
// sends, is malformed, because waiting for the byte after it would delay an event.
type Reader struct {
	source  *bufio.Reader
	limit   int
	started bool
}

// NewReader returns a reader of events whose lines, and whose data in total, are at most limit bytes long.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReader(source), limit: limit}
}

// Next returns the next event that has data. An event without its closing blank line is never returned, because its
// data may be truncated.
func (r *Reader) Next() (Event, error) {
	var pending pendingEvent
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, unexpectedEOF(err, pending.started)
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

// unexpectedEOF converts io.EOF inside an event to io.ErrUnexpectedEOF.
func unexpectedEOF(err error, started bool) error {
	if errors.Is(err, io.EOF) && started {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLine returns one line without its line ending. A last line without a line ending is truncated. The line is
// valid until the next call: copying each line would be a large part of the cost of an event.
func (r *Reader) readLine() (line []byte, err error) {
	line, err = r.readRawLine()
	if err != nil {
		return nil, unexpectedEOF(err, len(line) > 0)
	}
	line = bytes.TrimSuffix(line, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !r.started {
		line = bytes.TrimPrefix(line, []byte(byteOrderMark))
		r.started = true
	}
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, ErrMalformed
	}
	return line, nil
}

// readRawLine returns a line with its line ending, and copies it only if it is longer than the source's buffer. With
// an error it returns the bytes read before it.
func (r *Reader) readRawLine() (line []byte, err error) {
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

// pendingEvent collects the lines of one event.
type pendingEvent struct {
	started bool
	hasData bool
	name    string
	id      string
	data    []byte
}

// add adds one line. Unknown fields and comments are skipped, as the format requires.
func (p *pendingEvent) add(line []byte) {
	p.started = true
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
