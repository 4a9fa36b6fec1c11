package stream_test

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

const limit = 64

func readAll(source io.Reader) (events []stream.Event, err error) {
	reader := stream.NewReader(source, limit)
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

func TestReader(t *testing.T) {
	long := strings.Repeat("x", limit)
	cases := []struct {
		name string
		text string
		want []stream.Event
		err  error
	}{
		{"empty", "", nil, io.EOF},
		{"plain", "id: 3\ndata: a\n\n", []stream.Event{{ID: "3", Data: []byte("a")}}, io.EOF},
		{"two lines", "data: a\ndata: b\n\n", []stream.Event{{Data: []byte("a\nb")}}, io.EOF},
		{"no blank", "event:e\r\ndata:a\r\n\r\n", []stream.Event{{Name: "e", Data: []byte("a")}}, io.EOF},
		{"comments", ": ping\n\n: ping\ndata: a\n\n", []stream.Event{{Data: []byte("a")}}, io.EOF},
		{"mark", "\ufeffdata: a\n\n", []stream.Event{{Data: []byte("a")}}, io.EOF},
		{"without data", "id: 1\n\ndata: a\n\n", []stream.Event{{Data: []byte("a")}}, io.EOF},
		{"cut before the blank line", "data: a\n", nil, io.ErrUnexpectedEOF},
		{"cut in a line", "data: a\n\ndata", []stream.Event{{Data: []byte("a")}}, io.ErrUnexpectedEOF},
		{"long line", "data: " + long + "\n\n", nil, stream.ErrTooLong},
		{"many lines", "data: " + long[:40] + "\ndata: " + long[:40] + "\n\n", nil, stream.ErrTooLong},
		{"endless line", strings.Repeat("x", 1<<16), nil, stream.ErrTooLong},
		{"lone return", "data: a\rb\n\n", nil, stream.ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			events, err := readAll(strings.NewReader(c.text))
			is.True(errors.Is(err, c.err))
			is.Equal(events, c.want)
		})
	}
}

func TestWriterRefusesInjectedFields(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	writer := stream.Writer{Destination: &out}
	is.True(writer.Write(stream.Event{ID: "1\ndata: other"}) != nil)
	is.Equal(out.Len(), 0)
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": c\r\nevent: e\r\ndata: a\r\ndata: b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		events, _ := readAll(bytes.NewReader(text))
		var out bytes.Buffer
		writer := stream.Writer{Destination: &out}
		for _, event := range events {
			if err := writer.Write(event); err != nil {
				t.Fatal("an event that was read can't be written", err)
			}
		}
		again, err := readAll(&out)
		if !errors.Is(err, io.EOF) && !errors.Is(err, stream.ErrTooLong) {
			t.Fatal(err)
		}
		if errors.Is(err, io.EOF) && len(again) != len(events) {
			t.Fatalf("%d events were written, %d read", len(events), len(again))
		}
		for i, event := range again {
			if !bytes.Equal(event.Data, events[i].Data) || event.ID != events[i].ID || event.Name != events[i].Name {
				t.Fatalf("wrote %q, read %q", events[i], event)
			}
		}
	})
}

// ---------------------------------------------------------------------------------------------

func assemble(chunks []string) (string, error) {
	assembler := stream.NewAssembler(1 << 10)
	for _, chunk := range chunks {
		if err := assembler.Add(stream.Event{Data: []byte(chunk)}); err != nil {
			return "", err
		}
	}
	answer, err := assembler.Answer("r1")
	return string(answer), err
}

func TestAssembler(t *testing.T) {
	cases := []struct {
		name   string
		chunks []string
		want   string
		err    error
	}{
		{
			"text",
			[]string{
				`{"id":"x","model":"a@1","choices":[{"index":0,"text":"Hel","finish_reason":null}]}`,
				`{"choices":[{"index":0,"text":"lo","finish_reason":"stop"}]}`,
				`{"choices":[],"usage":{"prompt_tokens":2,"completion_tokens":2}}`,
			},
			`{"id":"r1","object":"text_completion","model":"a@1","choices":[{"index":0,"text":"Hello","finish_reason":"stop"}],"usage":{"prompt_tokens":2,"completion_tokens":2}}`,
			nil,
		},
		{
			"chat with a tool call",
			[]string{
				`{"choices":[{"index":0,"delta":{"role":"assistant"}}]}`,
				`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c","type":"function","function":{"name":"f","arguments":"{\"a\""}}]}}]}`,
				`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]}}]}`,
				`{"choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`,
			},
			`{"id":"r1","object":"chat.completion","choices":[{"index":0,"finish_reason":"tool_calls","message":{"role":"assistant","content":null,"tool_calls":[{"index":0,"id":"c","type":"function","function":{"name":"f","arguments":"{\"a\":1}"}}]}}]}`,
			nil,
		},
		{"no end", []string{`{"choices":[{"index":0,"text":"Hel"}]}`}, "", stream.ErrIncomplete},
		{"nothing", nil, "", stream.ErrIncomplete},
		{"no object", []string{`[]`}, "", stream.ErrMalformed},
		{"large", []string{`{"a":"` + strings.Repeat("x", 1<<10) + `"}`}, "", stream.ErrTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := assemble(c.chunks)
			is.True(errors.Is(err, c.err))
			if c.err != nil {
				return
			}
			var gotValue, wantValue any
			is.NoErr(json.Unmarshal([]byte(got), &gotValue))
			is.NoErr(json.Unmarshal([]byte(c.want), &wantValue))
			is.Equal(gotValue, wantValue)
		})
	}
}

func TestForCaller(t *testing.T) {
	is := is.New(t)
	event := stream.Event{ID: "1", Data: []byte(`{"choices":[{"text":"a"}],"usage":{"prompt_tokens":1}}`)}
	rewritten, send, err := stream.ForCaller(event, "r1", false)
	is.NoErr(err)
	is.True(send)
	is.Equal(string(rewritten.Data), `{"choices":[{"text":"a"}],"id":"r1"}`)
	is.Equal(rewritten.ID, "")
	_, send, err = stream.ForCaller(stream.Event{Data: []byte(`{"choices":[],"usage":{}}`)}, "r1", false)
	is.NoErr(err)
	is.True(!send)
}

// The caller must find its own id and no usage that it did not ask for, whichever way the event was
// rewritten, and everything else as the engine sent it. A second id, or one spelled with escapes, would
// win over the first at the caller.
func FuzzForCaller(f *testing.F) {
	for _, data := range []string{
		`{"id":"x","model":"a@1","choices":[{"index":0,"text":" paint"}]}`,
		`{"id":"x","choices":[{"text":"a"}],"usage":{"prompt_tokens":1}}`,
		`{"id":"x","choices":[],"id":"y"}`,
		`{"id":"x","\u0069d":"y","u\u0073age":null}`,
		`{"id":"x\"","choices":[{"delta":{"tool_calls":[{"id":"c"}]}}]}`,
		`{"id":"x","choices":[}`,
	} {
		f.Add([]byte(data), true)
		f.Add([]byte(data), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, includeUsage bool) {
		var want map[string]any
		valid := json.Unmarshal(data, &want) == nil && want != nil
		rewritten, send, err := stream.ForCaller(stream.Event{Data: data}, "r1", includeUsage)
		if (err == nil) != valid {
			t.Fatalf("valid %v, but %v", valid, err)
		}
		if err != nil || !send {
			return
		}
		want["id"] = "r1"
		if !includeUsage {
			delete(want, "usage")
		}
		var got map[string]any
		if err := json.Unmarshal(rewritten.Data, &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("sent %s for %s", rewritten.Data, data)
		}
	})
}
