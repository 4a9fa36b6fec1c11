package engine

import "time"

// The usual figures of a small engine. They are chosen for tests on a busy machine and not measured
// on a real one: tokens come about six times as fast as people expect them, so that a test ends soon.
const (
	usualSlots           = 4
	usualBatch           = 8
	usualFirstTokenDelay = 10 * time.Millisecond
	usualTokenInterval   = 5 * time.Millisecond
	usualLoadTime        = 250 * time.Millisecond
	usualReportLag       = 300 * time.Millisecond
	usualEventDelay      = 300 * time.Millisecond
	usualResumeWithin    = 3 * time.Second
	usualEventGap        = 7
	// usualMaxTokens is how many tokens a request gets that does not say.
	usualMaxTokens = 16
	// mostMaxTokens bounds what a request may ask for.
	mostMaxTokens = 100_000
	// loadLimit bounds one load from the weight store.
	loadLimit = 30 * time.Second
	// keepStreams is how long an ended stream can still be resumed.
	keepStreams = 30 * time.Second
	// maxEvents and maxRecords bound memory; prefixBytes and maxPrefixes are the prefix cache.
	maxEvents   = 1000
	maxRecords  = 100_000
	prefixBytes = 64
	maxPrefixes = 64
	// batchSlowdown is how much longer each token takes for each other request in the batch.
	batchSlowdown = 0.05
	// crashCode is the exit code after CrashOn.
	crashCode = 86
)

func (s *Server) setUsual() {
	orUsual(&s.Slots, usualSlots)
	orUsual(&s.Batch, usualBatch)
	orUsual(&s.FirstTokenDelay, usualFirstTokenDelay)
	orUsual(&s.TokenInterval, usualTokenInterval)
	orUsual(&s.LoadTime, usualLoadTime)
	orUsual(&s.ReportLag, usualReportLag)
	orUsual(&s.EventDelay, usualEventDelay)
	orUsual(&s.ResumeWithin, usualResumeWithin)
	orUsual(&s.EventGap, usualEventGap)
}

func orUsual[T int | time.Duration](field *T, usual T) {
	if *field == 0 {
		*field = usual
	}
}
