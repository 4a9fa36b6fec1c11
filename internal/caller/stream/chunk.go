package stream

// What one event of a completion stream says. Chunk is the domain's view of it; the tagged types are
// the wire's and stay in this file.

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// Usage is the engine's count of a completion's tokens. Zero when the engine gave none.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

// Total is what the completion cost.
func (u Usage) Total() int { return u.PromptTokens + u.CompletionTokens }

// Chunk is what an event's data says, as far as the serving layer looks into it. Finished: it holds a
// finish reason. Counted: it holds a usage. Failure is the message of an error event.
type Chunk struct {
	ID       string
	Model    string
	Finished bool
	Counted  bool
	Usage    Usage
	Failure  string
}

type wireChunk struct {
	ID      string       `json:"id"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage"`
	Error   *wireError   `json:"error"`
}

type wireChoice struct {
	FinishReason *string `json:"finish_reason"`
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type wireError struct {
	Message string `json:"message"`
}

// ParseChunk reads an event's data.
func ParseChunk(event Event) (chunk Chunk, err error) {
	defer func() { err = errors.WithMessage(err, "completion event") }()
	var wire wireChunk
	if err := json.Unmarshal(event.Data, &wire); err != nil {
		return Chunk{}, errors.Wrap(ErrMalformed, err.Error())
	}
	chunk = Chunk{ID: wire.ID, Model: wire.Model}
	for _, choice := range wire.Choices {
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			chunk.Finished = true
		}
	}
	if wire.Usage != nil {
		chunk.Counted = true
		chunk.Usage = Usage{
			PromptTokens:     wire.Usage.PromptTokens,
			CompletionTokens: wire.Usage.CompletionTokens,
		}
	}
	if wire.Error != nil {
		chunk.Failure = "error event: " + wire.Error.Message
	}
	return chunk, nil
}

// ---------------------------------------------------------------------------------------------

// ForCaller rewrites an engine's event for the caller: the id is that of the caller's request, since
// a retried request has another one at the engine, and usage appears only if the caller asked for it.
// It reports false when nothing is left to send. The count in the id line is the engine's and goes.
func ForCaller(event Event, id string, includeUsage bool) (rewritten Event, send bool, err error) {
	if data, ok := withFirstID(event.Data, id); ok {
		return Event{Data: data}, true, nil
	}
	return reencoded(event, id, includeUsage)
}

// openingID opens the events of the engines in use: the id is the document's first field.
var openingID = []byte(`{"id":"`)

// withFirstID exchanges the bytes of an id that comes first and copies the rest as it came. Made for
// the events with nothing but a token, which are nearly all: to decode and encode each whole document
// was the largest part of a token's cost. It leaves alone what it can't tell from the bytes: a second id
// would win at the caller, and a usage must be taken out.
func withFirstID(data []byte, id string) (rewritten []byte, ok bool) {
	behind, found := bytes.CutPrefix(data, openingID)
	if !found {
		return nil, false
	}
	end := bytes.IndexByte(behind, '"')
	if end < 0 || bytes.IndexByte(behind[:end], '\\') >= 0 {
		return nil, false
	}
	rest := behind[end+1:]
	if mayNameField(rest) || !json.Valid(data) {
		return nil, false
	}
	rewritten = make([]byte, 0, len(`{"id":""`)+len(id)+len(rest))
	rewritten = append(rewritten, `{"id":`...)
	rewritten = strconv.AppendQuote(rewritten, id)
	return append(rewritten, rest...), true
}

// The ways in which a JSON text can name the fields that ForCaller changes: written out, or with a
// letter escaped, which for these letters begins as asciiEscape does.
var (
	quotedID    = []byte(`"id"`)
	quotedUsage = []byte(`"usage"`)
	asciiEscape = []byte(`\u00`)
)

// mayNameField tells whether the text may name an id or a usage, at any depth; it never misses one.
func mayNameField(text []byte) bool {
	return bytes.Contains(text, quotedID) || bytes.Contains(text, quotedUsage) || bytes.Contains(text, asciiEscape)
}

// reencoded rewrites any event, by decoding and encoding its document.
func reencoded(event Event, id string, includeUsage bool) (rewritten Event, send bool, err error) {
	defer func() { err = errors.WithMessage(err, "rewrite event") }()
	var document map[string]json.RawMessage
	if err := json.Unmarshal(event.Data, &document); err != nil || document == nil {
		return Event{}, false, ErrMalformed
	}
	if _, counted := document["usage"]; counted && !includeUsage {
		delete(document, "usage")
		var choices []json.RawMessage
		if err := json.Unmarshal(document["choices"], &choices); err != nil || len(choices) == 0 {
			return Event{}, false, nil
		}
	}
	document["id"] = json.RawMessage(strconv.Quote(id))
	data, err := json.Marshal(document)
	if err != nil {
		return Event{}, false, err
	}
	return Event{Data: data}, true, nil
}
