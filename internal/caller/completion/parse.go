package completion

// Reading and checking a request's body. Everything a caller can get wrong ends here with a
// bad_request that names the field, before any token is reserved and any engine is asked.

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
)

// LowestPriority is the least urgent priority; 0 is the most urgent.
const LowestPriority = 9

// defaultPriority is for callers that name none.
const defaultPriority = 5

// Limits of a request.
type Limits struct {
	// BodyBytes bounds the body: a large one costs memory here and prefill time at the engine.
	BodyBytes int
	// Depth bounds the nesting of the JSON, whose parsing costs stack by depth.
	Depth int
	// MaxTokens is the most that a caller may ask for, DefaultMaxTokens what one that names no number
	// gets. Both keep the reservation of one request small against a workspace's burst.
	MaxTokens, DefaultMaxTokens int
}

// DefaultLimits have no measured reason yet.
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

// Parse reads and checks a body. Its errors are refusals.
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

// parseDocument reads the outer object and refuses names that differ from a known one by case alone.
// An engine whose JSON reader ignores case would take such a field for the known one, and so run
// another model, or more tokens, than were checked here.
func parseDocument(body []byte, limits Limits) (map[string]json.RawMessage, error) {
	if len(body) > limits.BodyBytes {
		return nil, refusal.New(refusal.BodyTooLarge,
			fmt.Sprintf("the body is larger than %d bytes", limits.BodyBytes))
	}
	if tooDeep(body, limits.Depth) {
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

// tooDeep counts open brackets outside of strings. It runs before the JSON reader and accepts
// anything else, valid or not.
func tooDeep(body []byte, limit int) bool {
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
	p.single(fieldChoices)
	p.single(fieldBestOf)
	request.MaxTokens = p.maxTokens()
	request.PromptTokens, request.MostPromptTokens = p.prompt(api)
	return request
}

// model parts "adapter@version"; the version may be left out, but not left empty.
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

// single refuses more than one choice: it would multiply the cost and is not offered.
func (p *parser) single(field string) {
	p.integer(field, 1, 1, 1)
}

// maxTokens reads the bound under either name and writes it back, so that the engine keeps the bound
// that the reservation was made for.
func (p *parser) maxTokens() int {
	older := p.integer(fieldMaxTokens, 1, p.limits.MaxTokens, 0)
	newer := p.integer(fieldMaxCompletionTokens, 1, p.limits.MaxTokens, 0)
	most := p.limits.DefaultMaxTokens
	switch {
	case older > 0 && newer > 0:
		most = min(older, newer)
	case older > 0:
		most = older
	case newer > 0:
		most = newer
	}
	raw := json.RawMessage(fmt.Sprint(most))
	p.document[fieldMaxTokens] = raw
	if newer > 0 {
		p.document[fieldMaxCompletionTokens] = raw
	}
	return most
}

// ---------------------------------------------------------------------------------------------

// present finds a field that is there and is not null; the API treats null as left out.
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

func (p *parser) integer(field string, least, most, otherwise int) int {
	raw, ok := p.present(p.document, field)
	if !ok {
		return otherwise
	}
	var value int
	if err := json.Unmarshal(raw, &value); err != nil || value < least || value > most {
		p.fail(field, fmt.Sprintf("%s must be a whole number from %d to %d", field, least, most))
		return otherwise
	}
	return value
}
