package engine

// The batch: which requests run together, on which resident adapter versions, and how fast.

import (
	"net/http"
	"strings"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// Codes of refused requests and orders.
const (
	codeModelNotFound = "model_not_found"
	codeFull          = "engine_full"
	codeStarting      = "engine_starting"
	codeBadRequest    = "invalid_request_error"
)

// slot holds one adapter version. While it loads it takes its place but serves nothing; loaded closes
// when the load has ended.
type slot struct {
	loading bool
	loaded  chan struct{}
	serving int
}

// begin puts a request into the batch, or returns the code of its refusal.
func (s *Server) begin(asked ask, request *http.Request) (g *generation, code string) {
	faults := s.faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	code = s.refusal(asked, faults)
	if code != "" {
		s.note(line{Refusal: &Refusal{RequestID: asked.requestID, Model: asked.model, Code: code, At: time.Now()}})
		return nil, code
	}
	adapter, version, _ := strings.Cut(asked.model, "@")
	g = &generation{
		owner:    s,
		slot:     s.resident[asked.model],
		number:   len(s.record.Requests) + 1,
		ask:      asked,
		adapter:  adapter,
		version:  version,
		priority: request.Header.Get("X-Priority"),
		changed:  make(chan struct{}),
		cancel:   make(chan struct{}),
		leftAt:   time.Now(),
	}
	s.note(line{Request: s.begun(g, request)})
	g.slot.serving++
	s.running[g] = struct{}{}
	s.streams[asked.requestID] = g
	go g.run()
	return g, ""
}

func (s *Server) refusal(asked ask, faults Faults) string {
	if time.Now().Before(s.warmAt) {
		return codeStarting
	}
	held, ok := s.resident[asked.model]
	if !ok || held.loading {
		return codeModelNotFound
	}
	if faults.RefuseAsFull || len(s.running) >= s.Batch {
		return codeFull
	}
	return ""
}

func (s *Server) begun(g *generation, request *http.Request) *Request {
	others := make([]int, 0, len(s.running))
	for other := range s.running {
		others = append(others, other.number)
	}
	return &Request{
		Number:      g.number,
		RequestID:   g.ask.requestID,
		Adapter:     g.adapter,
		Version:     g.version,
		Prompt:      g.ask.prompt,
		Priority:    g.priority,
		Headers:     fault.Headers(request),
		MaxTokens:   g.ask.maxTokens,
		StartedAt:   time.Now(),
		Outcome:     OutcomeRunning,
		Others:      others,
		Incarnation: s.incarnation,
	}
}

// finish takes a request out of the batch and notes its end.
func (s *Server) finish(g *generation, outcome string) {
	s.mu.Lock()
	delete(s.running, g)
	g.slot.serving--
	if g.number <= len(s.record.Requests) {
		ended := s.record.Requests[g.number-1]
		ended.Tokens = g.count()
		ended.EndedAt = time.Now()
		ended.Outcome = outcome
		s.note(line{Request: &ended})
	}
	s.mu.Unlock()
	g.end(outcome)
}

// -----------------------------------------------------------------------------------------------

// prefill is how long the first token of a request takes to prepare: a quarter when the prefix of its
// prompt was seen on this adapter version lately.
func (s *Server) prefill(asked ask) time.Duration {
	prefix := asked.model + " " + asked.prompt[:min(len(asked.prompt), prefixBytes)]
	s.mu.Lock()
	defer s.mu.Unlock()
	_, cached := s.prefixes[prefix]
	if !cached {
		s.remember(prefix, asked)
	}
	delay := s.slowed(s.FirstTokenDelay)
	if cached {
		return delay / 4
	}
	return delay
}

// remember puts a prefix into the cache, in place of any other when it is full.
func (s *Server) remember(prefix string, asked ask) {
	if len(s.prefixes) >= maxPrefixes {
		for oldest := range s.prefixes {
			delete(s.prefixes, oldest)
			break
		}
	}
	s.prefixes[prefix] = time.Now()
	adapter, version, _ := strings.Cut(asked.model, "@")
	s.publish(event{Kind: "prefix", Adapter: adapter, Version: version, Prefix: PromptHash(prefix)})
}

// pace is the time to the next token: a little longer for each other request in the batch.
func (s *Server) pace() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := max(0, len(s.running)-1)
	return s.slowed(time.Duration(float64(s.TokenInterval) * (1 + batchSlowdown*float64(others))))
}

func (s *Server) slowed(interval time.Duration) time.Duration {
	if factor := s.faults.Get().Slow; factor > 0 {
		return time.Duration(float64(interval) * factor)
	}
	return interval
}

func crashes(on, prompt string) bool {
	return on != "" && strings.Contains(prompt, on)
}
