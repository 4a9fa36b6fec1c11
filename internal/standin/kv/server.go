// Package kv stands in for the platform's key-value service: compare-and-swap, leases and watches,
// a rate limit, and a count of every call. On demand it is out, slow, loses the answer to a write
// that took effect, or reads one write behind.
package kv

import (
	"context"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/endpoint"
	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// Faults of the store. LoseAnswers is how many writes take effect and then have their connection
// cut. StaleReads makes reads of a key answer the value before its last write. DelayMillis holds
// every call back before anything is done.
type Faults struct {
	Outage      bool
	LoseAnswers int
	DelayMillis int
	StaleReads  bool
}

// Record is what the store ran. Counts is by call ("get", "put", "delete", "list", "watch", "lease");
// a waiting watch counts once. Refused counts calls answered 429 or 503, which are in Counts too.
type Record struct {
	Counts   map[string]int
	Refused  int
	Revision int64
	Since    time.Time
	Writes   []Write
}

// Write is one write that took effect. Lost tells that its answer was lost.
type Write struct {
	Key      string
	Revision int64
	Deleted  bool
	Lost     bool
	At       time.Time
}

// Server is the store. WritesPerSecond and ReadsPerSecond are its rates (0: the platform's usual
// ones).
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

// The platform's rates: several hundred writes and about two thousand reads a second.
const (
	usualWritesPerSecond = 400
	usualReadsPerSecond  = 2000
	// maxWrites bounds the record.
	maxWrites = 100_000
	// lapseInterval is how often lapsed leases are looked for.
	lapseInterval = 50 * time.Millisecond
	// MaxValueBytes is the largest value the store holds.
	MaxValueBytes = 1 << 20
)

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.Verb = "kv"
	s.start()
	ended, stop := context.WithCancel(ctx)
	defer stop()
	go s.loop(ended)
	control := &fault.Control[Faults]{Faults: &s.faults, Record: func() any { return s.Record() }}
	return s.Serve(ctx, s.routes(), control.Routes())
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// Record returns a copy of what the store ran so far.
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
		s.WritesPerSecond = usualWritesPerSecond
	}
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = usualReadsPerSecond
	}
	s.entries = make(map[string]entry)
	s.leases = make(map[string]lease)
	s.changed = make(chan struct{})
	s.writes = newBucket(s.WritesPerSecond)
	s.reads = newBucket(s.ReadsPerSecond)
	s.record = Record{Counts: make(map[string]int), Since: time.Now()}
}

// loop removes the keys of lapsed leases, so that watches on them end without another call.
func (s *Server) loop(ctx context.Context) {
	ticker := time.NewTicker(lapseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.lapse(time.Now())
		}
	}
}

// -----------------------------------------------------------------------------------------------

// bucket is the rate limit: one second's worth of calls at most at once.
type bucket struct {
	rate   float64
	tokens float64
	at     time.Time
}

func newBucket(rate float64) bucket {
	return bucket{rate: rate, tokens: rate, at: time.Now()}
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
