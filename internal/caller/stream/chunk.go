package stream

// The content of one event of a completion stream. Chunk is the domain type. The tagged types define the wire format and
// are used only in this file.

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// Usage is the engine's token count of a completion, or zero if the engine sent none.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

// Total returns the cost of the completion.
func (u Usage) Total() int { return u.PromptTokens + u.CompletionTokens }

// Chunk contains the fields of an event's data that the serving layer uses. Finished: it has a finish reason.
// Counted: it has a usage. Failure is the message of an error event.
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

// ParseChunk decodes an event's data.
func ParseChunk(event Event) (chunk Chunk, err error) {
	defer func() { err = errors.WithMessage(err, "parse completion event") }()
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

// ForCaller rewrites an engine's event for the caller. The id becomes that of the caller's request, since a retried
// request has another id at the engine. Usage is removed unless the caller requested it. It returns false if nothing
// is left to send. The token count in the id line is internal to the engine and is removed.
func ForCaller(event Event, id string, includeUsage bool) (rewritten Event, send bool, err error) {
	if data, ok := replaceLeadingID(event.Data, id); ok {
		return Event{Data: data}, true, nil
	}
	return reencode(event, id, includeUsage)
}

// idPrefix starts the events of the supported engines: the id is the first field of the document.
var idPrefix = []byte(`{"id":"`)

// replaceLeadingID replaces the bytes of an id that comes first and copies the rest unchanged. It is the fast path
// for events with nothing but a token, which are nearly all: decoding and encoding each document was the largest part
// of the cost of a token. It returns false for anything that cannot be decided from the bytes: a second id would
// override the first at the caller, and a usage must be removed.
func replaceLeadingID(data []byte, id string) (rewritten []byte, ok bool) {
	afterPrefix, found := bytes.CutPrefix(data, idPrefix)
	if !found {
		return nil, false
	}
	end := bytes.IndexByte(afterPrefix, '"')
	if end < 0 || bytes.IndexByte(afterPrefix[:end], '\\') >= 0 {
		return nil, false
	}
	rest := afterPrefix[end+1:]
	if mayNameField(rest) || !json.Valid(data) {
		return nil, false
	}
	rewritten = make([]byte, 0, len(`{"id":""`)+len(id)+len(rest))
	rewritten = append(rewritten, `{"id":`...)
	rewritten = strconv.AppendQuote(rewritten, id)
	return append(rewritten, rest...), true
}

// The forms in which JSON text can name the fields that ForCaller changes: literally, or with an escaped letter, which
// for these letters starts with asciiEscape.
var (
	quotedID    = []byte(`"id"`)
	quotedUsage = []byte(`"usage"`)
	asciiEscape = []byte(`\u00`)
)

// mayNameField reports whether the text may name an id or a usage, at any depth. It has no false negatives.
func mayNameField(text []byte) bool {
	return bytes.Contains(text, quotedID) || bytes.Contains(text, quotedUsage) || bytes.Contains(text, asciiEscape)
}

// reencode rewrites any event by decoding and encoding its document.
func reencode(event Event, id string, includeUsage bool) (rewritten Event, send bool, err error) {
	defer func() { err = errors.WithMessage(err, "rewrite completion event") }()
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
