package engine_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

const (
	requestedModel = "bids@2"
	requestID      = "request-1"
)

// fakeEngine implements the engine protocol and generates the tokens t1, t2, ... without delay. If
// set, intercept may respond to an exchange instead; number counts the exchanges from 1.
type fakeEngine struct {
	tokens    int
	intercept func(number int, w http.ResponseWriter, r *http.Request) bool

	server    *httptest.Server
	mu        sync.Mutex
	exchanges int
	runs      int
	cancels   int
	known     map[string]bool
}

func (e *fakeEngine) start(t *testing.T) string {
	t.Helper()
	e.known = map[string]bool{}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	return e.server.Listener.Addr().String()
}

func (e *fakeEngine) counts() (runs, cancels int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs, e.cancels
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	e.mu.Lock()
	e.exchanges++
	number := e.exchanges
	id := r.Header.Get("X-Request-Id")
	known := e.known[id]
	if r.Method == http.MethodPost {
		e.runs++
		e.known[id] = true
	}
	if r.Method == http.MethodDelete {
		e.cancels++
	}
	e.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Served-Model", requestedModel)
	if e.intercept != nil && e.intercept(number, w, r) {
		return
	}
	from := 0
	fmt.Sscan(r.URL.Query().Get("from"), &from)
	switch {
	case r.Method == http.MethodDelete:
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodGet && !known:
		w.WriteHeader(http.StatusNotFound)
	default:
		sendEvents(w, id, from, e.tokens)
	}
}

// sendEvents sends the tokens after from, the finish reason, the usage and [DONE].
func sendEvents(w http.ResponseWriter, id string, from, tokens int) {
	for n := from + 1; n <= tokens; n++ {
		sendToken(w, id, n)
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n", tokens, id)
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":%d}}\n\n", tokens, id, tokens)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// sendToken sends one token. Its text differs if the ID is that of another request.
func sendToken(w http.ResponseWriter, id string, n int) {
	letter := "t"
	if id != requestID {
		letter = "x"
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"model\":%q,\"choices\":[{\"index\":0,\"text\":\"%s%d \"}]}\n\n", n, id, requestedModel, letter, n)
	w.(http.Flusher).Flush()
}

// ---------------------------------------------------------------------------------------------

// textSink concatenates the tokens. If fail is above zero, the sink fails at that event.
type textSink struct {
	mu     sync.Mutex
	begun  int
	events int
	text   string
	fail   int
	slow   time.Duration
}

func (s *textSink) Begin(string) error {
	s.begun++
	return nil
}

func (s *textSink) Event(event stream.Event, _ int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events++
	if s.fail > 0 && s.events >= s.fail {
		return io.ErrClosedPipe
	}
	time.Sleep(s.slow)
	var chunk struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return err
	}
	for _, choice := range chunk.Choices {
		s.text += choice.Text
	}
	return nil
}

func fullText(tokens int) string {
	var text strings.Builder
	for n := 1; n <= tokens; n++ {
		fmt.Fprintf(&text, "t%d ", n)
	}
	return text.String()
}

// shortLimits make the failure cases end quickly. No test asserts their values.
func shortLimits() engine.Limits {
	limits := engine.DefaultLimits()
	limits.FirstTokenTimeout = 300 * time.Millisecond
	limits.InterTokenTimeout = 300 * time.Millisecond
	limits.MaxResumes = 2
	return limits
}

func dispatch() engine.Dispatch {
	return engine.Dispatch{ID: requestID, API: completion.Text, Model: requestedModel, Body: []byte(`{"model":"bids@2"}`)}
}

// faultCounter counts the faults that a client reports.
type faultCounter struct {
	mu     sync.Mutex
	counts map[engine.Fault]int
}

func (f *faultCounter) observe(fault engine.Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[engine.Fault]int{}
	}
	f.counts[fault]++
}

func (f *faultCounter) count(fault engine.Fault) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[fault]
}

// ---------------------------------------------------------------------------------------------

// cutProxy forwards connections and cuts the first one after the given number of bytes of the
// request or of the response; a negative limit means never.
type cutProxy struct {
	target        string
	requestLimit  int
	responseLimit int

	mu            sync.Mutex
	connections   int
	requestBytes  int
	responseBytes int
}

func (p *cutProxy) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go p.run(listener)
	return listener.Addr().String()
}

func (p *cutProxy) run(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.connections++
		first := p.connections == 1
		p.mu.Unlock()
		go p.forward(caller, first)
	}
}

func (p *cutProxy) forward(caller net.Conn, first bool) {
	defer caller.Close()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	requestLimit, responseLimit := -1, -1
	if first {
		requestLimit, responseLimit = p.requestLimit, p.responseLimit
	}
	ended := make(chan struct{}, 2)
	copyUpTo := func(to io.Writer, from io.Reader, limit int, copiedBytes *int) {
		source := from
		if limit >= 0 {
			source = io.LimitReader(from, int64(limit))
		}
		copied, _ := io.Copy(to, source)
		if limit >= 0 {
			from.Read(make([]byte, 1)) // cut when the next byte arrives, not before
		}
		p.mu.Lock()
		*copiedBytes += int(copied)
		p.mu.Unlock()
		ended <- struct{}{}
	}
	go copyUpTo(upstream, caller, requestLimit, &p.requestBytes)
	go copyUpTo(caller, upstream, responseLimit, &p.responseBytes)
	<-ended
	caller.Close()
	upstream.Close()
	<-ended
}

// measureExchange returns the size in bytes of the request and of the response of an uncut
// exchange.
func measureExchange(t *testing.T, target string) (request, response int) {
	t.Helper()
	proxy := &cutProxy{target: target, requestLimit: -1, responseLimit: -1}
	client := &engine.Client{Address: proxy.start(t), Limits: shortLimits()}
	client.Complete(t.Context(), dispatch(), &textSink{})
	for {
		proxy.mu.Lock()
		request, response = proxy.requestBytes, proxy.responseBytes
		proxy.mu.Unlock()
		if request > 0 && response > 0 {
			return request, response
		}
		time.Sleep(time.Millisecond)
	}
}
