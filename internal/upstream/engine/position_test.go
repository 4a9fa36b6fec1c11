package engine

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

// sent is one event of a model stream.
type sent struct {
	tokens int
	chunk  stream.Chunk
}

// drawStream draws a whole stream: perhaps an opening event, events of one or several tokens, the finish
// reason on the last of them or by itself, and perhaps a usage.
func drawStream(t *rapid.T) (events []sent) {
	if rapid.Bool().Draw(t, "opening") {
		events = append(events, sent{})
	}
	tokens := 0
	for range rapid.IntRange(0, 8).Draw(t, "events") {
		tokens += rapid.IntRange(1, 3).Draw(t, "width")
		events = append(events, sent{tokens: tokens})
	}
	if tokens > 0 && rapid.Bool().Draw(t, "finish on a token") {
		events[len(events)-1].chunk.Finished = true
	} else {
		events = append(events, sent{tokens: tokens, chunk: stream.Chunk{Finished: true}})
	}
	if rapid.Bool().Draw(t, "usage") {
		usage := stream.Usage{CompletionTokens: tokens}
		events = append(events, sent{tokens: tokens, chunk: stream.Chunk{Counted: true, Usage: usage}})
	}
	return events
}

// resumed is what an engine sends again from a count on: the events after it, those without tokens of
// their own included, and perhaps some before it, as from an engine that rounds down.
func resumed(events []sent, from int) (again []sent) {
	last := 0
	for _, event := range events {
		tokenless := event.tokens == last
		last = event.tokens
		if event.tokens > from || (event.tokens == from && tokenless) {
			again = append(again, event)
		}
	}
	return again
}

// Connections are cut anywhere, any number of times, and the stream is resumed each time. The caller
// must get each event of the uncut stream once and in order, and the stream must count as whole only
// at its end.
func TestEachEventOnceOverAnyCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := drawStream(t)
		var at position
		var got []sent
		for at.whole() != nil {
			from := max(0, at.tokens-rapid.IntRange(0, 2).Draw(t, "rounded down"))
			connection := resumed(events, from)
			cut := rapid.IntRange(0, len(connection)).Draw(t, "cut")
			for _, event := range connection[:cut] {
				after, isNew := at.accept(event.chunk, event.tokens)
				if isNew {
					got = append(got, event)
				}
				at = after
			}
		}
		// The usage may follow the finish reason; the end mark comes after both.
		for _, event := range resumed(events, at.tokens) {
			if _, isNew := at.accept(event.chunk, event.tokens); isNew {
				got = append(got, event)
				at, _ = at.accept(event.chunk, event.tokens)
			}
		}
		if !slices.Equal(got, events) {
			t.Fatalf("sent %v, passed on %v", events, got)
		}
	})
}
