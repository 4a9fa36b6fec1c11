package integration

// Calls as a co-operative's member makes them, and what came back, checked against what the caller
// asked for.

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

// reply is what came back. err is set when no whole answer came: no connection, a reset, a cut body.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// run is what the reply says about the request: "not-run", "ran", "unknown" or nothing.
func (r reply) run() string { return r.header.Get("X-Run") }

// ok tells whether the answer came whole, as a caller sees it: a stream that ended with an error event
// did not, and says so.
func (r reply) ok() bool {
	return r.err == nil && r.status == http.StatusOK && !strings.Contains(r.body, errorEvent)
}

// errorEvent begins the event by which a stream tells that it cannot go on.
const errorEvent = `data: {"error"`

func (r reply) String() string {
	return fmt.Sprintf("status %d, X-Run %q, error %v, body %.200q", r.status, r.run(), r.err, r.body)
}

// outcome names the reply in a tally: "answered", the code of its refusal, or how it broke.
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

// tally counts outcomes.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (s *tally) add(outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[string]int)
	}
	s.counts[outcome]++
}

func (s *tally) count(outcome string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[outcome]
}

func (s *tally) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.counts)
}

// caller keeps its connections open, as members' clients do.
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

func (c *caller) within(limit time.Duration) *caller {
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
	// The test's client must not send a call again by itself.
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

// completion asks for a completion and gives the reply as it came.
func (c *caller) completion(instance int, model, prompt string, tokens int) reply {
	return c.send(instance, http.MethodPost, "/v1/completions", completionBody(model, prompt, tokens, false), nil)
}

// stream asks for a streamed completion and reads it to its end.
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

// book sends a booking that must run at most once. One that is refused as malformed proves nothing.
func (c *caller) book(instance int, idempotencyKey, body string) reply {
	came := c.send(instance, http.MethodPost, "/services/"+deployment.BookingService+"/orders", body,
		map[string]string{"Idempotency-Key": idempotencyKey})
	if came.status == http.StatusBadRequest {
		c.w.t.Errorf("the test's own booking is malformed: %s", came)
	}
	return came
}

// -----------------------------------------------------------------------------------------------

// checkText tells what is wrong with an answer: it must be the whole text for this prompt, on the
// adapter version asked for and named by the answer.
func checkText(r reply, model, prompt string, tokens int) error {
	if served := r.header.Get("X-Served-Model"); served != model {
		return fmt.Errorf("served by %q, asked for %q", served, model)
	}
	text, err := textOf(r.body)
	if err != nil {
		return err
	}
	if text != engine.Text(model, prompt, tokens) {
		return fmt.Errorf("not the whole answer to this request: %.200q", text)
	}
	return nil
}

type textBody struct {
	ID      string
	Choices []struct{ Text string }
}

// textOf joins the text of a plain answer or of the events of a stream.
func textOf(body string) (string, error) {
	if !strings.Contains(body, "data: ") {
		var whole textBody
		if err := json.Unmarshal([]byte(body), &whole); err != nil {
			return "", err
		}
		return joined(whole), nil
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
		text.WriteString(joined(part))
	}
	return "", fmt.Errorf("stream without an end: %.200q", text.String())
}

func joined(body textBody) string {
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
					w.t.Logf("not yet warm: %s", last)
					time.Sleep(500 * time.Millisecond)
				}
				return last.ok()
			})
		}
	}
}
