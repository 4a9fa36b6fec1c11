package suspect_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

func newTracker() *suspect.Tracker {
	return &suspect.Tracker{Settings: suspect.DefaultSettings()}
}

func verdict(tracker *suspect.Tracker, f suspect.Fingerprint) suspect.Verdict {
	v, _ := tracker.Judge(time.Now(), f)
	return v
}

// Guards against counts that are not shared. A caller retries a request that crashes engines, each time at another
// instance, and each instance would lose engines to it.
func TestThirdCrashIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newTracker(), newTracker()
		bad := suspect.FingerprintOf("w", "bids@v1", []byte("body"))
		a.RecordCrash(time.Now(), []suspect.Fingerprint{bad, "innocent"})
		b.SetPeerCounts(time.Now(), "a", a.LocalCounts(time.Now()))
		is.Equal(verdict(b, bad), suspect.Apart)
		b.RecordCrash(time.Now(), []suspect.Fingerprint{bad})
		a.SetPeerCounts(time.Now(), "b", b.LocalCounts(time.Now()))
		a.SetPeerCounts(time.Now(), "b", b.LocalCounts(time.Now())) // a duplicate heartbeat has no effect
		is.Equal(verdict(a, bad), suspect.Alone)
		is.Equal(verdict(a, "innocent"), suspect.Apart)
		a.RecordCrash(time.Now(), []suspect.Fingerprint{bad})
		refused, retryAfter := a.Judge(time.Now(), bad)
		is.Equal(refused, suspect.Refused)
		is.True(retryAfter > 0)
		time.Sleep(suspect.DefaultSettings().Retention + time.Second)
		b.SetPeerCounts(time.Now(), "a", a.LocalCounts(time.Now()))
		is.Equal(verdict(b, bad), suspect.Free)
	})
}

// Guards against refusing requests that only shared a batch with the cause of a crash. A request that runs to
// completion alone is unrestricted again at every instance.
func TestCompletionClearsSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newTracker(), newTracker()
		a.RecordCrash(time.Now(), []suspect.Fingerprint{"innocent"})
		a.RecordCrash(time.Now(), []suspect.Fingerprint{"innocent"})
		b.SetPeerCounts(time.Now(), "a", a.LocalCounts(time.Now()))
		is.Equal(verdict(b, "innocent"), suspect.Alone)
		b.RecordCompletion(time.Now(), "innocent")
		a.SetPeerCounts(time.Now(), "b", b.LocalCounts(time.Now()))
		is.Equal(verdict(a, "innocent"), suspect.Free)
		is.Equal(verdict(b, "innocent"), suspect.Free)
	})
}

// Guards against unbounded memory when a flood of different requests crashes engines. Only the latest fingerprints
// are kept.
func TestTrackerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTracker()
		r.Settings.MaxFingerprints = 10
		for i := range 100 {
			time.Sleep(time.Second)
			r.RecordCrash(time.Now(), []suspect.Fingerprint{suspect.FingerprintOf("w", "m", []byte{byte(i)})})
		}
		is.Equal(len(r.LocalCounts(time.Now())), 10)
	})
}
