package serve_test

// A dialect of these tests' own, so that they depend on no platform's names.

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/call"
)

// Headers that callers state.
const (
	headerID       = "Call-Id"
	headerKey      = "Call-Key"
	headerPatience = "Call-Patience-Ms"
	// headerTokens holds the tokens of the prompt and of the answer.
	headerTokens = "Call-Tokens"
)

// Headers that only the instance states towards upstreams.
const (
	headerWorkspace = "Send-Workspace"
	headerUpstream  = "Send-Upstream"
	headerLeft      = "Send-Left-Ms"
	headerLastEvent = "Send-Last-Event"
)

// Headers of upstreams' answers.
const (
	headerSigned = "Reply-Signed"
	headerNotRun = "Reply-Not-Run"
)

type dialect struct{}

// Decode reads a caller's request. What callers may not state does not pass on.
func (dialect) Decode(request *http.Request) (c call.Call, err error) {
	c = call.Call{
		ID: request.Header.Get(headerID), Key: request.Header.Get(headerKey), Method: request.Method,
		Host: request.Host, Target: request.RequestURI, Path: request.URL.Path, Header: request.Header.Clone(),
	}
	for _, name := range []string{
		headerKey, headerPatience, headerWorkspace, headerUpstream, headerLeft, headerLastEvent, "Content-Length", "Connection",
	} {
		c.Header.Del(name)
	}
	if c.ID == "" {
		return c, errors.New("the id is missing")
	}
	if text := request.Header.Get(headerPatience); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return c, err
		}
		c.CallerTimeout = time.Duration(ms) * time.Millisecond
	}
	prompt, output, stated := strings.Cut(request.Header.Get(headerTokens), ",")
	if !stated {
		return c, nil
	}
	c.Generation.TokensStated = true
	if c.Generation.PromptTokens, err = strconv.Atoi(prompt); err != nil {
		return c, err
	}
	c.Generation.OutputTokens, err = strconv.Atoi(output)
	return c, err
}

// RequestHeader gives the headers of a send.
func (dialect) RequestHeader(c call.Call, send call.Attempt) http.Header {
	header := c.Header.Clone()
	header.Set(headerUpstream, send.Upstream)
	header.Set(headerWorkspace, send.Workspace)
	header.Set(headerLeft, strconv.FormatInt(send.Remaining.Milliseconds(), 10))
	header.Set(headerLastEvent, send.LastEventID)
	return header
}

// ParseResponse reads an upstream's answer.
func (dialect) ParseResponse(response *http.Response) call.ResponseInfo {
	misdirected := response.StatusCode == http.StatusMisdirectedRequest
	return call.ResponseInfo{
		ID:          response.Header.Get(headerID),
		NotRun:      misdirected || response.Header.Get(headerNotRun) != "",
		Misdirected: misdirected,
		Signed:      response.Header.Get(headerSigned) != "",
	}
}

// SetRefusalHeader writes the headers of an instance's own answer.
func (dialect) SetRefusalHeader(header http.Header, id string, retryAfter time.Duration) {
	header.Set(headerID, id)
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
}
