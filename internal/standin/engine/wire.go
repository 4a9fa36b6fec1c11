package engine

// The shapes of the completion API, mapped by hand. The engine reads only what it uses and ignores
// the rest, as the field's engines do.

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

type completionBody struct {
	Model         string          `json:"model"`
	Prompt        json.RawMessage `json:"prompt"`
	Messages      []messageBody   `json:"messages"`
	MaxTokens     *int            `json:"max_tokens"`
	MaxCompletion *int            `json:"max_completion_tokens"`
	Stream        bool            `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type messageBody struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type partBody struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

type answerBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

type choiceBody struct {
	Index        int        `json:"index"`
	Text         *string    `json:"text,omitempty"`
	Message      *saidBody  `json:"message,omitempty"`
	Delta        *deltaBody `json:"delta,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type saidBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type deltaBody struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

func decodeCompletion(request *http.Request) (asked ask, err error) {
	defer func() { err = errors.WithMessage(err, "completion") }()
	body, asked, err := decodeCommon(request)
	if err != nil {
		return ask{}, err
	}
	asked.prompt, err = text(body.Prompt, "\n")
	return asked, err
}

func decodeChat(request *http.Request) (asked ask, err error) {
	defer func() { err = errors.WithMessage(err, "chat completion") }()
	body, asked, err := decodeCommon(request)
	if err != nil {
		return ask{}, err
	}
	messages := make([]Message, 0, len(body.Messages))
	for _, message := range body.Messages {
		content, err := text(message.Content, "")
		if err != nil {
			return ask{}, err
		}
		messages = append(messages, Message{Role: message.Role, Content: content})
	}
	asked.chat = true
	asked.prompt = ChatPrompt(messages)
	return asked, nil
}

func decodeCommon(request *http.Request) (body completionBody, asked ask, err error) {
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return body, ask{}, err
	}
	asked = ask{
		requestID:    request.Header.Get(headerRequestID),
		model:        body.Model,
		maxTokens:    usualMaxTokens,
		stream:       body.Stream,
		includeUsage: body.StreamOptions.IncludeUsage,
	}
	if asked.requestID == "" {
		asked.requestID = uuid.NewString()
	}
	for _, limit := range []*int{body.MaxTokens, body.MaxCompletion} {
		if limit != nil {
			asked.maxTokens = *limit
		}
	}
	if asked.maxTokens < 0 || asked.maxTokens > mostMaxTokens {
		return body, ask{}, errors.Errorf("max_tokens: %d is out of range", asked.maxTokens)
	}
	return body, asked, nil
}

// text reads a prompt or a content: a string, an array of strings, or an array of text parts.
func text(raw json.RawMessage, separator string) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var plain string
	if json.Unmarshal(raw, &plain) == nil {
		return plain, nil
	}
	var several []string
	if json.Unmarshal(raw, &several) == nil {
		return strings.Join(several, separator), nil
	}
	var parts []partBody
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.New("prompt or content: neither text nor an array of text")
	}
	joined := make([]string, 0, len(parts))
	for _, part := range parts {
		joined = append(joined, part.Text)
	}
	return strings.Join(joined, separator), nil
}
