// Package kv is a stand-in for the platform's key-value store. It has compare-and-swap, leases, watches and
// a rate limit, and counts every call. Its faults are outages, delays, lost answers to writes that took
// effect, and reads that are one write behind.
package kv

import (
	"context"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/endpoint"
	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// Faults of the store. Outage refuses every call with 503. LoseAnswers is the number of writes that take
// effect but whose connection is cut before the answer. StaleReads makes reads of a key return the value
// before its last write. DelayMillis delays every call before it is executed.
type Faults struct {
	Outage      bool
	LoseAnswers int
	DelayMillis int
	StaleReads  bool
}

// Record holds what the store ran. Counts is the number of calls by kind ("get", "put", "delete", "list",
// "watch", "lease"); a watch counts once, however long it waits. Refused counts the calls refused with
// 429 or 503, which are in Counts too.
type Record struct {
	Counts   map[string]int
	Refused  int
	Revision int64
	Since    time.Time
	Writes   []Write
}

// Write is one write that took effect. Lost is true if its answer was dropped.
type Write struct {
	Key      string
	Revision int64
	Deleted  bool
	Lost     bool
	At       time.Time
}

// Server is the store. WritesPerSecond and ReadsPerSecond are its rate limits (0: the defaults).
type Server struct {
	endpoint.Endpoint
	WritesPerSecond float64
	ReadsPerSecond  float64

	faults fault.Setting[Faults]

	mu       sync.Mutex
	entries  map[string]entry
	leases   map[string]lease
	revision int64
	changed  chan struct{}
	writes   bucket
	reads    bucket
	record   Record
}

// The platform's rate limits: several hundred writes and about two thousand reads per second.
const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	// maxWrites is the largest number of writes in the record.
	maxWrites = 100_000
	// expiryInterval is how often the store looks for expired leases.
	expiryInterval = 50 * time.Millisecond
	// MaxValueBytes is the largest size of a value.
	MaxValueBytes = 1 << 20
)

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.Verb = "kv"
	s.start()
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	go s.loop(runCtx)
	control := &fault.Control[Faults]{Faults: &s.faults, Record: func() any { return s.Record() }}
	return s.Serve(ctx, s.routes(), control.Routes())
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// Record returns a copy of the record so far.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.record
	copied.Counts = make(map[string]int, len(s.record.Counts))
	for call, count := range s.record.Counts {
		copied.Counts[call] = count
	}
	copied.Writes = append([]Write(nil), s.record.Writes...)
	copied.Revision = s.revision
	return copied
}

func (s *Server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = defaultWritesPerSecond
	}
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = defaultReadsPerSecond
	}
	s.entries = make(map[string]entry)
	s.leases = make(map[string]lease)
	s.changed = make(chan struct{})
	s.writes = newBucket(s.WritesPerSecond)
	s.reads = newBucket(s.ReadsPerSecond)
	s.record = Record{Counts: make(map[string]int), Since: time.Now()}
}

// loop deletes the keys of expired leases.
func (s *Server) loop(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.expireLeases(time.Now())
		}
	}
}

// -----------------------------------------------------------------------------------------------

// bucket is a token bucket. Its burst is the number of calls of one second.
type bucket struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
}

func newBucket(rate float64) bucket {
	return bucket{rate: rate, tokens: rate, refilledAt: time.Now()}
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
