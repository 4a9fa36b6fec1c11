// Package suspect detects poisonous requests: requests that crash each upstream that runs them. Every instance
// counts, by the fingerprints of its own requests, the crashes that they were in flight at, and shares the counts in
// heartbeats. The caller reads the runtime's clock and passes the time in.
package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"
)

// fingerprintBytes is the truncated length of the hash. With 16 bytes a collision is unlikely for any number of
// requests that a fleet serves.
const fingerprintBytes = 16

// Fingerprint identifies the content of a request, so that a retry by the caller is recognized.
type Fingerprint string

// Count holds the observations of one instance for a fingerprint: the crashes that the request was in flight at, and
// how many of those were cleared because it ran to completion later.
type Count struct {
	Fingerprint Fingerprint
	Crashes     int
	Cleared     int
}

// Verdict is how a request may run.
type Verdict string

// The verdicts.
const (
	// Free: with any other requests.
	Free Verdict = "free"
	// Apart: with other requests, few of which are suspect. Otherwise requests that shared a batch with the cause
	// would share the next one with it too, and all of them would have to run alone.
	Apart Verdict = "apart"
	// Alone: as the only request on the upstream. A further crash then affects no other request and proves the cause.
	Alone Verdict = "alone"
	// Refused: not at all, because it crashed an upstream on which it ran alone.
	Refused Verdict = "refused"
)

// Settings of the crash tracking.
type Settings struct {
	// ApartAfter, AloneAfter and RefuseAfter are the numbers of crashes after which a request runs apart from other
	// suspects, runs alone, or is refused.
	ApartAfter  int
	AloneAfter  int
	RefuseAfter int
	// Retention is how long a fingerprint is kept after its last crash.
	Retention time.Duration
	// MaxFingerprints is the maximum number of fingerprints that an instance keeps of its own requests.
	MaxFingerprints int
}

// DefaultSettings limit a request to three crashes within ten minutes.
func DefaultSettings() Settings {
	return Settings{ApartAfter: 1, AloneAfter: 2, RefuseAfter: 3, Retention: 10 * time.Minute, MaxFingerprints: 1024}
}

// Tracker tracks crash counts. Set the exported field before use. It is not safe for concurrent use.
//
// It stops a caller that retries a request which crashes each upstream that runs it. Otherwise each retry would crash
// one more upstream, with all requests in the same batch.
type Tracker struct {
	Settings Settings

	local map[Fingerprint]localCount
	peers map[string]peerCounts
}

// peerCounts are the latest counts of a peer and when they were received.
type peerCounts struct {
	counts     map[Fingerprint]Count
	receivedAt time.Time
}

// localCount is a count of this instance and the time of its last change.
type localCount struct {
	Count
	changedAt time.Time
}

// FingerprintOf returns the fingerprint of a request. Retries with the same body have the same fingerprint.
func FingerprintOf(workspace, model string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{workspace, model} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}

// RecordCrash records that an upstream crashed while these requests of this instance were in flight there.
func (t *Tracker) RecordCrash(now time.Time, inFlight []Fingerprint) {
	t.initialize()
	t.dropExpired(now)
	for _, fingerprint := range inFlight {
		count := t.local[fingerprint]
		count.Fingerprint = fingerprint
		count.Crashes++
		count.changedAt = now
		t.local[fingerprint] = count
	}
	for len(t.local) > t.Settings.MaxFingerprints {
		t.dropOldest()
	}
}

// RecordCompletion records that the request ran to completion, so it did not cause the crashes so far, and returns their
// number. Crashes counted by peers are cleared with a local count, which peers receive in the next heartbeat.
func (t *Tracker) RecordCompletion(now time.Time, fingerprint Fingerprint) (cleared int) {
	t.initialize()
	crashes := t.openCrashes(fingerprint)
	if crashes <= 0 {
		return 0
	}
	count := t.local[fingerprint]
	count.Fingerprint = fingerprint
	count.Cleared += crashes
	count.changedAt = now
	t.local[fingerprint] = count
	return crashes
}

// Crashes returns the number of crashes that the request was in flight at and that it is not cleared of.
func (t *Tracker) Crashes(fingerprint Fingerprint) int { return t.openCrashes(fingerprint) }

// Judge returns how the request may run, and when to retry if it is refused.
func (t *Tracker) Judge(now time.Time, fingerprint Fingerprint) (verdict Verdict, retryAfter time.Duration) {
	t.initialize()
	t.dropExpired(now)
	crashes := t.openCrashes(fingerprint)
	switch {
	case crashes >= t.Settings.RefuseAfter:
		return Refused, t.Settings.Retention
	case crashes >= t.Settings.AloneAfter:
		return Alone, 0
	case crashes >= t.Settings.ApartAfter:
		return Apart, 0
	default:
		return Free, 0
	}
}

// LocalCounts returns the counts of this instance, for its heartbeat, sorted by fingerprint.
func (t *Tracker) LocalCounts(now time.Time) []Count {
	t.initialize()
	t.dropExpired(now)
	counts := make([]Count, 0, len(t.local))
	for _, count := range t.local {
		counts = append(counts, count.Count)
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Fingerprint < counts[j].Fingerprint })
	return counts
}

// SetPeerCounts replaces the counts of a peer. A heartbeat contains all counts of its sender, so a lost heartbeat loses
// nothing and a duplicate has no effect.
func (t *Tracker) SetPeerCounts(now time.Time, instance string, counts []Count) {
	t.initialize()
	if len(counts) == 0 {
		delete(t.peers, instance)
		return
	}
	received := peerCounts{counts: make(map[Fingerprint]Count, len(counts)), receivedAt: now}
	for _, count := range counts {
		received.counts[count.Fingerprint] = count
	}
	t.peers[instance] = received
}

// ---------------------------------------------------------------------------------------------

// openCrashes returns the number of crashes, counted by any instance, that the request is not cleared of.
func (t *Tracker) openCrashes(fingerprint Fingerprint) (crashes int) {
	count := t.local[fingerprint]
	crashes = count.Crashes - count.Cleared
	for _, peer := range t.peers {
		crashes += peer.counts[fingerprint].Crashes - peer.counts[fingerprint].Cleared
	}
	return crashes
}

// dropExpired drops local counts that have not changed within the retention time, and the counts of instances that no
// longer send heartbeats. A retry of a refused request does not extend the retention, so the request is allowed again
// after the engine was repaired.
func (t *Tracker) dropExpired(now time.Time) {
	for fingerprint, count := range t.local {
		if now.Sub(count.changedAt) > t.Settings.Retention {
			delete(t.local, fingerprint)
		}
	}
	for instance, peer := range t.peers {
		if now.Sub(peer.receivedAt) > t.Settings.Retention {
			delete(t.peers, instance)
		}
	}
}

func (t *Tracker) dropOldest() {
	var oldest Fingerprint
	for fingerprint, count := range t.local {
		if oldest == "" || count.changedAt.Before(t.local[oldest].changedAt) {
			oldest = fingerprint
		}
	}
	delete(t.local, oldest)
}

// initialize makes the zero value usable, as the exported field is set after construction.
func (t *Tracker) initialize() {
	if t.local == nil {
		t.local = make(map[Fingerprint]localCount)
		t.peers = make(map[string]peerCounts)
	}
}
