package stream

import (
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

const (
	// byteOrderMark may start a stream and is ignored.
	byteOrderMark = "\ufeff"
	// readBytes is the size of one read.
	readBytes = 4 << 10
	// maxOverhead is the maximum size of an incomplete event, as a multiple of the limit for its data: it also has field
	// names and comments.
	maxOverhead = 4
)

// Reader reads events from a stream. Lines end in LF or CR LF. A lone CR, which the format also allows but no engine
// sends, is malformed, because waiting for the byte after it would delay an event.
type Reader struct {
	source   io.Reader
	limit    int
	splitter Splitter
	buffer   []byte
	// ready are complete events that were not returned yet, ended the error of the source after them.
	ready   []byte
	ended   error
	started bool
}

// NewReader returns a reader of events whose lines, and whose data in total, are at most limit bytes long.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: source, limit: limit, splitter: Splitter{Limit: maxOverhead * limit}, buffer: make([]byte, readBytes)}
}

// Next returns the next event that has data. An event without its closing blank line is never returned, because its
// data may be truncated.
func (r *Reader) Next() (Event, error) {
	for {
		event, found, err := r.nextReady()
		if found || err != nil {
			return event, err
		}
		if r.ended != nil {
			return Event{}, r.endError()
		}
		if err := r.read(); err != nil {
			return Event{}, err
		}
	}
}

// read reads once from the source.
func (r *Reader) read() (err error) {
	n, ended := r.source.Read(r.buffer)
	r.ended = ended
	r.ready, err = r.splitter.Add(r.buffer[:n])
	return err
}

// endError converts io.EOF inside an event to io.ErrUnexpectedEOF.
func (r *Reader) endError() error {
	if errors.Is(r.ended, io.EOF) && r.splitter.Incomplete() > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.ended
}

// nextReady returns the next event with data of those that are ready.
func (r *Reader) nextReady() (event Event, found bool, err error) {
	var pending pendingEvent
	for len(r.ready) > 0 {
		line, err := r.nextLine()
		if err != nil {
			return Event{}, false, err
		}
		if len(line) > 0 {
			pending.add(line)
			if len(pending.data) > r.limit {
				return Event{}, false, ErrTooLong
			}
			continue
		}
		if pending.hasData {
			return pending.event(), true, nil
		}
		pending = pendingEvent{}
	}
	return Event{}, false, nil
}

// nextLine returns the next line of the events that are ready, without its line ending.
func (r *Reader) nextLine() (line []byte, err error) {
	line, r.ready, _ = bytes.Cut(r.ready, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	if len(line) > r.limit {
		return nil, ErrTooLong
	}
	if !r.started {
		line = bytes.TrimPrefix(line, []byte(byteOrderMark))
		r.started = true
	}
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, ErrMalformed
	}
	return line, nil
}

// pendingEvent collects the lines of one event.
type pendingEvent struct {
	hasData bool
	name    string
	id      string
	data    []byte
}

// add adds one line. Unknown fields and comments are skipped, as the format requires.
func (p *pendingEvent) add(line []byte) {
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
