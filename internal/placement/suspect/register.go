// Package suspect finds the request that crashes each upstream that runs it. Every instance counts,
// for the fingerprints of its own requests, the crashes they were in flight at, and shares the counts
// in heartbeats. The caller reads the runtime's clock and passes the time in.
package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"
)

// fingerprintBytes is the length kept of the hash: 16 bytes make a chance match of two requests
// unlikely beyond any number of requests a fleet serves.
const fingerprintBytes = 16

// Fingerprint identifies a request's content, so that a caller's second send is known again.
type Fingerprint string

// Count is what one instance has seen of a fingerprint: the crashes it was in flight at, and how many
// of those it was cleared of by running to its end later.
type Count struct {
	Fingerprint Fingerprint
	Crashes     int
	Cleared     int
}

// Verdict tells how a request may run.
type Verdict string

// The verdicts.
const (
	// Free: beside others.
	Free Verdict = "free"
	// Apart: beside others, few of which are suspect too. Those that shared a batch with the cause would
	// else share the next one with it as well, and all of them would have to run alone.
	Apart Verdict = "apart"
	// Alone: with nothing else on the upstream, so that a further crash hits no other and proves it.
	Alone Verdict = "alone"
	// Refused: not at all, for it crashed an upstream that it had for itself.
	Refused Verdict = "refused"
)

// Settings of a Register.
type Settings struct {
	// ApartAfter, AloneAfter and RefuseAfter are the crashes after which a request runs apart from other
	// suspects, alone, or not at all.
	ApartAfter  int
	AloneAfter  int
	RefuseAfter int
	// Retention is how long after its last crash a fingerprint is remembered.
	Retention time.Duration
	// MaxFingerprints is how many fingerprints an instance remembers of its own.
	MaxFingerprints int
}

// DefaultSettings bound a request to three crashes within ten minutes.
func DefaultSettings() Settings {
	return Settings{ApartAfter: 1, AloneAfter: 2, RefuseAfter: 3, Retention: 10 * time.Minute, MaxFingerprints: 1024}
}

// Tracker holds the counts. Set the exported field before use; it is not safe for use by several
// goroutines.
//
// Made for the request that crashes each upstream that runs it and that its caller sends again. The
// harm it prevents: one more upstream lost, with all that runs in the same batch, for each try.
type Tracker struct {
	Settings Settings

	own   map[Fingerprint]record
	peers map[string]told
}

// told is what a peer told last, and when.
type told struct {
	counts map[Fingerprint]Count
	at     time.Time
}

// record is an own count and when it last changed.
type record struct {
	Count
	at time.Time
}

// FingerprintOf gives the fingerprint of a request: the same for the caller's next send of the same body.
func FingerprintOf(workspace, model string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{workspace, model} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}

// RecordCrash tells that the upstream was lost while these requests of this instance were in flight there.
func (r *Tracker) RecordCrash(now time.Time, inFlight []Fingerprint) {
	r.prepare()
	r.forget(now)
	for _, fingerprint := range inFlight {
		known := r.own[fingerprint]
		known.Fingerprint = fingerprint
		known.Crashes++
		known.at = now
		r.own[fingerprint] = known
	}
	for len(r.own) > r.Settings.MaxFingerprints {
		r.dropOldest()
	}
}

// RecordCompletion tells that the request ran to its end: it is no cause of the crashes so far. What peers
// counted is cleared by an own count, which they learn in turn.
func (r *Tracker) RecordCompletion(now time.Time, fingerprint Fingerprint) {
	r.prepare()
	open := r.suspicions(fingerprint)
	if open <= 0 {
		return
	}
	known := r.own[fingerprint]
	known.Fingerprint = fingerprint
	known.Cleared += open
	known.at = now
	r.own[fingerprint] = known
}

// Judge tells how the request may run, and when to come back if it is refused.
func (r *Tracker) Judge(now time.Time, fingerprint Fingerprint) (verdict Verdict, retryAfter time.Duration) {
	r.prepare()
	r.forget(now)
	open := r.suspicions(fingerprint)
	switch {
	case open >= r.Settings.RefuseAfter:
		return Refused, r.Settings.Retention
	case open >= r.Settings.AloneAfter:
		return Alone, 0
	case open >= r.Settings.ApartAfter:
		return Apart, 0
	default:
		return Free, 0
	}
}

// LocalCounts lists this instance's counts, for its heartbeat, in the order of the fingerprints.
func (r *Tracker) LocalCounts(now time.Time) []Count {
	r.prepare()
	r.forget(now)
	counts := make([]Count, 0, len(r.own))
	for _, known := range r.own {
		counts = append(counts, known.Count)
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Fingerprint < counts[j].Fingerprint })
	return counts
}

// SetPeerCounts replaces what a peer told earlier by what it tells now. A peer tells all its counts each time,
// so that a lost heartbeat loses nothing and one told twice counts once.
func (r *Tracker) SetPeerCounts(now time.Time, instance string, counts []Count) {
	r.prepare()
	if len(counts) == 0 {
		delete(r.peers, instance)
		return
	}
	latest := told{counts: make(map[Fingerprint]Count, len(counts)), at: now}
	for _, count := range counts {
		latest.counts[count.Fingerprint] = count
	}
	r.peers[instance] = latest
}

// ---------------------------------------------------------------------------------------------

// suspicions is the number of crashes, seen by any instance, that the request is not cleared of.
func (r *Tracker) suspicions(fingerprint Fingerprint) (open int) {
	known := r.own[fingerprint]
	open = known.Crashes - known.Cleared
	for _, peer := range r.peers {
		open += peer.counts[fingerprint].Crashes - peer.counts[fingerprint].Cleared
	}
	return open
}

// forget drops own counts that have not changed for long, and those of instances that are gone. A caller that sends a refused request again
// does not extend its time, so an engine that was mended is tried again.
func (r *Tracker) forget(now time.Time) {
	for fingerprint, known := range r.own {
		if now.Sub(known.at) > r.Settings.Retention {
			delete(r.own, fingerprint)
		}
	}
	for instance, peer := range r.peers {
		if now.Sub(peer.at) > r.Settings.Retention {
			delete(r.peers, instance)
		}
	}
}

func (r *Tracker) dropOldest() {
	var oldest Fingerprint
	for fingerprint, known := range r.own {
		if oldest == "" || known.at.Before(r.own[oldest].at) {
			oldest = fingerprint
		}
	}
	delete(r.own, oldest)
}

// prepare makes the zero value usable, as the exported field is set after it is made.
func (r *Tracker) prepare() {
	if r.own == nil {
		r.own = make(map[Fingerprint]record)
		r.peers = make(map[string]told)
	}
}
