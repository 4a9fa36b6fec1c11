// Package stream implements the server-sent events format in which engines send their answers and callers receive
// them: a reader and a writer of events with bounded sizes, and an assembler that merges the events of a stream into
// one answer.
package stream

import (
	"strconv"

	"github.com/pkg/errors"
)

// doneData is the data of the event that ends a completion stream.
const doneData = "[DONE]"

// Event is a server-sent event. ID is the value of its "id:" line, in which engines send the number of tokens so far.
// Name is the value of its "event:" line. Both may be empty. Data is never modified in place.
type Event struct {
	Name string
	ID   string
	Data []byte
}

// ErrNoTokenCount means that the event's id line is missing or is not a token count.
var ErrNoTokenCount = errors.New("stream: event id is not a token count")

// Done returns the event that ends a stream.
func Done() Event { return Event{Data: []byte(doneData)} }

// IsDone reports whether the event ends a stream.
func (e Event) IsDone() bool { return string(e.Data) == doneData }

// WithData returns the event with other data.
func (e Event) WithData(data []byte) Event {
	e.Data = data
	return e
}

// WithID returns the event with another id line.
func (e Event) WithID(id string) Event {
	e.ID = id
	return e
}

// Tokens returns the number of tokens so far from the id line, or an error without a valid count.
func (e Event) Tokens() (int, error) {
	count, err := strconv.Atoi(e.ID)
	if err != nil || count < 0 {
		return 0, ErrNoTokenCount
	}
	return count, nil
}
