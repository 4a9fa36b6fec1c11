package api_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
)

func doRequest(t *testing.T, method, url, key, body string) (response *http.Response, text string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err = http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(content)
}

func TestCompletionShapes(t *testing.T) {
	server := start(t, &fakePipeline{}, limits())
	cases := []struct {
		name, path, body string
		want             []string
		not              string
	}{
		{
			"plain text", "/v1/completions", `{"model":"bids","prompt":"a"}`,
			[]string{`"text":"t1 t2 t3 "`, `"finish_reason":"stop"`, `"completion_tokens":3`, `"object":"text_completion"`},
			"data:",
		},
		{
			"stream", "/v1/completions", `{"model":"bids@2","prompt":["a"],"stream":true}`,
			[]string{`"text":"t1 "`, `"text":"t3 "`, "data: [DONE]\n\n"},
			"usage",
		},
		{
			"stream with usage", "/v1/completions", `{"model":"bids","prompt":"a","stream":true,"stream_options":{"include_usage":true}}`,
			[]string{`"completion_tokens":3`, "data: [DONE]\n\n"},
			`"id":"x"`,
		},
		{
			"chat", "/v1/chat/completions",
			`{"model":"bids","max_tokens":5,"messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`,
			[]string{`"finish_reason":"stop"`},
			"data:",
		},
		{"models", "/v1/models", "", []string{`{"object":"list","data":[{"id":"bids","object":"model","created":5,"owned_by":"blue"}]}`}, "error"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			method := http.MethodPost
			if c.body == "" {
				method = http.MethodGet
			}
			response, text := doRequest(t, method, server.url(c.path), "secret", c.body)
			is.Equal(response.StatusCode, http.StatusOK)
			is.True(response.Header.Get(api.HeaderRequestID) != "")
			for _, want := range c.want {
				if !strings.Contains(text, want) {
					t.Fatalf("%s is not in %s", want, text)
				}
			}
			is.True(!strings.Contains(text, c.not))
			if method == http.MethodPost {
				is.Equal(response.Header.Get(api.HeaderServedModel), "bids@2")
			}
		})
	}
}

// failingPipeline sends the given number of tokens and then fails.
func failingPipeline(tokens int) *fakePipeline {
	return &fakePipeline{complete: func(_ context.Context, _ completion.Request, sink api.Sink) error {
		if tokens > 0 {
			if err := sink.Begin(api.Served{Model: "bids@2"}); err != nil {
				return err
			}
		}
		for n := 1; n <= tokens; n++ {
			if err := sendToken(sink, n); err != nil {
				return err
			}
		}
		return refusal.New(refusal.UpstreamFailed, "the upstream was lost")
	}}
}

// An upstream is lost before or after the first token. A non-streaming caller gets an error and never a partial
// answer. A streaming caller gets an ordinary error before the first token, and afterwards an error event instead of
// the [DONE] event.
func TestUpstreamFails(t *testing.T) {
	cases := []struct {
		name   string
		stream string
		tokens int
		status int
		parts  []string
	}{
		{"plain before", "false", 0, 502, []string{`"code":"upstream_failed"`}},
		{"plain after", "false", 2, 502, []string{`"code":"upstream_failed"`}},
		{"stream before", "true", 0, 502, []string{`"code":"upstream_failed"`}},
		{"stream after", "true", 2, 200, []string{`"text":"t2 "`, `"code":"upstream_failed"`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := start(t, failingPipeline(c.tokens), limits())
			body := `{"model":"bids","prompt":"a","stream":` + c.stream + `}`
			response, text := doRequest(t, http.MethodPost, server.url("/v1/completions"), "secret", body)
			is.Equal(response.StatusCode, c.status)
			for _, part := range c.parts {
				is.True(strings.Contains(text, part))
			}
			is.True(!strings.Contains(text, "[DONE]"))
			if c.status != http.StatusOK {
				is.Equal(response.Header.Get("X-Run"), "unknown")
				is.True(!strings.Contains(text, "t1"))
				is.True(json.Valid([]byte(text)))
			}
		})
	}
}

// An upstream's stream ends without an error but also without a finish reason. The caller must not get the partial
// answer as a complete one.
func TestIncompleteAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	pipeline := &fakePipeline{complete: func(_ context.Context, _ completion.Request, sink api.Sink) error {
		return sendToken(sink, 1)
	}}
	server := start(t, pipeline, limits())
	response, _ := doRequest(t, http.MethodPost, server.url("/v1/completions"), "secret", `{"model":"bids","prompt":"a"}`)
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(response.Header.Get("X-Run"), "ran")
}

// A caller disconnects while its request waits or runs. The request must be cancelled, or tokens are generated that
// nobody receives.
func TestCallerDisconnects(t *testing.T) {
	for _, stream := range []string{"true", "false"} {
		is := is.New(t)
		started, ended := make(chan struct{}), make(chan struct{})
		pipeline := &fakePipeline{complete: func(ctx context.Context, _ completion.Request, _ api.Sink) error {
			close(started)
			<-ctx.Done()
			close(ended)
			return ctx.Err()
		}}
		server := start(t, pipeline, limits())
		ctx, cancel := context.WithCancel(context.Background())
		body := strings.NewReader(`{"model":"bids","prompt":"a","stream":` + stream + `}`)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.url("/v1/completions"), body)
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer secret")
		go func() {
			<-started
			cancel()
		}()
		_, err = http.DefaultClient.Do(request)
		is.True(err != nil)
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("the pipeline's context was not cancelled within 10 s")
		}
	}
}
