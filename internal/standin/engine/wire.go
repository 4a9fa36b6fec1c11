package engine

// JSON bodies of the completion API. The engine ignores fields that it does not use, as common engines
// do.

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

type completionResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

type choiceBody struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *deltaBody   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
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

func decodeCompletion(request *http.Request) (params generationParams, err error) {
	defer func() { err = errors.WithMessage(err, "completion") }()
	body, params, err := decodeCommon(request)
	if err != nil {
		return generationParams{}, err
	}
	params.prompt, err = text(body.Prompt, "\n")
	return params, err
}

func decodeChat(request *http.Request) (params generationParams, err error) {
	defer func() { err = errors.WithMessage(err, "chat completion") }()
	body, params, err := decodeCommon(request)
	if err != nil {
		return generationParams{}, err
	}
	messages := make([]Message, 0, len(body.Messages))
	for _, message := range body.Messages {
		content, err := text(message.Content, "")
		if err != nil {
			return generationParams{}, err
		}
		messages = append(messages, Message{Role: message.Role, Content: content})
	}
	params.chat = true
	params.prompt = ChatPrompt(messages)
	return params, nil
}

func decodeCommon(request *http.Request) (body completionBody, params generationParams, err error) {
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return body, generationParams{}, err
	}
	params = generationParams{
		requestID:    request.Header.Get(headerRequestID),
		model:        body.Model,
		maxTokens:    defaultMaxTokens,
		stream:       body.Stream,
		includeUsage: body.StreamOptions.IncludeUsage,
	}
	if params.requestID == "" {
		params.requestID = uuid.NewString()
	}
	for _, limit := range []*int{body.MaxTokens, body.MaxCompletion} {
		if limit != nil {
			params.maxTokens = *limit
		}
	}
	if params.maxTokens < 0 || params.maxTokens > maxTokensLimit {
		return body, generationParams{}, errors.Errorf("max_tokens: %d is out of range", params.maxTokens)
	}
	return body, params, nil
}

// text decodes a prompt or the content of a message: a string, an array of strings, or an array of text
// parts.
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
