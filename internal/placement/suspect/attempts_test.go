package suspect_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// Guards against crashes that count only if one connection attempt at one moment finds them: the sign that an upstream has
// ended may come long after its response broke, or before its caller's time is over.
func TestAttemptCountsWheneverItsUpstreamIsFoundToHaveEnded(t *testing.T) {
	life := traffic.Life{Upstream: "u", StartedMillis: 1}
	record := func(tracker *suspect.Tracker, began time.Time) {
		tracker.RecordUnfinished(time.Now(), life, suspect.Attempt{Fingerprint: "bad", Began: began})
	}
	tests := []struct {
		name    string
		happens func(tracker *suspect.Tracker)
		crashes int
	}{
		{"the end is known at once", func(tracker *suspect.Tracker) {
			record(tracker, time.Now())
			tracker.RecordEnd(time.Now(), life)
		}, 1},
		{"the entry is removed seconds later", func(tracker *suspect.Tracker) {
			record(tracker, time.Now())
			time.Sleep(4 * time.Second)
			tracker.RecordExpiry(time.Now(), life)
		}, 1},
		{"the attempt waits on when the end is known", func(tracker *suspect.Tracker) {
			began := time.Now()
			time.Sleep(time.Second)
			tracker.RecordEnd(time.Now(), life)
			time.Sleep(14 * time.Second)
			record(tracker, began)
		}, 1},
		{"several signs of one end", func(tracker *suspect.Tracker) {
			record(tracker, time.Now())
			tracker.RecordEnd(time.Now(), life)
			record(tracker, time.Now())
			tracker.RecordExpiry(time.Now(), life)
		}, 1},
		{"the attempt ended long before", func(tracker *suspect.Tracker) {
			record(tracker, time.Now())
			time.Sleep(20 * time.Second)
			tracker.RecordEnd(time.Now(), life)
		}, 0},
		{"another life ends", func(tracker *suspect.Tracker) {
			record(tracker, time.Now())
			tracker.RecordEnd(time.Now(), traffic.Life{Upstream: "u", StartedMillis: 2})
		}, 0},
		{"the entry expires in an outage and comes back", func(tracker *suspect.Tracker) {
			record(tracker, time.Now())
			tracker.RecordExpiry(time.Now(), life)
			time.Sleep(time.Second)
			tracker.RecordAlive(time.Now(), life)
		}, 0},
		{"an old entry arrives after the end", func(tracker *suspect.Tracker) {
			record(tracker, time.Now())
			tracker.RecordEnd(time.Now(), life)
			tracker.RecordAlive(time.Now(), life)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTracker()
				tt.happens(tracker)
				is.New(t).Equal(tracker.Crashes("bad"), tt.crashes)
			})
		})
	}
}

// Guards against unbounded memory when a flood of attempts breaks. Only the latest are kept.
func TestUnfinishedAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := newTracker()
		life := traffic.Life{Upstream: "u"}
		for i := range 10_000 {
			fingerprint := suspect.FingerprintOf("w", "m", []byte{byte(i), byte(i >> 8)})
			tracker.RecordUnfinished(time.Now(), life, suspect.Attempt{Fingerprint: fingerprint})
		}
		is.True(len(tracker.RecordEnd(time.Now(), life)) < 5000)
	})
}
