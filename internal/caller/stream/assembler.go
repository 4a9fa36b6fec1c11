package stream

// Making one whole answer out of a stream's events, for callers that did not ask for a stream. The
// engine is always asked for one, so that its progress can be watched.

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Errors of an Assembler.
var (
	// ErrIncomplete means that no choice came, or one without a finish reason: the answer is a part.
	ErrIncomplete = errors.New("stream: the answer is not whole")
	// ErrTooLarge means that the events together are larger than the assembler's bound.
	ErrTooLarge = errors.New("stream: the answer is too large")
)

// object is a JSON object of unknown shape: the engine's choices may hold fields that this project
// does not know, and they are to arrive as well.
type object = map[string]any

// Assembler adds up a stream's events.
type Assembler struct {
	limit   int
	size    int
	outer   object
	choices []any
}

// NewAssembler assembles answers whose events are at most limit bytes together.
func NewAssembler(limit int) *Assembler {
	return &Assembler{limit: limit, outer: object{}}
}

// Add takes the next event.
func (a *Assembler) Add(event Event) error {
	a.size += len(event.Data)
	if a.size > a.limit {
		return ErrTooLarge
	}
	decoder := json.NewDecoder(bytes.NewReader(event.Data))
	decoder.UseNumber() // numbers go through as they came
	var chunk object
	if err := decoder.Decode(&chunk); err != nil || chunk == nil {
		return ErrMalformed
	}
	choices, _ := chunk["choices"].([]any)
	delete(chunk, "choices")
	for name, value := range chunk {
		if value != nil {
			a.outer[name] = value
		}
	}
	a.choices = mergeLists(a.choices, choices)
	return nil
}

// Answer writes the whole answer under the caller's request id, or fails with ErrNotWhole.
func (a *Assembler) Answer(id string) (answer []byte, err error) {
	defer func() { err = errors.WithMessage(err, "assemble answer") }()
	if len(a.choices) == 0 {
		return nil, ErrIncomplete
	}
	a.outer["object"] = "text_completion"
	for _, each := range a.choices {
		choice, ok := each.(object)
		if !ok || choice["finish_reason"] == nil {
			return nil, ErrIncomplete
		}
		if delta, chat := choice["delta"].(object); chat {
			a.outer["object"] = "chat.completion"
			delete(choice, "delta")
			choice["message"] = message(delta)
		}
	}
	a.outer["id"] = id
	a.outer["choices"] = a.choices
	return json.Marshal(a.outer)
}

// message completes merged deltas to a message.
func message(delta object) object {
	if delta["role"] == nil {
		delta["role"] = "assistant"
	}
	if _, ok := delta["content"]; !ok {
		delta["content"] = nil
	}
	return delta
}

// ---------------------------------------------------------------------------------------------

// wholeFields come whole in one event; all other strings come in pieces.
var wholeFields = map[string]bool{
	"role": true, "id": true, "type": true, "name": true, "finish_reason": true, "stop_reason": true,
}

// merge adds a piece to what came before: strings are joined, objects merged by field, lists by the
// index their members name. Anything else is replaced, and null adds nothing.
func merge(name string, before, piece any) any {
	if piece == nil {
		return before
	}
	switch piece := piece.(type) {
	case string:
		if earlier, ok := before.(string); ok && !wholeFields[name] {
			return earlier + piece
		}
	case object:
		if earlier, ok := before.(object); ok {
			return mergeObjects(earlier, piece)
		}
	case []any:
		if earlier, ok := before.([]any); ok {
			return mergeLists(earlier, piece)
		}
	}
	return piece
}

func mergeObjects(before, piece object) object {
	for name, value := range piece {
		before[name] = merge(name, before[name], value)
	}
	return before
}

// mergeLists matches members by their "index" field; members without one are appended.
func mergeLists(before, pieces []any) []any {
	for _, piece := range pieces {
		at := position(before, piece)
		if at < 0 {
			before = append(before, piece)
			continue
		}
		before[at] = merge("", before[at], piece)
	}
	return before
}

func position(list []any, member any) int {
	index, ok := indexOf(member)
	if !ok {
		return -1
	}
	for at, each := range list {
		if other, ok := indexOf(each); ok && other == index {
			return at
		}
	}
	return -1
}

func indexOf(member any) (json.Number, bool) {
	fields, ok := member.(object)
	if !ok {
		return "", false
	}
	index, ok := fields["index"].(json.Number)
	return index, ok
}
