package engine

import "time"

// Defaults of a small engine, suited to tests on a busy machine. Tokens are about six times as fast as
// people expect, so that tests end quickly.
const (
	defaultSlots           = 4
	defaultBatch           = 8
	defaultFirstTokenDelay = 10 * time.Millisecond
	defaultTokenInterval   = 5 * time.Millisecond
	defaultLoadTime        = 250 * time.Millisecond
	defaultReportLag       = 300 * time.Millisecond
	defaultEventDelay      = 300 * time.Millisecond
	defaultResumeWithin    = 3 * time.Second
	defaultEventGap        = 7
	// defaultMaxTokens is the number of tokens for a request without max_tokens.
	defaultMaxTokens = 16
	// maxTokensLimit is the upper limit of max_tokens.
	maxTokensLimit = 100_000
	// loadTimeout is the timeout of one load from the weight store.
	loadTimeout = 30 * time.Second
	// streamRetention is how long an ended stream can still be resumed.
	streamRetention = 30 * time.Second
	// maxEvents and maxRecords limit memory use. prefixBytes and maxPrefixes size the prefix cache.
	maxEvents   = 1000
	maxRecords  = 100_000
	prefixBytes = 64
	maxPrefixes = 64
	// batchSlowdown is the relative increase of the token interval for each other request in the batch.
	batchSlowdown = 0.05
	// crashCode is the exit code of a crash caused by CrashOn.
	crashCode = 86
)

func (s *Server) setDefaults() {
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.Batch, defaultBatch)
	setDefault(&s.FirstTokenDelay, defaultFirstTokenDelay)
	setDefault(&s.TokenInterval, defaultTokenInterval)
	setDefault(&s.LoadTime, defaultLoadTime)
	setDefault(&s.ReportLag, defaultReportLag)
	setDefault(&s.EventDelay, defaultEventDelay)
	setDefault(&s.ResumeWithin, defaultResumeWithin)
	setDefault(&s.EventGap, defaultEventGap)
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
