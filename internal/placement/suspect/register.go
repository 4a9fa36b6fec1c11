// Package suspect finds the request that crashes each upstream that runs it. Every instance counts,
// for the fingerprints of its own requests, the crashes they were in flight at, and shares the counts
// in heartbeats. The caller reads the runtime's clock and passes the time in.
package suspect

import "time"

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
	// Alone: with nothing else on the upstream, so that a further crash hits no other and proves it.
	Alone Verdict = "alone"
	// Refused: not at all, for it crashed an upstream that it had for itself.
	Refused Verdict = "refused"
)

// Settings of a Register.
type Settings struct {
	// AloneAfter and RefuseAfter are the crashes after which a request runs alone, or not at all.
	AloneAfter  int
	RefuseAfter int
	// Forget is how long after its last crash a fingerprint is remembered.
	Forget time.Duration
	// Most is how many fingerprints an instance remembers of its own.
	Most int
}

// DefaultSettings bound a request to three crashes within ten minutes.
func DefaultSettings() Settings {
	return Settings{AloneAfter: 2, RefuseAfter: 3, Forget: 10 * time.Minute, Most: 1024}
}

// Register holds the counts. Set the exported field before use; it is not safe for use by several
// goroutines.
type Register struct {
	Settings Settings
}

// Of gives the fingerprint of a request.
func Of(workspace, model string, body []byte) Fingerprint { return "" }

// Crashed tells that the upstream was lost while these requests of this instance were in flight there.
func (r *Register) Crashed(now time.Time, inFlight []Fingerprint) {}

// Completed tells that the request ran to its end, so it is no cause of crashes.
func (r *Register) Completed(now time.Time, fingerprint Fingerprint) {}

// Judge tells how the request may run, and when to come back if it is refused.
func (r *Register) Judge(now time.Time, fingerprint Fingerprint) (verdict Verdict, retryAfter time.Duration) {
	return Free, 0
}

// Own lists this instance's counts, for its heartbeat.
func (r *Register) Own(now time.Time) []Count { return nil }

// Merge replaces what a peer told earlier by what it tells now.
func (r *Register) Merge(now time.Time, instance string, counts []Count) {}
