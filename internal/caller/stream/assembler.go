package stream

// Merging the events of a stream into one answer, for callers that did not request a stream. The engine is always asked
// for a stream, so that its progress can be monitored.

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Errors of an Assembler.
var (
	// ErrIncomplete means that there was no choice, or a choice without a finish reason: the answer is incomplete.
	ErrIncomplete = errors.New("stream: answer incomplete: no choice or no finish reason")
	// ErrTooLarge means that the events together exceed the assembler's limit.
	ErrTooLarge = errors.New("stream: answer exceeds the size limit")
)

// object is a JSON object of unknown structure: the engine's choices may have fields that this package does not know,
// which must be preserved.
type object = map[string]any

// Assembler merges the events of a stream.
type Assembler struct {
	limit   int
	size    int
	fields  object
	choices []any
}

// NewAssembler returns an assembler for events of at most limit bytes in total.
func NewAssembler(limit int) *Assembler {
	return &Assembler{limit: limit, fields: object{}}
}

// Add merges the next event.
func (a *Assembler) Add(event Event) error {
	a.size += len(event.Data)
	if a.size > a.limit {
		return ErrTooLarge
	}
	decoder := json.NewDecoder(bytes.NewReader(event.Data))
	decoder.UseNumber() // numbers are copied unchanged
	var chunk object
	if err := decoder.Decode(&chunk); err != nil || chunk == nil {
		return ErrMalformed
	}
	choices, _ := chunk["choices"].([]any)
	delete(chunk, "choices")
	for name, value := range chunk {
		if value != nil {
			a.fields[name] = value
		}
	}
	a.choices = mergeLists(a.choices, choices)
	return nil
}

// Answer encodes the complete answer with the id of the caller's request, or fails if the answer is incomplete.
func (a *Assembler) Answer(id string) (answer []byte, err error) {
	defer func() { err = errors.WithMessage(err, "assemble answer") }()
	if len(a.choices) == 0 {
		return nil, ErrIncomplete
	}
	a.fields["object"] = "text_completion"
	for _, item := range a.choices {
		choice, ok := item.(object)
		if !ok || choice["finish_reason"] == nil {
			return nil, ErrIncomplete
		}
		if delta, chat := choice["delta"].(object); chat {
			a.fields["object"] = "chat.completion"
			delete(choice, "delta")
			choice["message"] = message(delta)
		}
	}
	a.fields["id"] = id
	a.fields["choices"] = a.choices
	return json.Marshal(a.fields)
}

// message converts merged deltas to a message.
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

// unsplitFields are never split over several events. All other strings are.
var unsplitFields = map[string]bool{
	"role": true, "id": true, "type": true, "name": true, "finish_reason": true, "stop_reason": true,
}

// merge adds a fragment to the earlier value: strings are concatenated, objects merged by field, and lists merged by
// the index field of their members. Any other value is replaced, and null is ignored.
func merge(name string, earlier, fragment any) any {
	if fragment == nil {
		return earlier
	}
	switch fragment := fragment.(type) {
	case string:
		if earlier, ok := earlier.(string); ok && !unsplitFields[name] {
			return earlier + fragment
		}
	case object:
		if earlier, ok := earlier.(object); ok {
			return mergeObjects(earlier, fragment)
		}
	case []any:
		if earlier, ok := earlier.([]any); ok {
			return mergeLists(earlier, fragment)
		}
	}
	return fragment
}

func mergeObjects(earlier, fragment object) object {
	for name, value := range fragment {
		earlier[name] = merge(name, earlier[name], value)
	}
	return earlier
}

// mergeLists matches members by their "index" field. Members without one are appended.
func mergeLists(earlier, fragments []any) []any {
	for _, fragment := range fragments {
		at := position(earlier, fragment)
		if at < 0 {
			earlier = append(earlier, fragment)
			continue
		}
		earlier[at] = merge("", earlier[at], fragment)
	}
	return earlier
}

func position(list []any, member any) int {
	index, ok := indexOf(member)
	if !ok {
		return -1
	}
	for at, item := range list {
		if other, ok := indexOf(item); ok && other == index {
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
