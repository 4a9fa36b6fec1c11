package engine

// A generation is one request in the batch. It continues after its reader has disconnected, so that a
// reader whose connection was lost can resume the stream. If it has had no reader for ResumeWithin, it
// is abandoned and its batch slot is freed.

import (
	"sync"
	"time"
)

// generation holds the state of one running request. Readers wait on changed, which is closed and
// replaced at each token and at the end.
type generation struct {
	server   *Server
	slot     *slot
	number   int
	params   generationParams
	adapter  string
	version  string
	priority string

	mu               sync.Mutex
	tokens           int
	outcome          string
	changed          chan struct{}
	readers          int
	lastReaderLeftAt time.Time
	endedAt          time.Time
	stopped          chan struct{}
	stopOnce         sync.Once
	stopOutcome      string
}

// generationParams holds the parameters of a completion or chat completion request.
type generationParams struct {
	requestID    string
	model        string
	prompt       string
	maxTokens    int
	chat         bool
	stream       bool
	includeUsage bool
}

// run generates the tokens, one per tokenDelay.
func (g *generation) run() {
	if !g.wait(g.server.prefillDelay(g.params)) {
		return
	}
	if triggersCrash(g.server.faults.Get().CrashOn, g.params.prompt) {
		g.server.finish(g, OutcomeCrashed)
		g.server.crash()
		return
	}
	for range g.params.maxTokens {
		if !g.wait(g.server.tokenDelay()) {
			return
		}
		g.addToken()
		if g.isAbandoned(time.Now()) {
			g.server.finish(g, OutcomeAbandoned)
			return
		}
	}
	g.server.finish(g, OutcomeDone)
}

// wait sleeps for pause. If the generation is stopped meanwhile, wait finishes it and returns false.
func (g *generation) wait(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.stopped:
		g.server.finish(g, g.stopOutcome)
		return false
	}
}

// stop ends the generation with an outcome. Calls after the first have no effect.
func (g *generation) stop(outcome string) {
	g.stopOnce.Do(func() {
		g.stopOutcome = outcome
		close(g.stopped)
	})
}

func (g *generation) addToken() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens++
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) end(outcome string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcome = outcome
	g.endedAt = time.Now()
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) tokenCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens
}

// progress returns the number of tokens so far, the outcome ("" while running) and a channel that is
// closed at the next change.
func (g *generation) progress() (tokens int, outcome string, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens, g.outcome, g.changed
}

// -----------------------------------------------------------------------------------------------

func (g *generation) addReader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
}

func (g *generation) removeReader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	g.lastReaderLeftAt = time.Now()
}

func (g *generation) isAbandoned(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers == 0 && now.Sub(g.lastReaderLeftAt) > g.server.ResumeWithin
}

// isExpired reports whether the stream ended more than streamRetention ago and can no longer be resumed.
func (g *generation) isExpired(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outcome != "" && now.Sub(g.endedAt) > streamRetention
}
