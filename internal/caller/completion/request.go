// Package completion decodes and validates requests to the completion API in both formats (text and chat), and
// encodes them for the engine that runs them. The pipeline uses only the values of this package and does not handle
// JSON.
package completion

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
)

// API is one of the two formats of the completion API.
type API int

// The formats.
const (
	Text API = iota
	Chat
)

// Path returns the path of the format, the same for callers and engines.
func (a API) Path() string {
	if a == Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Request is an immutable, validated request. Version is empty if the caller named only the adapter. Priority is from
// 0 (most urgent) to LowestPriority. PromptTokens is an estimate, MostPromptTokens an upper bound for any byte-level
// tokenizer. MaxTokens is the maximum number of generated tokens, and the engine gets the same limit. ID is the
// request id, assigned by the callers' API.
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

// Model returns the model name in the caller's format: "adapter" or "adapter@version".
func (r Request) Model() string {
	if r.Version == "" {
		return r.Adapter
	}
	return r.Adapter + "@" + r.Version
}

// MostTokens returns the maximum cost of the request, prompt and answer together. It is reserved from the workspace's
// rate until the actual cost is known.
func (r Request) MostTokens() int {
	return r.MostPromptTokens + r.MaxTokens
}

// WithID returns the request with another id.
func (r Request) WithID(id string) Request {
	r.ID = id
	return r
}

// WithVersion returns the request for a version of its adapter.
func (r Request) WithVersion(version string) Request {
	r.Version = version
	return r
}

// Body encodes the request for an engine, for the model "adapter@version". It always requests a stream and usage,
// whatever the caller requested: without a stream it is unknown whether the engine still makes progress, and without
// usage the tokens cannot be billed. Unknown fields are forwarded unchanged.
func (r Request) Body(model string) []byte {
	document := maps.Clone(r.document)
	delete(document, fieldPriority) // sent as a header
	document[fieldModel] = quoteJSON(model)
	document[fieldStream] = json.RawMessage("true")
	document[fieldStreamOptions] = json.RawMessage(`{"include_usage":true}`)
	return marshalDocument(document)
}

// Fingerprint is the same for each attempt of one request and different for other requests. It is used to detect
// requests that crash engines. Workspaces never share a fingerprint, so none can cause another workspace's request to
// be refused.
func (r Request) Fingerprint(workspace string) string {
	digest := sha256.New()
	digest.Write([]byte(workspace))
	digest.Write([]byte{0})
	digest.Write([]byte(r.API.Path()))
	digest.Write([]byte{0})
	digest.Write(r.Body(r.Adapter))
	return hex.EncodeToString(digest.Sum(nil))
}

func quoteJSON(text string) json.RawMessage {
	raw, err := json.Marshal(text)
	if err != nil {
		panic("completion: " + err.Error()) // encoding a string never fails
	}
	return raw
}

// marshalDocument writes the fields sorted by name, so that equal requests have equal bytes.
func marshalDocument(document map[string]json.RawMessage) []byte {
	body, err := json.Marshal(document)
	if err != nil {
		panic("completion: " + err.Error()) // every field was decoded before, so it is valid JSON
	}
	return body
}
