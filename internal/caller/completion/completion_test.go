package completion_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
)

func parse(api completion.API, body string) (completion.Request, error) {
	return completion.Parse(api, []byte(body), completion.DefaultLimits())
}

func TestParse(t *testing.T) {
	is := is.New(t)
	request, err := parse(completion.Chat, `{"model":"bids@2","stream":true,"stream_options":{"include_usage":true},
		"max_tokens":50,"max_completion_tokens":40,"priority":1,"temperature":0.5,
		"messages":[{"role":"user","content":"12345678"},{"role":"user","content":[{"type":"text","text":"1234"}]}]}`)
	is.NoErr(err)
	is.Equal(request.Adapter, "bids")
	is.Equal(request.Version, "2")
	is.True(request.Stream && request.IncludeUsage)
	is.Equal(request.MaxTokens, 40)
	is.Equal(request.Priority, 1)
	is.True(request.PromptTokens < request.MostPromptTokens)
	is.True(request.MostPromptTokens >= 12)
	is.Equal(request.MostTokens(), request.MostPromptTokens+40)
}

func TestParseRefuses(t *testing.T) {
	cases := []struct {
		name, body, param string
		api               completion.API
	}{
		{"model missing", `{"prompt":"a"}`, "model", completion.Text},
		{"model empty", `{"model":"","prompt":"a"}`, "model", completion.Text},
		{"version empty", `{"model":"a@","prompt":"a"}`, "model", completion.Text},
		{"two versions", `{"model":"a@1@2","prompt":"a"}`, "model", completion.Text},
		{"model a number", `{"model":1,"prompt":"a"}`, "model", completion.Text},
		{"two prompts", `{"model":"a","prompt":["a","b"]}`, "prompt", completion.Text},
		{"several choices", `{"model":"a","prompt":"a","n":2}`, "n", completion.Text},
		{"best of", `{"model":"a","prompt":"a","best_of":2}`, "best_of", completion.Text},
		{"too many tokens", `{"model":"a","prompt":"a","max_tokens":1000000}`, "max_tokens", completion.Text},
		{"no tokens", `{"model":"a","prompt":"a","max_tokens":0}`, "max_tokens", completion.Text},
		{"half a token", `{"model":"a","prompt":"a","max_tokens":1.5}`, "max_tokens", completion.Text},
		{"priority", `{"model":"a","prompt":"a","priority":-1}`, "priority", completion.Text},
		{"stream", `{"model":"a","prompt":"a","stream":"yes"}`, "stream", completion.Text},
		{"options", `{"model":"a","prompt":"a","stream_options":1}`, "stream_options", completion.Text},
		{"name in capitals", `{"model":"a","prompt":"a","Model":"b@1"}`, "model", completion.Text},
		{"name with a long s", `{"model":"a","prompt":"a","ſtream":false}`, "stream", completion.Text},
		{"no messages", `{"model":"a","messages":[]}`, "messages", completion.Chat},
		{"no role", `{"model":"a","messages":[{"content":"a"}]}`, "messages", completion.Chat},
		{"no content", `{"model":"a","messages":[{"role":"user"}]}`, "messages", completion.Chat},
		{"an image", `{"model":"a","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "messages", completion.Chat},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := parse(c.api, c.body)
			refused := refusal.From(err)
			is.Equal(refused.Code(), refusal.BadRequest)
			is.Equal(refused.Param(), c.param)
		})
	}
}

// A caller repeats a field so that validation reads one value and the engine the other: another model, or more tokens
// than were reserved. The engine must receive the values that were validated.
func TestEngineBodyMatchesValidatedRequest(t *testing.T) {
	is := is.New(t)
	request, err := parse(completion.Text, `{"model":"a","model":"b","prompt":"p","max_tokens":9,"max_tokens":5,
		"stream":false,"priority":3,"temperature":0.10,"stop":["x"]}`)
	is.NoErr(err)
	body := string(request.Body("b@3"))
	is.Equal(body, `{"max_tokens":5,"model":"b@3","prompt":"p","stop":["x"],"stream":true,`+
		`"stream_options":{"include_usage":true},"temperature":0.10}`)
	is.Equal(request.Adapter, "b")
	is.Equal(request.MaxTokens, 5)
}

func TestFingerprint(t *testing.T) {
	is := is.New(t)
	first, err := parse(completion.Text, `{"model":"a","prompt":"p"}`)
	is.NoErr(err)
	again, err := parse(completion.Text, `{ "prompt":"p", "model":"a", "stream":true }`)
	is.NoErr(err)
	other, err := parse(completion.Text, `{"model":"a","prompt":"q"}`)
	is.NoErr(err)
	is.Equal(first.Fingerprint("w"), again.WithID("x").Fingerprint("w"))
	is.True(first.Fingerprint("w") != other.Fingerprint("w"))
	is.True(first.Fingerprint("w") != first.Fingerprint("v"))
}

func FuzzParse(f *testing.F) {
	f.Add(false, []byte(`{"model":"a@1","prompt":"p","max_tokens":3,"tools":[{}]}`))
	f.Add(true, []byte(`{"model":"a","messages":[{"role":"user","content":[{"type":"text","text":"é"}]}]}`))
	f.Add(true, []byte(strings.Repeat(`{"messages":[`, 40)))
	f.Fuzz(func(t *testing.T, chat bool, body []byte) {
		api := completion.Text
		if chat {
			api = completion.Chat
		}
		limits := completion.DefaultLimits()
		request, err := completion.Parse(api, body, limits)
		if err != nil {
			if code := refusal.From(err).Code(); code != refusal.BadRequest && code != refusal.BodyTooLarge {
				t.Fatalf("refused as %s", code)
			}
			return
		}
		if request.MaxTokens < 1 || request.MaxTokens > limits.MaxTokens || request.MostTokens() < request.MaxTokens {
			t.Fatalf("most %d, max %d", request.MostTokens(), request.MaxTokens)
		}
		var sent struct {
			Model     string `json:"model"`
			Stream    bool   `json:"stream"`
			MaxTokens int    `json:"max_tokens"`
		}
		if err := json.Unmarshal(request.Body("a@1"), &sent); err != nil {
			t.Fatal(err)
		}
		if sent.Model != "a@1" || !sent.Stream || sent.MaxTokens != request.MaxTokens {
			t.Fatalf("the engine would read %+v", sent)
		}
	})
}
