package engine

// Batching: admission of requests into the batch, and the token rate at a given batch size.

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

// slot is an adapter slot that holds one adapter version. While the version loads, the slot is occupied
// but serves no requests. The channel loaded is closed when the load has ended, also after a failure.
type slot struct {
	loading bool
	loaded  chan struct{}
	serving int
}

// admit adds a request to the batch and starts it, or returns the error code of its refusal.
func (s *Server) admit(params generationParams, request *http.Request) (g *generation, code string) {
	faults := s.faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	code = s.refusalCode(params, faults)
	if code != "" {
		s.appendLine(journalLine{Refusal: &Refusal{RequestID: params.requestID, Model: params.model, Code: code, At: time.Now()}})
		return nil, code
	}
	adapter, version, _ := strings.Cut(params.model, "@")
	g = &generation{
		server:           s,
		slot:             s.resident[params.model],
		number:           len(s.record.Requests) + 1,
		params:           params,
		adapter:          adapter,
		version:          version,
		priority:         request.Header.Get("X-Priority"),
		changed:          make(chan struct{}),
		stopped:          make(chan struct{}),
		lastReaderLeftAt: time.Now(),
	}
	s.appendLine(journalLine{Request: s.newRequestRecord(g, request)})
	g.slot.serving++
	s.running[g] = struct{}{}
	s.streams[params.requestID] = g
	go g.run()
	return g, ""
}

func (s *Server) refusalCode(params generationParams, faults Faults) string {
	if time.Now().Before(s.readyAt) {
		return codeStarting
	}
	existing, ok := s.resident[params.model]
	if !ok || existing.loading {
		return codeModelNotFound
	}
	if faults.RefuseAsFull || len(s.running) >= s.Batch {
		return codeFull
	}
	return ""
}

func (s *Server) newRequestRecord(g *generation, request *http.Request) *Request {
	others := make([]int, 0, len(s.running))
	for other := range s.running {
		others = append(others, other.number)
	}
	return &Request{
		Number:      g.number,
		RequestID:   g.params.requestID,
		Adapter:     g.adapter,
		Version:     g.version,
		Prompt:      g.params.prompt,
		Priority:    g.priority,
		Headers:     fault.Headers(request),
		MaxTokens:   g.params.maxTokens,
		StartedAt:   time.Now(),
		Outcome:     OutcomeRunning,
		Others:      others,
		Incarnation: s.incarnation,
	}
}

// finish removes a request from the batch and records its outcome.
func (s *Server) finish(g *generation, outcome string) {
	s.mu.Lock()
	delete(s.running, g)
	g.slot.serving--
	if g.number <= len(s.record.Requests) {
		ended := s.record.Requests[g.number-1]
		ended.Tokens = g.tokenCount()
		ended.EndedAt = time.Now()
		ended.Outcome = outcome
		s.appendLine(journalLine{Request: &ended})
	}
	s.mu.Unlock()
	g.end(outcome)
}

// -----------------------------------------------------------------------------------------------

// prefillDelay returns the time to the first token. It is a quarter of the normal time if the prefix
// cache holds the prefix of the prompt for this adapter version.
func (s *Server) prefillDelay(params generationParams) time.Duration {
	prefix := params.model + " " + params.prompt[:min(len(params.prompt), prefixBytes)]
	s.mu.Lock()
	defer s.mu.Unlock()
	_, cached := s.prefixes[prefix]
	if !cached {
		s.cachePrefix(prefix, params)
	}
	delay := s.applySlow(s.FirstTokenDelay)
	if cached {
		return delay / 4
	}
	return delay
}

// cachePrefix adds a prefix to the prefix cache. If the cache is full, it evicts an arbitrary entry.
func (s *Server) cachePrefix(prefix string, params generationParams) {
	if len(s.prefixes) >= maxPrefixes {
		for oldest := range s.prefixes {
			delete(s.prefixes, oldest)
			break
		}
	}
	s.prefixes[prefix] = time.Now()
	adapter, version, _ := strings.Cut(params.model, "@")
	s.publish(event{Kind: "prefix", Adapter: adapter, Version: version, Prefix: PromptHash(prefix)})
}

// tokenDelay returns the time to the next token. It grows by batchSlowdown for each other request in
// the batch.
func (s *Server) tokenDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := max(0, len(s.running)-1)
	return s.applySlow(time.Duration(float64(s.TokenInterval) * (1 + batchSlowdown*float64(others))))
}

func (s *Server) applySlow(interval time.Duration) time.Duration {
	if factor := s.faults.Get().Slow; factor > 0 {
		return time.Duration(float64(interval) * factor)
	}
	return interval
}

func triggersCrash(on, prompt string) bool {
	return on != "" && strings.Contains(prompt, on)
}
