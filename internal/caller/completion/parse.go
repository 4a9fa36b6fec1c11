package completion

// Decoding and validating the body of a request. Every mistake of the caller is reported here as a bad_request with the
// name of the field, before tokens are reserved or an engine is called.

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
)

// LowestPriority is the least urgent priority; 0 is the most urgent.
const LowestPriority = 9

// defaultPriority applies to requests without a priority.
const defaultPriority = 5

// Limits of a request.
type Limits struct {
	// BodyBytes bounds the body: a large body costs memory here and prefill time at the engine.
	BodyBytes int
	// Depth bounds the nesting of the JSON, because parsing uses stack in proportion to it.
	Depth int
	// MaxTokens is the maximum that a caller may request. DefaultMaxTokens applies to requests without a limit. Both
	// keep the reservation of one request small relative to a workspace's burst.
	MaxTokens, DefaultMaxTokens int
}

func DefaultLimits() Limits {
	return Limits{BodyBytes: 1 << 20, Depth: 32, MaxTokens: 8192, DefaultMaxTokens: 256}
}

// The fields that this package reads or writes.
const (
	fieldModel               = "model"
	fieldStream              = "stream"
	fieldStreamOptions       = "stream_options"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
	fieldPriority            = "priority"
	fieldPrompt              = "prompt"
	fieldMessages            = "messages"
	fieldChoices             = "n"
	fieldBestOf              = "best_of"
)

var knownFields = []string{
	fieldModel, fieldStream, fieldStreamOptions, fieldMaxTokens, fieldMaxCompletionTokens,
	fieldPriority, fieldPrompt, fieldMessages, fieldChoices, fieldBestOf,
}

// Parse decodes and validates a body. Its errors are refusals.
func Parse(api API, body []byte, limits Limits) (request Request, err error) {
	document, err := parseDocument(body, limits)
	if err != nil {
		return Request{}, err
	}
	p := parser{document: document, limits: limits}
	request = p.request(api)
	if p.err != nil {
		return Request{}, p.err
	}
	return request, nil
}

// parseDocument decodes the outer object and rejects names that differ from a known one only by case. An engine with
// a case-insensitive JSON decoder would read such a field as the known one, and run another model or more tokens than
// were validated here.
func parseDocument(body []byte, limits Limits) (map[string]json.RawMessage, error) {
	if len(body) > limits.BodyBytes {
		return nil, refusal.New(refusal.BodyTooLarge,
			fmt.Sprintf("the body is larger than %d bytes", limits.BodyBytes))
	}
	if exceedsDepth(body, limits.Depth) {
		return nil, refusal.New(refusal.BadRequest, fmt.Sprintf("the body is nested deeper than %d", limits.Depth))
	}
	var document map[string]json.RawMessage
	if err := json.Unmarshal(body, &document); err != nil || document == nil {
		return nil, refusal.New(refusal.BadRequest, "the body is not a JSON object")
	}
	names := make([]string, 0, len(document))
	for name := range document {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, known := range knownFields {
			if name != known && strings.EqualFold(name, known) {
				return nil, refusal.New(refusal.BadRequest, "write "+known+" in lower case").WithParam(known)
			}
		}
	}
	return document, nil
}

// exceedsDepth counts open brackets outside of strings. It runs before the JSON decoder and accepts anything else,
// valid or not.
func exceedsDepth(body []byte, limit int) bool {
	depth := 0
	inString, escaped := false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case inString:
		case b == '{' || b == '[':
			depth++
			if depth > limit {
				return true
			}
		case b == '}' || b == ']':
			depth--
		}
	}
	return false
}

// ---------------------------------------------------------------------------------------------

// parser reads fields one by one and keeps the first error.
type parser struct {
	document map[string]json.RawMessage
	limits   Limits
	err      error
}

func (p *parser) fail(param, message string) {
	if p.err == nil {
		p.err = refusal.New(refusal.BadRequest, message).WithParam(param)
	}
}

func (p *parser) request(api API) Request {
	request := Request{API: api, document: p.document}
	request.Adapter, request.Version = p.model()
	request.Stream = p.boolean(p.document, fieldStream)
	request.IncludeUsage = p.includeUsage()
	request.Priority = p.integer(fieldPriority, 0, LowestPriority, defaultPriority)
	p.requireOne(fieldChoices)
	p.requireOne(fieldBestOf)
	request.MaxTokens = p.maxTokens()
	request.PromptTokens, request.MostPromptTokens = p.prompt(api)
	return request
}

// model splits "adapter@version". The version may be omitted but not empty.
func (p *parser) model() (adapter, version string) {
	name, ok := p.text(fieldModel)
	if !ok {
		p.fail(fieldModel, "model must be a string")
		return "", ""
	}
	adapter, version, versioned := strings.Cut(name, "@")
	if adapter == "" || (versioned && version == "") || strings.Contains(version, "@") {
		p.fail(fieldModel, "model must be adapter or adapter@version")
	}
	return adapter, version
}

func (p *parser) includeUsage() bool {
	raw, present := p.present(p.document, fieldStreamOptions)
	if !present {
		return false
	}
	var options map[string]json.RawMessage
	if err := json.Unmarshal(raw, &options); err != nil {
		p.fail(fieldStreamOptions, "stream_options must be an object")
		return false
	}
	return p.boolean(options, "include_usage")
}

// requireOne rejects more than one choice, which is not supported because it would multiply the cost.
func (p *parser) requireOne(field string) {
	p.integer(field, 1, 1, 1)
}

// maxTokens reads the limit under either name and writes it back, so that the engine applies the limit that the
// reservation was made for.
func (p *parser) maxTokens() int {
	maxTokens := p.integer(fieldMaxTokens, 1, p.limits.MaxTokens, 0)
	maxCompletionTokens := p.integer(fieldMaxCompletionTokens, 1, p.limits.MaxTokens, 0)
	limit := p.limits.DefaultMaxTokens
	switch {
	case maxTokens > 0 && maxCompletionTokens > 0:
		limit = min(maxTokens, maxCompletionTokens)
	case maxTokens > 0:
		limit = maxTokens
	case maxCompletionTokens > 0:
		limit = maxCompletionTokens
	}
	raw := json.RawMessage(fmt.Sprint(limit))
	p.document[fieldMaxTokens] = raw
	if maxCompletionTokens > 0 {
		p.document[fieldMaxCompletionTokens] = raw
	}
	return limit
}

// ---------------------------------------------------------------------------------------------

// present returns a field that exists and is not null. The API treats null as absent.
func (p *parser) present(object map[string]json.RawMessage, field string) (json.RawMessage, bool) {
	raw, ok := object[field]
	if !ok || string(raw) == "null" {
		return nil, false
	}
	return raw, true
}

func (p *parser) text(field string) (string, bool) {
	raw, ok := p.present(p.document, field)
	if !ok {
		return "", false
	}
	var value string
	if err := json.Unmarshal(raw, &value); err != nil {
		return "", false
	}
	return value, true
}

func (p *parser) boolean(object map[string]json.RawMessage, field string) bool {
	raw, ok := p.present(object, field)
	if !ok {
		return false
	}
	var value bool
	if err := json.Unmarshal(raw, &value); err != nil {
		p.fail(field, field+" must be true or false")
	}
	return value
}

func (p *parser) integer(field string, minimum, maximum, fallback int) int {
	raw, ok := p.present(p.document, field)
	if !ok {
		return fallback
	}
	var value int
	if err := json.Unmarshal(raw, &value); err != nil || value < minimum || value > maximum {
		p.fail(field, fmt.Sprintf("%s must be a whole number from %d to %d", field, minimum, maximum))
		return fallback
	}
	return value
}
