package stream_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

// splitText adds a text in pieces of a size and returns the complete events and the size of the incomplete one.
func splitText(text string, size int) (complete string, incomplete int, err error) {
	splitter := stream.Splitter{Limit: limit}
	for len(text) > 0 {
		piece := text[:min(size, len(text))]
		text = text[len(piece):]
		events, err := splitter.Add([]byte(piece))
		if err != nil {
			return complete, 0, err
		}
		complete += string(events)
	}
	return complete, splitter.Incomplete(), nil
}

// Guards against an event that is broken off and counts as complete, and against a complete one that does not, however
// the bytes arrive.
func TestSplitterFindsTheEndOfEvents(t *testing.T) {
	cases := []struct {
		name       string
		text       string
		complete   string
		incomplete int
		err        error
	}{
		{name: "nothing"},
		{name: "an event", text: "data: a\n\n", complete: "data: a\n\n"},
		{name: "two events", text: "data: a\n\ndata: b\n\n", complete: "data: a\n\ndata: b\n\n"},
		{name: "CR LF", text: "data: a\r\n\r\n", complete: "data: a\r\n\r\n"},
		{name: "a blank line more", text: "data: a\n\n\n", complete: "data: a\n\n\n"},
		{name: "a blank line first", text: "\ndata: a\n\n", complete: "\ndata: a\n\n"},
		{name: "ends in an id", text: "data: a\n\nid: 2", complete: "data: a\n\n", incomplete: 5},
		{name: "ends in data", text: "data: a\n\ndata", complete: "data: a\n\n", incomplete: 4},
		{name: "ends before the blank line", text: "data: a\n\ndata: b\n", complete: "data: a\n\n", incomplete: 8},
		{name: "ends inside a CR LF", text: "data: a\r\n\r", incomplete: 10},
		{name: "ends in the first event", text: "dat", incomplete: 3},
		{name: "blank in data", text: "data: a\n \n", incomplete: 10},
		{name: "endless event", text: strings.Repeat("data: a\n", limit), err: stream.ErrTooLong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for size := 1; size <= len(c.text)+1; size++ {
				complete, incomplete, err := splitText(c.text, size)
				is.True(errors.Is(err, c.err))
				is.Equal(complete, c.complete)
				is.Equal(incomplete, c.incomplete)
			}
		})
	}
}
