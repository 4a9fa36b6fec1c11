package engine

// Sends the tokens of a generation: as one response at its end, or as a stream of server-sent events.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// sender sends one generation to one reader. With the fault CrossAnswers, requestID is the ID of another
// request, and crossed, if not nil, is the generation whose text is sent instead. If cutAfter is above 0,
// the connection is cut after that many tokens.
type sender struct {
	generation *generation
	requestID  string
	crossed    *generation
	cutAfter   int
}

func (s *sender) source() generationParams {
	if s.crossed != nil {
		return s.crossed.params
	}
	return s.generation.params
}

func (s *sender) setHeaders(c echo.Context) {
	c.Response().Header().Set(headerRequestID, s.requestID)
	c.Response().Header().Set(headerServedModel, s.source().model)
}

// sendResponse waits for the end of the generation and sends one response. It cuts the connection if the
// generation did not complete or cutAfter was reached.
func (s *sender) sendResponse(c echo.Context) error {
	tokens, outcome, changed := s.generation.progress()
	for outcome == "" {
		if s.cutAfter > 0 && tokens >= s.cutAfter {
			break
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		}
		tokens, outcome, changed = s.generation.progress()
	}
	if outcome != OutcomeDone || (s.cutAfter > 0 && tokens >= s.cutAfter) {
		fault.Cut(c.Response().Writer)
		return nil
	}
	s.setHeaders(c)
	return c.JSON(http.StatusOK, s.completeBody(tokens))
}

func (s *sender) completeBody(tokens int) completionResponse {
	params := s.source()
	body := s.body("text_completion")
	reason := "length"
	content := Text(params.model, params.prompt, tokens)
	choice := choiceBody{FinishReason: &reason}
	if s.generation.params.chat {
		body.Object = "chat.completion"
		choice.Message = &chatMessage{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}
	body.Choices = []choiceBody{choice}
	body.Usage = s.usage(tokens)
	return body
}

func (s *sender) body(object string) completionResponse {
	return completionResponse{
		ID:      s.requestID,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   s.source().model,
	}
}

func (s *sender) usage(tokens int) *usageBody {
	prompt := countTokens(s.source().prompt)
	return &usageBody{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
}

// -----------------------------------------------------------------------------------------------

// stream sends events, starting at the given token, until the generation ends or the reader disconnects.
func (s *sender) stream(c echo.Context, from int) error {
	s.setHeaders(c)
	c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	sent := from
	for {
		tokens, outcome, changed := s.generation.progress()
		for ; sent < tokens; sent++ {
			if s.cutAfter > 0 && sent >= s.cutAfter {
				fault.Cut(c.Response().Writer)
				return nil
			}
			if err := s.sendToken(c, sent); err != nil {
				return nil
			}
		}
		if outcome != "" {
			return s.finish(c, tokens, outcome)
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// finish sends the last events of a completed generation. Otherwise it cuts the connection.
func (s *sender) finish(c echo.Context, tokens int, outcome string) error {
	if outcome != OutcomeDone {
		fault.Cut(c.Response().Writer)
		return nil
	}
	reason := "length"
	last := s.chunk(choiceBody{FinishReason: &reason})
	if s.generation.params.chat {
		last.Choices[0].Delta = &deltaBody{}
	} else {
		empty := ""
		last.Choices[0].Text = &empty
	}
	if err := s.send(c, tokens, last); err != nil {
		return nil
	}
	if s.generation.params.includeUsage {
		usage := s.chunk()
		usage.Usage = s.usage(tokens)
		if err := s.send(c, tokens, usage); err != nil {
			return nil
		}
	}
	if _, err := c.Response().Write([]byte("data: [DONE]\n\n")); err != nil {
		return nil
	}
	c.Response().Flush()
	return nil
}

func (s *sender) sendToken(c echo.Context, number int) error {
	params := s.source()
	token := Token(params.model, params.prompt, number)
	choice := choiceBody{}
	if s.generation.params.chat {
		choice.Delta = &deltaBody{Content: token}
		if number == 0 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &token
	}
	return s.send(c, number+1, s.chunk(choice))
}

func (s *sender) chunk(choices ...choiceBody) completionResponse {
	body := s.body("text_completion")
	if s.generation.params.chat {
		body.Object = "chat.completion.chunk"
	}
	body.Choices = append([]choiceBody{}, choices...)
	return body
}

// send writes one event. Its id is the number of tokens so far.
func (s *sender) send(c echo.Context, tokens int, body completionResponse) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var event strings.Builder
	fmt.Fprintf(&event, "id: %d\ndata: %s\n\n", tokens, encoded)
	if _, err := c.Response().Write([]byte(event.String())); err != nil {
		return err
	}
	c.Response().Flush()
	return nil
}
