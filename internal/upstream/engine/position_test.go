package engine

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

// streamEvent is one event of a stream.
type streamEvent struct {
	tokens int
	chunk  stream.Chunk
}

// drawStream draws a complete stream: possibly an opening event, events of one or several tokens,
// the finish reason on the last of them or in its own event, and possibly a usage event.
func drawStream(t *rapid.T) (events []streamEvent) {
	if rapid.Bool().Draw(t, "opening") {
		events = append(events, streamEvent{})
	}
	tokens := 0
	for range rapid.IntRange(0, 8).Draw(t, "events") {
		tokens += rapid.IntRange(1, 3).Draw(t, "width")
		events = append(events, streamEvent{tokens: tokens})
	}
	if tokens > 0 && rapid.Bool().Draw(t, "finish on a token") {
		events[len(events)-1].chunk.Finished = true
	} else {
		events = append(events, streamEvent{tokens: tokens, chunk: stream.Chunk{Finished: true}})
	}
	if rapid.Bool().Draw(t, "usage") {
		usage := stream.Usage{CompletionTokens: tokens}
		events = append(events, streamEvent{tokens: tokens, chunk: stream.Chunk{Counted: true, Usage: usage}})
	}
	return events
}

// resumedEvents returns what an engine sends when a stream is resumed after a token count: the
// later events, including those without tokens of their own. A lower count gives extra events, as
// from an engine that rounds down.
func resumedEvents(events []streamEvent, from int) (resent []streamEvent) {
	last := 0
	for _, event := range events {
		tokenless := event.tokens == last
		last = event.tokens
		if event.tokens > from || (event.tokens == from && tokenless) {
			resent = append(resent, event)
		}
	}
	return resent
}

// The connection is cut at any points, any number of times, and the stream is resumed each time.
// The caller must receive each event of the uncut stream once and in order, and the stream must
// count as complete only at its end.
func TestEventsDeliveredOnceAcrossResumes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := drawStream(t)
		var at position
		var got []streamEvent
		for at.checkComplete() != nil {
			from := max(0, at.tokens-rapid.IntRange(0, 2).Draw(t, "rounded down"))
			connection := resumedEvents(events, from)
			cut := rapid.IntRange(0, len(connection)).Draw(t, "cut")
			for _, event := range connection[:cut] {
				after, isNew := at.accept(event.chunk, event.tokens)
				if isNew {
					got = append(got, event)
				}
				at = after
			}
		}
		// The usage may follow the finish reason; [DONE] comes after both.
		for _, event := range resumedEvents(events, at.tokens) {
			if _, isNew := at.accept(event.chunk, event.tokens); isNew {
				got = append(got, event)
				at, _ = at.accept(event.chunk, event.tokens)
			}
		}
		if !slices.Equal(got, events) {
			t.Fatalf("sent %v, delivered %v", events, got)
		}
	})
}
