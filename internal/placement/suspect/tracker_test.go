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
	return tracker.Judge(time.Now(), f).Verdict
}

// Guards against counts that are not shared. A caller retries a request that crashes engines, each time at another
// instance, and each instance would lose engines to it.
func TestThirdCrashIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newTracker(), newTracker()
		bad := suspect.FingerprintOf("w", "bids@v1", []byte("body"))
		a.RecordCrash(time.Now(), 1, []suspect.Fingerprint{bad, "innocent"})
		b.Merge(time.Now(), a.Records(time.Now()))
		is.Equal(verdict(b, bad), suspect.Apart)
		b.RecordCrash(time.Now(), 2, []suspect.Fingerprint{bad})
		a.Merge(time.Now(), b.Records(time.Now()))
		a.Merge(time.Now(), b.Records(time.Now())) // a duplicate heartbeat has no effect
		is.Equal(verdict(a, bad), suspect.Alone)
		is.Equal(verdict(a, "innocent"), suspect.Apart)
		a.RecordCrash(time.Now(), 3, []suspect.Fingerprint{bad})
		judged := a.Judge(time.Now(), bad)
		is.Equal(judged.Verdict, suspect.Refused)
		is.True(judged.RetryAfter > 0)
		time.Sleep(suspect.DefaultSettings().Retention + time.Second)
		b.Merge(time.Now(), a.Records(time.Now()))
		is.Equal(verdict(b, bad), suspect.Free)
	})
}

// Guards against refusing requests that only shared a batch with the cause of a crash. A request that runs to
// completion alone is unrestricted again at every instance.
func TestCompletionClearsSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newTracker(), newTracker()
		a.RecordCrash(time.Now(), 1, []suspect.Fingerprint{"innocent"})
		a.RecordCrash(time.Now(), 2, []suspect.Fingerprint{"innocent"})
		b.Merge(time.Now(), a.Records(time.Now()))
		is.Equal(verdict(b, "innocent"), suspect.Alone)
		b.RecordCompletion(time.Now(), "innocent")
		a.Merge(time.Now(), b.Records(time.Now()))
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
			r.RecordCrash(time.Now(), suspect.Crash(i), []suspect.Fingerprint{suspect.FingerprintOf("w", "m", []byte{byte(i)})})
		}
		is.Equal(len(r.Records(time.Now())), 10)
	})
}

// Guards against counts that end with the process that made them: what an instance has observed of a request that crashes
// upstreams is passed on by its peers, also to the instance itself when it has started again.
func TestCrashesOutliveTheProcessThatObservedThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newTracker(), newTracker()
		for crash := range suspect.Crash(3) {
			a.RecordCrash(time.Now(), crash, []suspect.Fingerprint{"bad"})
		}
		b.Merge(time.Now(), a.Records(time.Now()))
		a = newTracker()
		b.Merge(time.Now(), a.Records(time.Now())) // it has observed nothing
		is.Equal(verdict(b, "bad"), suspect.Refused)
		a.Merge(time.Now(), b.Records(time.Now()))
		is.Equal(verdict(a, "bad"), suspect.Refused)
	})
}

// Guards against one crash that counts several times, because requests of the same content were in flight there, at
// several instances. A caller that polls would be refused for one crash.
func TestCrashCountsOnceHoweverManyRequestsWereInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newTracker(), newTracker()
		a.RecordCrash(time.Now(), 1, []suspect.Fingerprint{"poll", "poll", "poll"})
		b.RecordCrash(time.Now(), 1, []suspect.Fingerprint{"poll"})
		a.Merge(time.Now(), b.Records(time.Now()))
		is.Equal(a.Crashes("poll"), 1)
	})
}

// Guards against records that are passed back and forth between instances and never expire.
func TestRecordsExpireEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		trackers := []*suspect.Tracker{newTracker(), newTracker(), newTracker()}
		for crash := range suspect.Crash(3) {
			trackers[0].RecordCrash(time.Now(), crash, []suspect.Fingerprint{"bad"})
		}
		for end := time.Now().Add(suspect.DefaultSettings().Retention + time.Minute); time.Now().Before(end); {
			var sent [][]suspect.Record
			for _, from := range trackers {
				sent = append(sent, from.Records(time.Now()))
			}
			time.Sleep(250 * time.Millisecond)
			for i, records := range sent {
				trackers[(i+1)%len(trackers)].Merge(time.Now(), records)
			}
		}
		for _, tracker := range trackers {
			is.Equal(verdict(tracker, "bad"), suspect.Free)
			is.Equal(len(tracker.Records(time.Now())), 0)
		}
	})
}

// Guards against a store that is filled by each crash, and against a request that crashes upstreams and is not stored.
func TestOnlyWhatTheStoreLacksIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const most = 16
		a, b := newTracker(), newTracker()
		a.RecordCrash(time.Now(), 1, []suspect.Fingerprint{"bad", "innocent"})
		is.Equal(len(a.Unstored(time.Now(), most)), 0)
		b.Merge(time.Now(), a.Records(time.Now()))
		b.RecordCrash(time.Now(), 2, []suspect.Fingerprint{"bad"})
		records := b.Unstored(time.Now(), most)
		is.Equal(records, []suspect.Record{{Fingerprint: "bad", Crashes: []suspect.Crash{1, 2}, Ages: make([]time.Duration, 2)}})
		b.MergeStored(time.Now(), records[0])
		is.Equal(len(b.Unstored(time.Now(), most)), 0)
		a.MergeStored(time.Now(), records[0])
		is.Equal(len(a.Unstored(time.Now(), most)), 0)
		a.RecordCompletion(time.Now(), "bad")
		is.Equal(a.Unstored(time.Now(), most)[0].Cleared, []suspect.Crash{1, 2})
	})
}
