package completion

// Counting a prompt's tokens without a tokenizer: an estimate for queueing, and a bound for the
// reservation. The bound matters for the rate: were it passed, a workspace would get more tokens than
// it bought before the engine's own count is known.

import (
	"encoding/json"
)

const (
	// bytesPerToken is the usual density of English text; an estimate only.
	bytesPerToken = 4
	// tokensPerMessage covers the marks that an engine's chat template puts around a message, and
	// those at a prompt's beginning. Not measured yet; common templates need under ten.
	tokensPerMessage = 16
)

// prompt checks the prompt or the messages and counts them. A byte-level tokenizer never makes more
// tokens than there are bytes, which gives the bound.
func (p *parser) prompt(api API) (estimate, most int) {
	bytes, messages := 0, 1
	if api == Chat {
		bytes, messages = p.messages()
	} else {
		bytes = p.textPrompt()
	}
	bytes += otherBytes(p.document, knownFields)
	overhead := messages * tokensPerMessage
	return (bytes+bytesPerToken-1)/bytesPerToken + overhead, bytes + overhead
}

// textPrompt accepts a string or a list with one string. Several prompts would be several requests
// under one identity, which is not offered.
func (p *parser) textPrompt() int {
	raw, _ := p.present(p.document, fieldPrompt)
	var one string
	if err := json.Unmarshal(raw, &one); err == nil {
		return len(one)
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err == nil && len(list) == 1 {
		p.document[fieldPrompt] = quoted(list[0])
		return len(list[0])
	}
	p.fail(fieldPrompt, "prompt must be a string, or a list with one string")
	return 0
}

func (p *parser) messages() (bytes, count int) {
	raw, _ := p.present(p.document, fieldMessages)
	var messages []map[string]json.RawMessage
	if err := json.Unmarshal(raw, &messages); err != nil || len(messages) == 0 {
		p.fail(fieldMessages, "messages must be a list of at least one message")
		return 0, 0
	}
	for _, message := range messages {
		bytes += p.message(message)
	}
	return bytes, len(messages)
}

func (p *parser) message(message map[string]json.RawMessage) int {
	var role string
	if err := json.Unmarshal(message["role"], &role); err != nil || role == "" {
		p.fail(fieldMessages, "each message needs a role")
		return 0
	}
	content, ok := p.present(message, "content")
	if !ok {
		// An assistant's message that only calls tools has no content.
		if _, calls := p.present(message, "tool_calls"); !calls {
			p.fail(fieldMessages, "each message needs a content")
		}
	}
	return p.content(content) + otherBytes(message, []string{"content"})
}

// contentPart is one part of a message's content.
type contentPart struct {
	kind string
	text string
}

func (p *parser) content(raw json.RawMessage) int {
	if raw == nil {
		return 0
	}
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return len(text)
	}
	var parts []map[string]json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil {
		p.fail(fieldMessages, "content must be a string or a list of parts")
		return 0
	}
	bytes := 0
	for _, fields := range parts {
		part, ok := readPart(fields)
		if !ok || part.kind != "text" {
			p.fail(fieldMessages, "content parts must be of type text")
			return 0
		}
		bytes += len(part.text)
	}
	return bytes
}

func readPart(fields map[string]json.RawMessage) (contentPart, bool) {
	var part contentPart
	if err := json.Unmarshal(fields["type"], &part.kind); err != nil {
		return contentPart{}, false
	}
	if err := json.Unmarshal(fields["text"], &part.text); err != nil {
		return contentPart{}, false
	}
	return part, true
}

// otherBytes counts the fields that may end up in the prompt, such as tools or a response format:
// everything but the excepted fields and plain numbers and truth values.
func otherBytes(object map[string]json.RawMessage, except []string) int {
	bytes := 0
	for name, raw := range object {
		if isOneOf(name, except) || len(raw) == 0 {
			continue
		}
		switch raw[0] {
		case '"', '{', '[':
			bytes += len(raw)
		}
	}
	return bytes
}

func isOneOf(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
