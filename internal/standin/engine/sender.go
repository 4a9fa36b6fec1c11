package engine

// How a generation's tokens are sent: as one answer at its end, or as server-sent events as they come.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// sender sends one generation to one reader. The identity is the request's own unless the answer is
// crossed; crossed, if not nil, is the request whose text is sent in its place.
type sender struct {
	generation *generation
	identity   string
	crossed    *generation
	cutAfter   int
}

func (s *sender) shown() ask {
	if s.crossed != nil {
		return s.crossed.ask
	}
	return s.generation.ask
}

func (s *sender) setHeaders(c echo.Context) {
	c.Response().Header().Set(headerRequestID, s.identity)
	c.Response().Header().Set(headerServedModel, s.shown().model)
}

// whole waits for the end and sends one answer. A generation that did not reach its end, or that is
// to be cut, has its connection cut.
func (s *sender) whole(c echo.Context) error {
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
	return c.JSON(http.StatusOK, s.wholeBody(tokens))
}

func (s *sender) wholeBody(tokens int) answerBody {
	shown := s.shown()
	body := s.body("text_completion")
	reason := "length"
	content := Text(shown.model, shown.prompt, tokens)
	choice := choiceBody{FinishReason: &reason}
	if s.generation.ask.chat {
		body.Object = "chat.completion"
		choice.Message = &saidBody{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}
	body.Choices = []choiceBody{choice}
	body.Usage = s.usage(tokens)
	return body
}

func (s *sender) body(object string) answerBody {
	return answerBody{
		ID:      s.identity,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   s.shown().model,
	}
}

func (s *sender) usage(tokens int) *usageBody {
	prompt := countTokens(s.shown().prompt)
	return &usageBody{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
}

// -----------------------------------------------------------------------------------------------

// stream sends events from the given token on, until the generation ends or the reader leaves.
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

// finish ends a stream: whole with its last events, otherwise by cutting it.
func (s *sender) finish(c echo.Context, tokens int, outcome string) error {
	if outcome != OutcomeDone {
		fault.Cut(c.Response().Writer)
		return nil
	}
	reason := "length"
	last := s.chunk(choiceBody{FinishReason: &reason})
	if s.generation.ask.chat {
		last.Choices[0].Delta = &deltaBody{}
	} else {
		empty := ""
		last.Choices[0].Text = &empty
	}
	if err := s.send(c, tokens, last); err != nil {
		return nil
	}
	if s.generation.ask.includeUsage {
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
	shown := s.shown()
	token := Token(shown.model, shown.prompt, number)
	choice := choiceBody{}
	if s.generation.ask.chat {
		choice.Delta = &deltaBody{Content: token}
		if number == 0 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &token
	}
	return s.send(c, number+1, s.chunk(choice))
}

func (s *sender) chunk(choices ...choiceBody) answerBody {
	body := s.body("text_completion")
	if s.generation.ask.chat {
		body.Object = "chat.completion.chunk"
	}
	body.Choices = append([]choiceBody{}, choices...)
	return body
}

// send writes one event whose id line is the number of tokens so far.
func (s *sender) send(c echo.Context, tokens int, body answerBody) error {
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
