package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/standin/engine"
)

const waitLimit = 10 * time.Second

func start(t *testing.T, s *engine.Server) *engine.Server {
	t.Helper()
	is := is.New(t)
	is.NoErr(s.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-ended)
	})
	until(t, "started", func() bool { return len(s.Record().Incarnations) > 0 })
	return s
}

func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", what)
}

func post(t *testing.T, s *engine.Server, path, id, body string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Request-Id", id)
	return http.DefaultClient.Do(request)
}

func status(t *testing.T, s *engine.Server, path, body string) int {
	t.Helper()
	answer, err := post(t, s, path, "", body)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// events reads the data of the events of a stream. complete is false if the stream was cut.
func events(answer *http.Response) (data []string, complete bool) {
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		event, ok := strings.CutPrefix(lines.Text(), "data: ")
		if ok && event == "[DONE]" {
			return data, true
		}
		if ok {
			data = append(data, event)
		}
	}
	return data, false
}

func streamText(t *testing.T, data []string) string {
	t.Helper()
	var text strings.Builder
	for _, event := range data {
		var body struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(event), &body); err != nil {
			t.Fatal(err)
		}
		for _, choice := range body.Choices {
			text.WriteString(choice.Text + choice.Delta.Content)
		}
	}
	return text.String()
}

// -----------------------------------------------------------------------------------------------

func TestServesRequestedModel(t *testing.T) {
	is := is.New(t)
	s := start(t, &engine.Server{LoadTime: time.Millisecond})
	refused, err := post(t, s, "/v1/completions", "r0", `{"model":"bids@1","prompt":"x"}`)
	is.NoErr(err)
	is.NoErr(refused.Body.Close())
	is.Equal(refused.StatusCode, http.StatusNotFound)
	is.Equal(refused.Header.Get("X-Request-Id"), "r0")
	is.Equal(status(t, s, "/orders/load", `{"Adapter":"bids","Version":"1","Fence":1}`), http.StatusOK)

	answer, err := post(t, s, "/v1/completions", "r1", `{"model":"bids@1","prompt":"a tender","max_tokens":4}`)
	is.NoErr(err)
	complete, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(complete), engine.Text("bids@1", "a tender", 4)))
	is.True(strings.Contains(string(complete), `"completion_tokens":4`))
	is.Equal(answer.Header.Get("X-Request-Id"), "r1")
	is.Equal(answer.Header.Get("X-Served-Model"), "bids@1")

	answer, err = post(t, s, "/v1/chat/completions", "r2",
		`{"model":"bids@1","messages":[{"role":"user","content":"hello"}],"max_tokens":3,"stream":true,"stream_options":{"include_usage":true}}`)
	is.NoErr(err)
	data, finished := events(answer)
	is.True(finished)
	prompt := engine.ChatPrompt([]engine.Message{{Role: "user", Content: "hello"}})
	is.Equal(streamText(t, data), engine.Text("bids@1", prompt, 3))
	is.True(strings.Contains(data[len(data)-1], `"usage"`))
	is.Equal(len(s.Record().Requests), 2)
}

// A connection is cut in the middle of a stream, and the reader has an incomplete answer. The engine must
// continue the request and send the remaining tokens when the reader resumes the stream.
func TestResumeOfCutStream(t *testing.T) {
	is := is.New(t)
	s := start(t, &engine.Server{LoadTime: time.Millisecond})
	is.Equal(status(t, s, "/orders/load", `{"Adapter":"a","Version":"1"}`), http.StatusOK)
	s.SetFaults(engine.Faults{CutAfterTokens: 2})
	answer, err := post(t, s, "/v1/completions", "r1", `{"model":"a@1","prompt":"p","max_tokens":6,"stream":true}`)
	is.NoErr(err)
	first, complete := events(answer)
	is.True(!complete)
	is.Equal(len(first), 2)
	answer, err = http.Get("http://" + s.Address + "/v1/streams/r1?from=2")
	is.NoErr(err)
	rest, complete := events(answer)
	is.True(complete)
	is.Equal(streamText(t, append(first, rest...)), engine.Text("a@1", "p", 6))
}

func TestOrders(t *testing.T) {
	load := `{"Adapter":"%","Version":"1","Fence":5}`
	of := func(adapter string) string { return strings.ReplaceAll(load, "%", adapter) }
	old := `{"Adapter":"c","Version":"1","Fence":4}`
	for _, tt := range []struct {
		name     string
		checks   bool
		oldFence int
	}{
		{name: "checks fencing", checks: true, oldFence: http.StatusConflict},
		{name: "ignores fencing", oldFence: http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, &engine.Server{Slots: 2, LoadTime: time.Millisecond, CheckFencing: tt.checks})
			is.Equal(status(t, s, "/orders/load", of("a")), http.StatusOK)
			is.Equal(status(t, s, "/orders/load", old), tt.oldFence)
			s.SetFaults(engine.Faults{FailLoads: 1})
			is.Equal(status(t, s, "/orders/unload", of("c")), http.StatusOK)
			is.Equal(status(t, s, "/orders/load", of("b")), http.StatusBadGateway)
			is.Equal(status(t, s, "/orders/load", of("b")), http.StatusOK)
			is.Equal(status(t, s, "/orders/load", of("d")), http.StatusConflict)
			s.SetFaults(engine.Faults{LieAboutLoads: 1})
			is.Equal(status(t, s, "/orders/load", of("e")), http.StatusOK)
			is.Equal(status(t, s, "/v1/completions", `{"model":"e@1","prompt":"x"}`), http.StatusNotFound)
		})
	}
}

// An order evicts an adapter version while a request runs on it. The caller's stream is cut. The record
// must show the eviction, because the integration tests check it there.
func TestRecordShowsEvictionWhileServing(t *testing.T) {
	is := is.New(t)
	s := start(t, &engine.Server{LoadTime: time.Millisecond})
	is.Equal(status(t, s, "/orders/load", `{"Adapter":"a","Version":"1"}`), http.StatusOK)
	answer, err := post(t, s, "/v1/completions", "r1", `{"model":"a@1","prompt":"p","max_tokens":10000,"stream":true}`)
	is.NoErr(err)
	is.Equal(status(t, s, "/orders/unload", `{"Adapter":"a","Version":"1","Fence":1}`), http.StatusOK)
	_, complete := events(answer)
	is.True(!complete)
	record := s.Record()
	is.Equal(record.EvictedWhileServing, 1)
	is.Equal(record.Requests[0].Outcome, engine.OutcomeEvicted)

	protecting := start(t, &engine.Server{LoadTime: time.Millisecond, ProtectInUse: true})
	is.Equal(status(t, protecting, "/orders/load", `{"Adapter":"a","Version":"1"}`), http.StatusOK)
	answer, err = post(t, protecting, "/v1/completions", "r1", `{"model":"a@1","prompt":"p","max_tokens":50,"stream":true}`)
	is.NoErr(err)
	is.Equal(status(t, protecting, "/orders/unload", `{"Adapter":"a","Version":"1","Fence":1}`), http.StatusConflict)
	_, complete = events(answer)
	is.True(complete)
}

// A request crashes the engine's process and ends every request in the batch. The record of the running
// requests must survive the crash. The restarted engine has a new incarnation and nothing resident.
func TestRecordSurvivesCrash(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "engine.jsonl")
	var exits atomic.Int64
	s := start(t, &engine.Server{
		LoadTime:   time.Millisecond,
		RecordPath: path,
		Exit:       func(int) { exits.Add(1) },
	})
	is.Equal(status(t, s, "/orders/load", `{"Adapter":"a","Version":"1"}`), http.StatusOK)
	neighbour, err := post(t, s, "/v1/completions", "innocent", `{"model":"a@1","prompt":"p","max_tokens":10000,"stream":true}`)
	is.NoErr(err)
	defer neighbour.Body.Close()
	s.SetFaults(engine.Faults{CrashOn: "poison"})
	_, err = post(t, s, "/v1/completions", "r1", `{"model":"a@1","prompt":"a poison b"}`)
	is.True(err != nil)
	until(t, "crash", func() bool { return exits.Load() == 1 })

	record, err := engine.ReadRecord(path)
	is.NoErr(err)
	is.Equal(record.Requests[0].Outcome, engine.OutcomeLost)
	is.Equal(record.Requests[1].Outcome, engine.OutcomeCrashed)
	next := start(t, &engine.Server{RecordPath: path})
	is.Equal(len(next.Record().Incarnations), 2)
	is.Equal(len(next.Record().Requests), 2)
}

// Connection tracking between two hosts loses its entries. A call on an old connection must get no answer
// at all, while a call on a new connection is answered at once.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	s := start(t, &engine.Server{LoadTime: time.Millisecond})
	client := &http.Client{Transport: &http.Transport{}, Timeout: 300 * time.Millisecond}
	answer, err := client.Get("http://" + s.Address + "/report")
	is.NoErr(err)
	_, err = io.Copy(io.Discard, answer.Body)
	is.NoErr(err)
	answer.Body.Close()
	s.SetFaults(engine.Faults{SilentConnections: true})
	_, err = client.Get("http://" + s.Address + "/report")
	is.True(err != nil)
	fresh := &http.Client{Transport: &http.Transport{}}
	answer, err = fresh.Get("http://" + s.Address + "/report")
	is.NoErr(err)
	answer.Body.Close()
}
