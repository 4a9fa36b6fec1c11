package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// BenchmarkMerge merges the state of one peer after many crashes: 64 records, where as many are known as are kept.
func BenchmarkMerge(b *testing.B) {
	tracker := newTracker()
	now := time.Now()
	for i := range suspect.DefaultSettings().MaxFingerprints {
		tracker.RecordCrash(now, suspect.Crash(i), []suspect.Fingerprint{suspect.Fingerprint(fmt.Sprint(i))})
	}
	var records []suspect.Record
	for i := range 64 {
		records = append(records, suspect.Record{Fingerprint: suspect.Fingerprint(fmt.Sprint(i)), Crashes: []suspect.Crash{suspect.Crash(i)}})
	}
	for b.Loop() {
		tracker.Merge(now, records)
	}
}

// storm returns a tracker that knows many crashes under one bad part, with sound requests of other parts beside, as many
// instances see them, and the time of it.
func storm() (tracker *suspect.Tracker, now time.Time) {
	const (
		crashes  = 300
		inFlight = 12
	)
	tracker, now = newTracker(), time.Now()
	for crash := range crashes {
		life := traffic.Life{Upstream: "u", StartedMillis: int64(crash)}
		for number := range inFlight {
			prompt := parts("first", fmt.Sprint("subject ", (crash+number)%100))
			if number == 0 {
				prompt = parts("first", "bad")
			}
			fingerprint := suspect.FingerprintOf("w", "m", fmt.Append(nil, crash, number))
			tracker.RecordUnfinished(now, life, suspect.Attempt{Fingerprint: fingerprint, Parts: prompt, Began: now})
		}
		tracker.RecordEnd(now, life)
	}
	return tracker, now.Add(settled)
}

// BenchmarkJudge judges a thousand requests a second in a storm, each after a change of what is known.
func BenchmarkJudge(b *testing.B) {
	tracker, now := storm()
	prompt := parts("first", "subject 1")
	for crash := 0; b.Loop(); crash++ {
		if crash%10_000 == 0 { // before all that expires
			tracker, now = storm()
		}
		now = now.Add(time.Millisecond)
		tracker.RecordCrash(now, suspect.Crash(crash%1000), []suspect.Fingerprint{"changes"})
		tracker.Judge(now, "new", prompt...)
	}
}

// BenchmarkRecords lists what the heartbeat of an instance in a storm carries, and reports its size.
func BenchmarkRecords(b *testing.B) {
	tracker, now := storm()
	var records []suspect.Record
	for b.Loop() {
		records = tracker.Records(now)
	}
	numbers := 0
	for _, record := range records {
		numbers += len(record.Crashes) + len(record.Cleared) + len(record.Requests)
	}
	b.ReportMetric(float64(len(records)), "records")
	b.ReportMetric(float64(numbers), "numbers")
}

// BenchmarkMergeStorm merges that heartbeat at an instance that knows it.
func BenchmarkMergeStorm(b *testing.B) {
	tracker, now := storm()
	records := tracker.Records(now)
	for b.Loop() {
		tracker.Merge(now, records)
	}
}
