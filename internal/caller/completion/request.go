// Package completion is a caller's request for a completion, read from the completion API's two
// shapes (text and chat), checked, and written again for the engine that will run it. The pipeline
// decides on the value of this package alone; it never looks at JSON.
package completion

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
)

// API tells the two shapes of the completion API apart.
type API int

// The shapes, with the paths they are asked under.
const (
	Text API = iota
	Chat
)

// Path under which both callers and engines know the shape.
func (a API) Path() string {
	if a == Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Request is an immutable, checked request. Version is empty when the caller named the adapter only.
// Priority is 0 (most urgent) to LowestPriority. PromptTokens is an estimate, MostPromptTokens a
// bound that no byte-level tokenizer passes, MaxTokens the most that may be generated; the engine is
// told the same bound. ID is the request's identity, given by the callers' API.
type Request struct {
	ID               string
	API              API
	Adapter          string
	Version          string
	Stream           bool
	IncludeUsage     bool
	Priority         int
	PromptTokens     int
	MostPromptTokens int
	MaxTokens        int

	document map[string]json.RawMessage
}

// Model is the name as the caller may write it: "adapter" or "adapter@version".
func (r Request) Model() string {
	if r.Version == "" {
		return r.Adapter
	}
	return r.Adapter + "@" + r.Version
}

// MostTokens is the most that the request may cost, prompt and answer together: what is reserved
// from the workspace's rate until the true cost is known.
func (r Request) MostTokens() int {
	return r.MostPromptTokens + r.MaxTokens
}

// WithID returns the request under another identity.
func (r Request) WithID(id string) Request {
	r.ID = id
	return r
}

// WithVersion returns the request for a version of its adapter.
func (r Request) WithVersion(version string) Request {
	r.Version = version
	return r
}

// Body writes the request for an engine, under the model "adapter@version". It is always streamed
// and asks for usage, whatever the caller asked: without a stream nobody sees whether the engine
// still makes progress, and without usage nobody knows what to bill. Fields that this package does
// not know go through as they came.
func (r Request) Body(model string) []byte {
	document := maps.Clone(r.document)
	delete(document, fieldPriority) // a header carries it
	document[fieldModel] = quoted(model)
	document[fieldStream] = json.RawMessage("true")
	document[fieldStreamOptions] = json.RawMessage(`{"include_usage":true}`)
	return marshalled(document)
}

// Fingerprint tells two sends of one request from other requests, to find the one that crashes
// engines. Workspaces never share a fingerprint, so that none can have another's request refused.
func (r Request) Fingerprint(workspace string) string {
	digest := sha256.New()
	digest.Write([]byte(workspace))
	digest.Write([]byte{0})
	digest.Write([]byte(r.API.Path()))
	digest.Write([]byte{0})
	digest.Write(r.Body(r.Adapter))
	return hex.EncodeToString(digest.Sum(nil))
}

func quoted(text string) json.RawMessage {
	raw, err := json.Marshal(text)
	if err != nil {
		panic("completion: " + err.Error()) // strings always marshal
	}
	return raw
}

// marshalled writes the fields in the order of their names, so that equal requests give equal bytes.
func marshalled(document map[string]json.RawMessage) []byte {
	body, err := json.Marshal(document)
	if err != nil {
		panic("completion: " + err.Error()) // every field was parsed before, so it is valid JSON
	}
	return body
}
