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

// Settings of a Register.
type Settings struct {
	// ApartAfter, AloneAfter and RefuseAfter are the numbers of crashes after which a request runs apart from other
	// suspects, runs alone, or is refused.
	ApartAfter  int
	AloneAfter  int
	RefuseAfter int
	// Forget is how long a fingerprint is kept after its last crash.
	Forget time.Duration
	// Most is the maximum number of fingerprints that an instance keeps of its own requests.
	Most int
}

// DefaultSettings limit a request to three crashes within ten minutes.
func DefaultSettings() Settings {
	return Settings{ApartAfter: 1, AloneAfter: 2, RefuseAfter: 3, Forget: 10 * time.Minute, Most: 1024}
}

// Register tracks crash counts. Set the exported field before use. It is not safe for concurrent use.
//
// It stops a caller that retries a request which crashes each upstream that runs it. Otherwise each retry would crash
// one more upstream, with all requests in the same batch.
type Register struct {
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

// Of returns the fingerprint of a request. Retries with the same body have the same fingerprint.
func Of(workspace, model string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{workspace, model} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}

// Crashed records that an upstream crashed while these requests of this instance were in flight there.
func (r *Register) Crashed(now time.Time, inFlight []Fingerprint) {
	r.initialize()
	r.dropExpired(now)
	for _, fingerprint := range inFlight {
		count := r.local[fingerprint]
		count.Fingerprint = fingerprint
		count.Crashes++
		count.changedAt = now
		r.local[fingerprint] = count
	}
	for len(r.local) > r.Settings.Most {
		r.dropOldest()
	}
}

// Completed records that the request ran to completion, so it did not cause the crashes so far. Crashes counted by
// peers are cleared with a local count, which peers receive in the next heartbeat.
func (r *Register) Completed(now time.Time, fingerprint Fingerprint) {
	r.initialize()
	crashes := r.openCrashes(fingerprint)
	if crashes <= 0 {
		return
	}
	count := r.local[fingerprint]
	count.Fingerprint = fingerprint
	count.Cleared += crashes
	count.changedAt = now
	r.local[fingerprint] = count
}

// Judge returns how the request may run, and when to retry if it is refused.
func (r *Register) Judge(now time.Time, fingerprint Fingerprint) (verdict Verdict, retryAfter time.Duration) {
	r.initialize()
	r.dropExpired(now)
	crashes := r.openCrashes(fingerprint)
	switch {
	case crashes >= r.Settings.RefuseAfter:
		return Refused, r.Settings.Forget
	case crashes >= r.Settings.AloneAfter:
		return Alone, 0
	case crashes >= r.Settings.ApartAfter:
		return Apart, 0
	default:
		return Free, 0
	}
}

// Own returns the counts of this instance, for its heartbeat, sorted by fingerprint.
func (r *Register) Own(now time.Time) []Count {
	r.initialize()
	r.dropExpired(now)
	counts := make([]Count, 0, len(r.local))
	for _, count := range r.local {
		counts = append(counts, count.Count)
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Fingerprint < counts[j].Fingerprint })
	return counts
}

// Merge replaces the counts of a peer. A heartbeat contains all counts of its sender, so a lost heartbeat loses
// nothing and a duplicate has no effect.
func (r *Register) Merge(now time.Time, instance string, counts []Count) {
	r.initialize()
	if len(counts) == 0 {
		delete(r.peers, instance)
		return
	}
	received := peerCounts{counts: make(map[Fingerprint]Count, len(counts)), receivedAt: now}
	for _, count := range counts {
		received.counts[count.Fingerprint] = count
	}
	r.peers[instance] = received
}

// ---------------------------------------------------------------------------------------------

// openCrashes returns the number of crashes, counted by any instance, that the request is not cleared of.
func (r *Register) openCrashes(fingerprint Fingerprint) (crashes int) {
	count := r.local[fingerprint]
	crashes = count.Crashes - count.Cleared
	for _, peer := range r.peers {
		crashes += peer.counts[fingerprint].Crashes - peer.counts[fingerprint].Cleared
	}
	return crashes
}

// dropExpired drops local counts that have not changed within the retention time, and the counts of instances that no
// longer send heartbeats. A retry of a refused request does not extend the retention, so the request is allowed again
// after the engine was repaired.
func (r *Register) dropExpired(now time.Time) {
	for fingerprint, count := range r.local {
		if now.Sub(count.changedAt) > r.Settings.Forget {
			delete(r.local, fingerprint)
		}
	}
	for instance, peer := range r.peers {
		if now.Sub(peer.receivedAt) > r.Settings.Forget {
			delete(r.peers, instance)
		}
	}
}

func (r *Register) dropOldest() {
	var oldest Fingerprint
	for fingerprint, count := range r.local {
		if oldest == "" || count.changedAt.Before(r.local[oldest].changedAt) {
			oldest = fingerprint
		}
	}
	delete(r.local, oldest)
}

// initialize makes the zero value usable, as the exported field is set after construction.
func (r *Register) initialize() {
	if r.local == nil {
		r.local = make(map[Fingerprint]localCount)
		r.peers = make(map[string]peerCounts)
	}
}
