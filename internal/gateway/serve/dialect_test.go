package serve_test

// A dialect for these tests, so that they do not depend on the header names of a platform.

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/call"
)

// Request headers of callers.
const (
	headerID      = "Call-Id"
	headerKey     = "Call-Key"
	headerTimeout = "Call-Timeout-Ms"
	// headerTokens holds the token counts of the prompt and of the output.
	headerTokens = "Call-Tokens"
	// headerHas is the last event that the caller has, of the stream that the request headerResumes began.
	headerHas     = "Call-Last-Event"
	headerResumes = "Call-Resumes"
)

// Headers that only the instance may set on requests to upstreams.
const (
	headerWorkspace = "Send-Workspace"
	headerUpstream  = "Send-Upstream"
	headerRemaining = "Send-Remaining-Ms"
	headerLastEvent = "Send-Last-Event"
)

// Response headers of upstreams.
const (
	headerSigned = "Reply-Signed"
	headerNotRun = "Reply-Not-Run"
	// headerBackpressure is a number of milliseconds.
	headerBackpressure = "Reply-Backpressure-Ms"
	headerLeaving      = "Reply-Leaving"
)

type dialect struct{}

// Decode reads a caller's request. Headers that callers may not set are not forwarded.
func (dialect) Decode(request *http.Request) (c call.Call, err error) {
	c = call.Call{
		ID: request.Header.Get(headerID), Key: request.Header.Get(headerKey), Method: request.Method,
		Host: request.Host, Target: request.RequestURI, Path: request.URL.Path, Header: request.Header.Clone(),
		LastEventID: request.Header.Get(headerHas), Resumes: request.Header.Get(headerResumes),
	}
	for _, name := range []string{
		headerKey, headerTimeout, headerWorkspace, headerUpstream, headerRemaining, headerLastEvent, "Content-Length", "Connection",
	} {
		c.Header.Del(name)
	}
	if c.ID == "" {
		return c, errors.New("the id is missing")
	}
	if text := request.Header.Get(headerTimeout); text != "" {
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

// RequestHeader returns the headers of an attempt.
func (dialect) RequestHeader(c call.Call, attempt call.Attempt) http.Header {
	header := c.Header.Clone()
	header.Set(headerUpstream, attempt.Upstream)
	header.Set(headerWorkspace, attempt.Workspace)
	header.Set(headerRemaining, strconv.FormatInt(attempt.Remaining.Milliseconds(), 10))
	header.Set(headerLastEvent, attempt.LastEventID)
	return header
}

// ParseResponse reads the headers of an upstream's response.
func (dialect) ParseResponse(response *http.Response) call.ResponseInfo {
	misdirected := response.StatusCode == http.StatusMisdirectedRequest
	backpressure, _ := strconv.Atoi(response.Header.Get(headerBackpressure)) // 0 without the header
	return call.ResponseInfo{
		ID:          response.Header.Get(headerID),
		NotRun:      misdirected || response.Header.Get(headerNotRun) != "",
		Misdirected: misdirected,
		Signed:      response.Header.Get(headerSigned) != "",
		RetryAfter:  time.Duration(backpressure) * time.Millisecond,
		Leaving:     response.Header.Get(headerLeaving) != "",
	}
}

// SetRefusalHeader sets the headers of a response that the instance generates itself.
func (dialect) SetRefusalHeader(header http.Header, id string, retryAfter time.Duration) {
	header.Set(headerID, id)
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
}
