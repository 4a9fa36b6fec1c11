// Package suspect detects poisonous requests: requests that crash each upstream that runs them. Every instance
// records, by the fingerprints of its own requests, the crashes that they were in flight at, and shares the records in
// heartbeats. The caller reads the runtime's clock and passes the time in.
package suspect

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// fingerprintBytes is the truncated length of the hash. With 16 bytes a collision is unlikely for any number of
// requests that a fleet serves.
const fingerprintBytes = 16

// Fingerprint identifies the content of a request, so that a retry by the caller is recognized.
type Fingerprint string

// Crash identifies the crash of an upstream: a life ends once, whoever notices it. Two requests of the same content that
// are in flight there, perhaps from two instances, were in flight at one crash.
type Crash uint64

// CrashOf returns the crash that ends a life of an upstream.
func CrashOf(life traffic.Life) Crash {
	return Crash(xxhash.Sum64String(life.Upstream + " " + strconv.FormatInt(life.StartedMillis, 10)))
}

// CrashUnder returns the crash of an upstream under a run, by the run's unique id, where it is not known which life ended.
func CrashUnder(run string) Crash { return Crash(xxhash.Sum64String(run)) }

// Numbers returns the numbers of crashes, for messages.
func Numbers(crashes []Crash) (numbers []uint64) {
	for _, crash := range crashes {
		numbers = append(numbers, uint64(crash))
	}
	return numbers
}

// FromNumbers returns the crashes with these numbers.
func FromNumbers(numbers []uint64) (crashes []Crash) {
	for _, number := range numbers {
		crashes = append(crashes, Crash(number))
	}
	return crashes
}

// Record lists the crashes that a request was in flight at, and those of them that it did not cause. Records of the same
// request are merged by union, so that it does not matter from whom and how often they come.
type Record struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	Cleared     []Crash
	// Age is the time since the last crash.
	Age time.Duration
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
	// MaxFingerprints is the maximum number of fingerprints that an instance keeps.
	MaxFingerprints int
}

// DefaultSettings limit a request to three crashes within ten minutes.
func DefaultSettings() Settings {
	return Settings{ApartAfter: 1, AloneAfter: 2, RefuseAfter: 3, Retention: 10 * time.Minute, MaxFingerprints: 4096}
}

// maxPassedOn bounds the records of other instances that this one passes on.
const maxPassedOn = 64

// minRemaining is how much of the retention has to be left of a record that is merged. Otherwise two instances would pass a
// record that has just expired at one of them back and forth without end.
const minRemaining = 5 * time.Second

// Tracker tracks the crashes that requests were in flight at. Set the exported field before use. It is not safe for
// concurrent use.
//
// It stops a caller that retries a request which crashes each upstream that runs it. Otherwise each retry would crash
// one more upstream, with all requests in the same batch.
type Tracker struct {
	Settings Settings

	histories map[Fingerprint]*history
	// unfinished are the attempts whose upstream may have ended, oldest first, and ends are the lives that have ended.
	unfinished []unfinished
	ends       map[traffic.Life]end
	// droppedAt is when old histories were last dropped.
	droppedAt time.Time
}

// dropInterval is how often old histories are dropped. An instance merges the records of hundreds of others many times a second.
const dropInterval = time.Second

// history is what is known of one request, by any instance.
type history struct {
	crashes map[Crash]mark
	cleared map[Crash]mark
	// changedAt is when a crash was last added, here or as a peer stated it.
	changedAt time.Time
}

// mark is what is known of a crash besides itself.
type mark struct {
	// own: this instance observed it. stored: the store has it.
	own, stored bool
}

// open counts the crashes that the request may have caused.
func (h *history) open() (count int) {
	for crash := range h.crashes {
		if _, cleared := h.cleared[crash]; !cleared {
			count++
		}
	}
	return count
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

// Join returns fingerprints as one text, for the log.
func Join(fingerprints []Fingerprint) string {
	var texts []string
	for _, fingerprint := range fingerprints {
		texts = append(texts, string(fingerprint))
	}
	return strings.Join(texts, ",")
}

// FingerprintOfPart returns the fingerprint of a part of prompts, by the id that its requests state.
func FingerprintOfPart(id string) Fingerprint {
	hash := sha256.Sum256([]byte("prompt part\x00" + id))
	return Fingerprint(hex.EncodeToString(hash[:fingerprintBytes]))
}

// RecordCrash records that an upstream crashed while these requests of this instance were in flight there.
func (t *Tracker) RecordCrash(now time.Time, crash Crash, inFlight []Fingerprint) {
	for _, fingerprint := range inFlight {
		t.add(now, fingerprint, crash, mark{own: true})
	}
	t.dropOld(now)
}

// RecordCompletion records that the request ran to completion, so it did not cause the crashes so far, and returns their
// number. Peers receive that in the next heartbeat.
func (t *Tracker) RecordCompletion(_ time.Time, fingerprint Fingerprint) (cleared int) {
	known := t.histories[fingerprint]
	if known == nil {
		return 0
	}
	cleared = known.open()
	for crash := range known.crashes {
		if _, found := known.cleared[crash]; !found {
			known.cleared[crash] = mark{own: true}
		}
	}
	return cleared
}

// Crashes returns the number of crashes that the request was in flight at and that it is not cleared of.
func (t *Tracker) Crashes(fingerprint Fingerprint) int {
	known := t.histories[fingerprint]
	if known == nil {
		return 0
	}
	return known.open()
}

// Judge returns how the request may run, and when to retry if it is refused. A retry of a refused request does not
// extend the retention, so the request is allowed again after the engine was repaired.
func (t *Tracker) Judge(now time.Time, fingerprint Fingerprint) (verdict Verdict, retryAfter time.Duration) {
	known := t.histories[fingerprint]
	if known == nil || t.isExpired(now, known) {
		return Free, 0
	}
	crashes := known.open()
	switch {
	case crashes >= t.Settings.RefuseAfter:
		return Refused, known.changedAt.Add(t.Settings.Retention).Sub(now)
	case crashes >= t.Settings.AloneAfter:
		return Alone, 0
	case crashes >= t.Settings.ApartAfter:
		return Apart, 0
	default:
		return Free, 0
	}
}

// Records returns what this instance observed, for its heartbeat, sorted by fingerprint. It also passes on what it knows
// of requests that run alone or not at all: the instances that observed it may have ended since.
func (t *Tracker) Records(now time.Time) (records []Record) {
	t.dropOld(now)
	passedOn := 0
	for fingerprint, known := range t.histories {
		if t.isExpired(now, known) {
			continue
		}
		all := known.open() >= t.Settings.AloneAfter && passedOn < maxPassedOn
		record := Record{
			Fingerprint: fingerprint,
			Crashes:     list(known.crashes, func(m mark) bool { return all || m.own }),
			Cleared:     list(known.cleared, func(m mark) bool { return all || m.own }),
			Age:         now.Sub(known.changedAt),
		}
		if all {
			passedOn++
		}
		if len(record.Crashes)+len(record.Cleared) > 0 {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return records
}

// Merge adds records of another instance.
func (t *Tracker) Merge(now time.Time, records []Record) { t.merge(now, records, mark{}) }

// MergeStored adds a record that the store has.
func (t *Tracker) MergeStored(now time.Time, record Record) {
	t.merge(now, []Record{record}, mark{stored: true})
}

// Unstored returns records that the store lacks something of which this instance observed, at most a given number. Those of
// one crash are not stored: each crash makes as many as requests were in flight, nearly all of which did not cause it.
func (t *Tracker) Unstored(now time.Time, most int) (records []Record) {
	every := func(mark) bool { return true }
	lacking := func(m mark) bool { return m.own && !m.stored }
	for fingerprint, known := range t.histories {
		if len(records) == most {
			break
		}
		if len(known.crashes) < t.Settings.AloneAfter || t.isExpired(now, known) {
			continue
		}
		if len(list(known.crashes, lacking))+len(list(known.cleared, lacking)) > 0 {
			records = append(records, Record{Fingerprint: fingerprint, Crashes: list(known.crashes, every), Cleared: list(known.cleared, every)})
		}
	}
	return records
}

// ---------------------------------------------------------------------------------------------

func (t *Tracker) merge(now time.Time, records []Record, as mark) {
	for _, record := range records {
		if record.Age > t.Settings.Retention-minRemaining {
			continue
		}
		for _, crash := range record.Crashes {
			t.add(now.Add(-record.Age), record.Fingerprint, crash, as)
		}
		known := t.histories[record.Fingerprint]
		if known == nil {
			continue // its crashes have expired here
		}
		for _, crash := range record.Cleared {
			known.cleared[crash] = known.cleared[crash].or(as)
		}
	}
	t.dropOld(now)
}

func (t *Tracker) add(at time.Time, fingerprint Fingerprint, crash Crash, as mark) {
	if t.histories == nil {
		t.histories = make(map[Fingerprint]*history)
	}
	known := t.histories[fingerprint]
	if known == nil {
		known = &history{crashes: make(map[Crash]mark), cleared: make(map[Crash]mark)}
		t.histories[fingerprint] = known
	}
	before, found := known.crashes[crash]
	if !found && at.After(known.changedAt) {
		known.changedAt = at
	}
	known.crashes[crash] = before.or(as)
}

func (m mark) or(other mark) mark {
	return mark{own: m.own || other.own, stored: m.stored || other.stored}
}

// list returns the selected crashes in ascending order.
func list(crashes map[Crash]mark, selected func(mark) bool) (sorted []Crash) {
	for crash, m := range crashes {
		if selected(m) {
			sorted = append(sorted, crash)
		}
	}
	slices.Sort(sorted)
	return sorted
}

func (t *Tracker) isExpired(now time.Time, known *history) bool {
	return now.Sub(known.changedAt) > t.Settings.Retention
}

// dropOld drops what has expired, and the oldest histories beyond the maximum number.
func (t *Tracker) dropOld(now time.Time) {
	if now.Sub(t.droppedAt) < dropInterval && len(t.histories) <= t.Settings.MaxFingerprints {
		return
	}
	t.droppedAt = now
	for fingerprint, known := range t.histories {
		if t.isExpired(now, known) {
			delete(t.histories, fingerprint)
		}
	}
	excess := len(t.histories) - t.Settings.MaxFingerprints
	if excess <= 0 {
		return
	}
	oldest := make([]Fingerprint, 0, len(t.histories))
	for fingerprint := range t.histories {
		oldest = append(oldest, fingerprint)
	}
	slices.SortFunc(oldest, func(a, b Fingerprint) int {
		return t.histories[a].changedAt.Compare(t.histories[b].changedAt)
	})
	for _, fingerprint := range oldest[:excess] {
		delete(t.histories, fingerprint)
	}
}
