package completion

// Counting the tokens of a prompt without a tokenizer: an estimate for queueing, and an upper bound for the reservation.
// The bound protects the rate: if it could be exceeded, a workspace would get more tokens than it bought before the
// engine's own count is known.

import (
	"encoding/json"
)

const (
	// bytesPerToken is the typical density of English text, used as an estimate only.
	bytesPerToken = 4
	// tokensPerMessage covers the tokens that an engine's chat template adds around a message, and those at the start
	// of a prompt. Common templates need fewer than ten.
	tokensPerMessage = 16
)

// prompt validates the prompt or the messages and counts them. A byte-level tokenizer never produces more tokens than
// bytes, which gives the upper bound.
func (p *parser) prompt(api API) (estimate, upperBound int) {
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

// textPrompt accepts a string or a list with one string. Several prompts would be several requests under one request
// id, which is not supported.
func (p *parser) textPrompt() int {
	raw, _ := p.present(p.document, fieldPrompt)
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return len(text)
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err == nil && len(list) == 1 {
		p.document[fieldPrompt] = quoteJSON(list[0])
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
		// An assistant message that only calls tools has no content.
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

// otherBytes counts the fields that may become part of the prompt, such as tools or a response format: all fields
// except the given ones, numbers and booleans.
func otherBytes(object map[string]json.RawMessage, excluded []string) int {
	bytes := 0
	for name, raw := range object {
		if contains(name, excluded) || len(raw) == 0 {
			continue
		}
		switch raw[0] {
		case '"', '{', '[':
			bytes += len(raw)
		}
	}
	return bytes
}

func contains(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
