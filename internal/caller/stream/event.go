// Package stream is the server-sent-events format, as engines send their answers and callers receive
// them: a reader and a writer of events, both with bounded sizes, and the assembling of one whole
// answer out of a stream's events.
package stream

import (
	"strconv"

	"github.com/pkg/errors"
)

// doneMark is the data of the event that ends a completion stream.
const doneMark = "[DONE]"

// Event is one server-sent event. ID is the text of its "id:" line (engines put the number of tokens
// so far there), Name that of its "event:" line; both may be empty. Data is never changed in place.
type Event struct {
	Name string
	ID   string
	Data []byte
}

// ErrNoTokenCount means that the event's id line is missing or is no count of tokens.
var ErrNoTokenCount = errors.New("stream: event without a count of tokens")

// Done makes the event that ends a stream.
func Done() Event { return Event{Data: []byte(doneMark)} }

// IsDone tells whether the event ends a stream.
func (e Event) IsDone() bool { return string(e.Data) == doneMark }

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

// Tokens reads the number of tokens so far from the id line, or fails with ErrNoCount.
func (e Event) Tokens() (int, error) {
	count, err := strconv.Atoi(e.ID)
	if err != nil || count < 0 {
		return 0, ErrNoTokenCount
	}
	return count, nil
}
