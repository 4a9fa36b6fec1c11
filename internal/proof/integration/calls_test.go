package integration

// Calls to the instances, and checks of their answers against the requests.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/deployment"
	"lacewingrock.example/lacewingrock/internal/standin/engine"
)

// reply is the result of a call. err is set if there was no complete answer: no connection, a reset, a truncated body.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// runHeader returns the X-Run header of the reply: "not-run", "ran", "unknown" or empty.
func (r reply) runHeader() string { return r.header.Get("X-Run") }

// ok returns whether the answer is complete from the caller's point of view. A stream that ended with an error event
// is not.
func (r reply) ok() bool {
	return r.err == nil && r.status == http.StatusOK && !strings.Contains(r.body, errorEvent)
}

// errorEvent is the prefix of the event with which a stream reports that it cannot continue.
const errorEvent = `data: {"error"`

func (r reply) String() string {
	return fmt.Sprintf("status %d, X-Run %q, error %v, body %.200q", r.status, r.runHeader(), r.err, r.body)
}

// outcome returns the key of the reply in outcomeCounts: "answered", the code of its refusal, or how it failed.
func (r reply) outcome() string {
	if r.ok() {
		return "answered"
	}
	if r.status == 0 {
		return "no answer"
	}
	var refused struct{ Error struct{ Code string } }
	if r.err != nil || json.Unmarshal([]byte(r.body), &refused) != nil || refused.Error.Code == "" {
		return "broken off"
	}
	return refused.Error.Code
}

// outcomeCounts counts replies by outcome.
type outcomeCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (s *outcomeCounts) add(outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[string]int)
	}
	s.counts[outcome]++
}

func (s *outcomeCounts) count(outcome string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[outcome]
}

func (s *outcomeCounts) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.counts)
}

// caller is a client that keeps its connections open, as real callers do.
type caller struct {
	w      *world
	key    string
	client *http.Client
}

func (w *world) caller(key string) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	w.t.Cleanup(transport.CloseIdleConnections)
	return &caller{w: w, key: key, client: &http.Client{Transport: transport, Timeout: settleLimit}}
}

func (c *caller) withTimeout(limit time.Duration) *caller {
	changed := *c
	client := *c.client
	client.Timeout = limit
	changed.client = &client
	return &changed
}

func (c *caller) send(instance int, method, path, body string, headers map[string]string) reply {
	url := "http://" + c.w.d.InstanceProcesses[instance].Announced("CallerAddress") + path
	request, err := http.NewRequestWithContext(c.w.ctx, method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	// The HTTP client must not retry a call on its own.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer answer.Body.Close()
	read, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, body: string(read), err: err}
}

// completion requests a completion and returns the reply.
func (c *caller) completion(instance int, model, prompt string, tokens int) reply {
	return c.send(instance, http.MethodPost, "/v1/completions", completionBody(model, prompt, tokens, false), nil)
}

// stream requests a streamed completion and reads it to its end.
func (c *caller) stream(instance int, model, prompt string, tokens int) reply {
	return c.send(instance, http.MethodPost, "/v1/completions", completionBody(model, prompt, tokens, true), nil)
}

func completionBody(model, prompt string, tokens int, stream bool) string {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// book sends a booking that must run at most once. It fails the test if the booking is refused as malformed, because
// such a booking tests nothing.
func (c *caller) book(instance int, idempotencyKey, body string) reply {
	got := c.send(instance, http.MethodPost, "/services/"+deployment.BookingService+"/orders", body,
		map[string]string{"Idempotency-Key": idempotencyKey})
	if got.status == http.StatusBadRequest {
		c.w.t.Errorf("the test's own booking is malformed: %s", got)
	}
	return got
}

// -----------------------------------------------------------------------------------------------

// checkText returns an error unless the answer is the complete text for this prompt, from the requested adapter
// version, which the answer must name.
func checkText(r reply, model, prompt string, tokens int) error {
	if served := r.header.Get("X-Served-Model"); served != model {
		return fmt.Errorf("served by %q, requested %q", served, model)
	}
	text, err := answerText(r.body)
	if err != nil {
		return err
	}
	if text != engine.Text(model, prompt, tokens) {
		return fmt.Errorf("not the complete answer to this request: %.200q", text)
	}
	return nil
}

type textBody struct {
	ID      string
	Choices []struct{ Text string }
}

// answerText returns the text of a plain answer, or the joined text of the events of a stream.
func answerText(body string) (string, error) {
	if !strings.Contains(body, "data: ") {
		var whole textBody
		if err := json.Unmarshal([]byte(body), &whole); err != nil {
			return "", err
		}
		return joinChoices(whole), nil
	}
	var text strings.Builder
	lines := bufio.NewScanner(strings.NewReader(body))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		event, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if event == "[DONE]" {
			return text.String(), nil
		}
		var part textBody
		if err := json.Unmarshal([]byte(event), &part); err != nil {
			return "", err
		}
		text.WriteString(joinChoices(part))
	}
	return "", fmt.Errorf("stream ended without [DONE]: %.200q", text.String())
}

func joinChoices(body textBody) string {
	var text strings.Builder
	for _, choice := range body.Choices {
		text.WriteString(choice.Text)
	}
	return text.String()
}

// warm waits until each instance answers a completion on each model.
func (w *world) warm(key string, models ...string) {
	w.t.Helper()
	warming := w.caller(key)
	for instance := range w.d.InstanceProcesses {
		for _, model := range models {
			var last reply
			w.eventually(fmt.Sprintf("%s answers on %s", w.d.InstanceProcesses[instance].Name, model), settleLimit, func() bool {
				last = warming.completion(instance, model, "warm up", 1)
				if !last.ok() {
					w.t.Logf("not warm yet: %s", last)
					time.Sleep(500 * time.Millisecond)
				}
				return last.ok()
			})
		}
	}
}
