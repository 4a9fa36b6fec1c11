package suspect_test

import (
	"fmt"
	"testing"
	"time"

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
