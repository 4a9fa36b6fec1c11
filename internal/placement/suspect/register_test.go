package suspect_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

func newRegister() *suspect.Tracker {
	return &suspect.Tracker{Settings: suspect.DefaultSettings()}
}

func verdict(r *suspect.Tracker, f suspect.Fingerprint) suspect.Verdict {
	v, _ := r.Judge(time.Now(), f)
	return v
}

// A request crashes each engine that runs it, and its caller sends it again, each time to another
// instance. Without shared counts every instance would lose engines to it anew.
func TestThirdCrashRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newRegister(), newRegister()
		bad := suspect.FingerprintOf("w", "bids@v1", []byte("body"))
		a.RecordCrash(time.Now(), []suspect.Fingerprint{bad, "innocent"})
		b.SetPeerCounts(time.Now(), "a", a.LocalCounts(time.Now()))
		is.Equal(verdict(b, bad), suspect.Apart)
		b.RecordCrash(time.Now(), []suspect.Fingerprint{bad})
		a.SetPeerCounts(time.Now(), "b", b.LocalCounts(time.Now()))
		a.SetPeerCounts(time.Now(), "b", b.LocalCounts(time.Now())) // a heartbeat told twice counts once
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

// Requests that only shared a batch with the one that crashes must not be shut out with it: one that
// runs to its end alone is as free as before, at every instance.
func TestInnocentIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newRegister(), newRegister()
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

// A flood of different requests crashes engines. The register keeps the latest and stays bounded.
func TestRegisterIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRegister()
		r.Settings.MaxFingerprints = 10
		for i := range 100 {
			time.Sleep(time.Second)
			r.RecordCrash(time.Now(), []suspect.Fingerprint{suspect.FingerprintOf("w", "m", []byte{byte(i)})})
		}
		is.Equal(len(r.LocalCounts(time.Now())), 10)
	})
}
