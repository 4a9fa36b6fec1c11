package engine

// A generation is one request in the batch. It runs to its end whether or not its reader is still
// connected, so that a reader whose connection was lost can resume; when nobody has read it for
// ResumeWithin it is given up, and its batch place is free again.

import (
	"sync"
	"time"
)

// generation holds the tokens generated so far. Readers wait on changed, which closes with each
// token and at the end.
type generation struct {
	owner    *Server
	slot     *slot
	number   int
	ask      ask
	adapter  string
	version  string
	priority string

	mu      sync.Mutex
	tokens  int
	outcome string
	changed chan struct{}
	readers int
	leftAt  time.Time
	endedAt time.Time
	cancel  chan struct{}
	once    sync.Once
	verdict string
}

// ask is what a request asked for, whichever of the two calls it came by.
type ask struct {
	requestID    string
	model        string
	prompt       string
	maxTokens    int
	chat         bool
	stream       bool
	includeUsage bool
}

// run generates the tokens at the pace of the batch.
func (g *generation) run() {
	if !g.wait(g.owner.prefill(g.ask)) {
		return
	}
	if crashes(g.owner.faults.Get().CrashOn, g.ask.prompt) {
		g.owner.finish(g, OutcomeCrashed)
		g.owner.crash()
		return
	}
	for range g.ask.maxTokens {
		if !g.wait(g.owner.pace()) {
			return
		}
		g.add()
		if g.abandoned(time.Now()) {
			g.owner.finish(g, OutcomeAbandoned)
			return
		}
	}
	g.owner.finish(g, OutcomeDone)
}

// wait pauses, and reports false when the generation was stopped meanwhile; it has then ended.
func (g *generation) wait(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.cancel:
		g.owner.finish(g, g.verdict)
		return false
	}
}

// stop ends the generation with an outcome; only the first stop counts.
func (g *generation) stop(outcome string) {
	g.once.Do(func() {
		g.verdict = outcome
		close(g.cancel)
	})
}

func (g *generation) add() {
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

func (g *generation) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens
}

// progress returns the tokens so far, the outcome ("" while running) and what closes at the next
// change.
func (g *generation) progress() (tokens int, outcome string, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens, g.outcome, g.changed
}

// -----------------------------------------------------------------------------------------------

func (g *generation) join() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
}

func (g *generation) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	g.leftAt = time.Now()
}

func (g *generation) abandoned(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers == 0 && now.Sub(g.leftAt) > g.owner.ResumeWithin
}

// forgotten tells whether the stream ended so long ago that it cannot be resumed any more.
func (g *generation) forgotten(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outcome != "" && now.Sub(g.endedAt) > keepStreams
}
