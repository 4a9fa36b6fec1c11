// Package suspect detects poisonous requests: requests that crash each upstream that runs them, by their content as a whole or by
// a part of their prompt. Every instance records, by the fingerprints of its own requests and of their prompt parts, the crashes
// that they were in flight at, and shares the records in heartbeats. The caller reads the runtime's clock and passes the time in.
package suspect

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/timing/instant"
)

// fingerprintBytes is the truncated length of the hash. With 16 bytes a collision is unlikely for any number of
// requests that a fleet serves.
const fingerprintBytes = 16

// Fingerprint identifies the content of a request, so that a retry by the caller is recognized, or a part of prompts.
type Fingerprint string

// Request is a number for the content of a request, by which the record of a prompt part distinguishes requests.
type Request uint64

// RequestOf returns the number of the request with a fingerprint.
func RequestOf(fingerprint Fingerprint) Request {
	return Request(xxhash.Sum64String(string(fingerprint)))
}

// Crash identifies the crash of an upstream: a life ends once, whoever notices it. Two requests of the same content that
// are in flight there, perhaps from two instances, were in flight at one crash.
type Crash uint64

// CrashOf returns the crash that ends a life of an upstream.
func CrashOf(life traffic.Life) Crash {
	return Crash(xxhash.Sum64String(life.Upstream + " " + strconv.FormatInt(life.StartedMillis, 10)))
}

// CrashUnder returns the crash of an upstream under a run, by the run's unique id, where it is not known which life ended.
func CrashUnder(run string) Crash { return Crash(xxhash.Sum64String(run)) }

// Numbers returns the numbers of crashes or requests, for messages.
func Numbers[T ~uint64](list []T) (numbers []uint64) {
	for _, one := range list {
		numbers = append(numbers, uint64(one))
	}
	return numbers
}

// FromNumbers returns the crashes or requests with these numbers.
func FromNumbers[T ~uint64](numbers []uint64) (list []T) {
	for _, number := range numbers {
		list = append(list, T(number))
	}
	return list
}

// Record lists the crashes that a request, or requests with a prompt part, were in flight at, and those of them that it did not
// cause. Records of the same fingerprint are merged by union, so that it does not matter from whom and how often they come.
type Record struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	// Ages are the times since the crashes, in their order; empty if they are not known.
	Ages    []time.Duration
	Cleared []Crash
	// Requests are those that had the prompt part, some of them if they are many; empty in the record of a request.
	Requests []Request
	// Age is the time since the last crash.
	Age time.Duration
}

// ageOf returns the time since a crash of the record.
func (r Record) ageOf(i int) time.Duration {
	if len(r.Ages) != len(r.Crashes) {
		return r.Age // from an instance or a record that does not have them
	}
	return r.Ages[i]
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
	// RefusePartAfter is the number of crashes, at different times, after which requests with a prompt part are refused, if it
	// had PartRequests different requests in flight there: what one request alone causes is not the part's fault.
	RefusePartAfter int
	PartRequests    int
	// Retention is how long a fingerprint is kept after its last crash.
	Retention time.Duration
	// MaxFingerprints is the maximum number of fingerprints that an instance keeps.
	MaxFingerprints int
}

// DefaultSettings limit a request and a prompt part to three crashes within ten minutes.
func DefaultSettings() Settings {
	return Settings{
		ApartAfter: 1, AloneAfter: 2, RefuseAfter: 3, RefusePartAfter: 3, PartRequests: 2,
		Retention: 10 * time.Minute, MaxFingerprints: 4096,
	}
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
	// completions are the last ones of requests with a prompt part.
	completions map[Fingerprint]completion
	// firstCompletionAt is when any part first completed here.
	firstCompletionAt time.Time
	// unstated are the crashes in records of others that prompt parts are cleared of here, while no record is known to state that.
	// Each has the time when it was.
	unstated map[Fingerprint]map[Crash]time.Time
	// current is the blame as last computed, nil if what is known has changed since, and last is that in any case.
	current, last *blame
	// tries are the latest requests by which refused parts are tried again.
	tries map[Fingerprint]try
	// unfinished are the attempts whose upstream may have ended, oldest first, and ends are the lives that have ended.
	unfinished []unfinished
	ends       map[traffic.Life]end
	// droppedAt is when old histories were last dropped.
	droppedAt time.Time
}

// dropInterval is how often old histories are dropped. An instance merges the records of hundreds of others many times a second.
const dropInterval = time.Second

// droppedShare: one in so many histories is dropped at a time if there are too many, so that a storm does not sort them at each crash.
const droppedShare = 16

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
		t.add(now, fingerprint, crash, mark{own: true, addedAt: now})
	}
	t.dropOld(now)
}

// recordAttempts does so for attempts, and for the parts of their prompts.
func (t *Tracker) recordAttempts(now time.Time, crash Crash, attempts []Attempt) {
	for _, attempt := range attempts {
		t.RecordCrash(now, crash, []Fingerprint{attempt.Fingerprint})
		for _, part := range attempt.Parts {
			if t.addToPart(now, part, crash, mark{own: true, addedAt: now}, RequestOf(attempt.Fingerprint)) {
				t.clearIfInUse(now, part, crash)
			}
		}
	}
}

// RecordCompletion records that a request with some prompt parts ran to completion, so that neither it nor they caused the
// crashes so far, and returns the number of crashes that the request is cleared of. Peers receive that in the next heartbeat.
func (t *Tracker) RecordCompletion(now time.Time, fingerprint Fingerprint, parts ...Fingerprint) (cleared int) {
	for _, part := range parts {
		t.recordPartCompletion(now, part)
	}
	return t.clear(now, fingerprint)
}

// Crashes returns the number of crashes that the request was in flight at and that it is not cleared of.
func (t *Tracker) Crashes(fingerprint Fingerprint) int {
	known := t.histories[fingerprint]
	if known == nil {
		return 0
	}
	return known.open()
}

// Judgement is how a request may run.
type Judgement struct {
	Verdict Verdict
	// RetryAfter is when to retry a request that is refused.
	RetryAfter time.Duration
	// Parts are the prompt parts for which it is refused, or runs alone; empty if that is for its content.
	Parts []Fingerprint
	// Crashes is the number of crashes that the request or those parts may have caused.
	Crashes int
}

// Judge returns how a request with some prompt parts may run. A retry of a refused request does not extend the retention, so the
// request is allowed again after the engine was repaired.
func (t *Tracker) Judge(now time.Time, fingerprint Fingerprint, parts ...Fingerprint) Judgement {
	found := t.blame(now)
	byParts := found.judge(parts)
	if byParts.Verdict == Refused && t.mayTry(now, fingerprint, byParts.Parts) {
		byParts.Verdict = Alone
	}
	if byParts.Verdict == Refused {
		byParts.RetryAfter = byParts.RetryAfter - now.Sub(found.computedAt)
		return byParts
	}
	byContent := t.judgeContent(now, fingerprint, found)
	if byContent.Verdict == Free {
		return byParts
	}
	return byContent
}

// judgeContent returns how a request may run for what is known of itself.
func (t *Tracker) judgeContent(now time.Time, fingerprint Fingerprint, found *blame) Judgement {
	known := t.histories[fingerprint]
	if known == nil || t.isExpired(now, known) {
		return Judgement{Verdict: Free}
	}
	crashes := 0
	for crash := range known.crashes {
		if known.isOpen(crash) && !found.explained[crash] {
			crashes++
		}
	}
	switch {
	case crashes >= t.Settings.RefuseAfter:
		return Judgement{Verdict: Refused, RetryAfter: t.retryAfter(now, known), Crashes: crashes}
	case crashes >= t.Settings.AloneAfter:
		return Judgement{Verdict: Alone, Crashes: crashes}
	case crashes >= t.Settings.ApartAfter:
		return Judgement{Verdict: Apart, Crashes: crashes}
	default:
		return Judgement{Verdict: Free}
	}
}

func (t *Tracker) retryAfter(now time.Time, known *history) time.Duration {
	return known.changedAt.Add(t.Settings.Retention).Sub(now)
}

// Records returns what this instance observed, for its heartbeat, sorted by fingerprint. It also passes on what it knows
// of requests that run alone or not at all: the instances that observed it may have ended since.
func (t *Tracker) Records(now time.Time) (records []Record) {
	t.dropOld(now)
	t.dropStated(now)
	passedOn := t.passedOn(now)
	for fingerprint, known := range t.histories {
		if t.isExpired(now, known) || known.isKnownCleared(now) {
			continue
		}
		record := known.record(now, fingerprint, func(m mark) bool { return m.own || passedOn[fingerprint] })
		if len(record.Crashes)+len(record.Cleared) > 0 {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return records
}

// passedOn returns the fingerprints of which this instance passes everything on: those with the most crashes.
func (t *Tracker) passedOn(now time.Time) map[Fingerprint]bool {
	var suspects []Fingerprint
	for fingerprint, known := range t.histories {
		if known.open() >= t.Settings.AloneAfter && !t.isExpired(now, known) {
			suspects = append(suspects, fingerprint)
		}
	}
	if len(suspects) > maxPassedOn {
		slices.SortFunc(suspects, func(a, b Fingerprint) int {
			return cmp.Or(cmp.Compare(t.histories[b].open(), t.histories[a].open()), cmp.Compare(a, b))
		})
		suspects = suspects[:maxPassedOn]
	}
	selected := make(map[Fingerprint]bool, len(suspects))
	for _, fingerprint := range suspects {
		selected[fingerprint] = true
	}
	return selected
}

// Merge adds records of another instance.
func (t *Tracker) Merge(now time.Time, records []Record) { t.merge(now, records, mark{addedAt: now}) }

// IsStatementDue reports whether peers should soon know what clears a prompt part here: with one more crash, those that have no request
// with it would refuse it for crashes in the records of others, whereas neither they nor the own records have stated that.
func (t *Tracker) IsStatementDue() bool {
	for _, crashes := range t.unstated {
		if len(crashes) >= t.Settings.RefusePartAfter-1 {
			return true
		}
	}
	return false
}

// TakeStatementDue is IsStatementDue for a caller that then sends its records at once.
func (t *Tracker) TakeStatementDue() (due bool) {
	due = t.IsStatementDue()
	if due {
		clear(t.unstated)
	}
	return due
}

// MergeStored adds a record that the store has.
func (t *Tracker) MergeStored(now time.Time, record Record) {
	t.merge(now, []Record{record}, mark{stored: true, addedAt: now})
}

// Unstored returns records that the store lacks something of which this instance observed, at most a given number, the most
// suspect first. Those of one crash are not stored: each crash makes as many as requests were in flight, nearly all of which did
// not cause it.
func (t *Tracker) Unstored(now time.Time, most int) (records []Record) {
	every := func(mark) bool { return true }
	lacking := func(m mark) bool { return m.own && !m.stored }
	for fingerprint, known := range t.histories {
		if t.isExpired(now, known) || !t.isWorthStoring(known) {
			continue
		}
		if len(list(known.crashes, lacking))+len(list(known.cleared, lacking)) > 0 {
			records = append(records, known.record(now, fingerprint, every))
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(t.histories[b.Fingerprint].open(), t.histories[a.Fingerprint].open()), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return records[:min(len(records), most)]
}

// isWorthStoring reports whether what is known of a request or part belongs in the store. Sound parts are in flight at many crashes
// and cleared within a moment, so that only one that may be refused is stored, and what changes of it then.
func (t *Tracker) isWorthStoring(known *history) bool {
	if known.isPart {
		return known.isStored() || known.open() >= t.Settings.RefusePartAfter
	}
	return len(known.crashes) >= t.Settings.AloneAfter
}

// ---------------------------------------------------------------------------------------------

func (t *Tracker) merge(now time.Time, records []Record, as mark) {
	for _, record := range records {
		if record.Age > t.Settings.Retention-minRemaining {
			continue
		}
		known := t.histories[record.Fingerprint]
		isPart := len(record.Requests) > 0 || known != nil && known.isPart // older builds pass the record on without them
		for i, crash := range record.Crashes {
			at := now.Add(-record.ageOf(i))
			lacks := !slices.Contains(record.Cleared, crash)
			if !isPart {
				t.add(at, record.Fingerprint, crash, as)
			} else if t.addToPart(at, record.Fingerprint, crash, as, record.Requests...) && lacks && t.clearIfInUse(now, record.Fingerprint, crash) {
				t.addUnstated(now, record.Fingerprint, crash)
			}
			if lacks {
				t.histories[record.Fingerprint].recordLacking(now, crash)
			}
		}
		known = t.histories[record.Fingerprint]
		if known == nil {
			continue // its crashes have expired here
		}
		for _, crash := range record.Cleared {
			statement := as
			if !as.stored {
				statement.peerAt = now
			}
			t.clearCrash(now, known, crash, statement)
			delete(t.unstated[record.Fingerprint], crash)
		}
	}
	t.dropOld(now)
}

func (t *Tracker) addUnstated(now time.Time, part Fingerprint, crash Crash) {
	if t.unstated == nil {
		t.unstated = make(map[Fingerprint]map[Crash]time.Time)
	}
	if t.unstated[part] == nil {
		t.unstated[part] = make(map[Crash]time.Time)
	}
	t.unstated[part][crash] = now
}

// dropStated drops from what is unstated what the last records had, unless they may still be on their way.
func (t *Tracker) dropStated(now time.Time) {
	for part, crashes := range t.unstated {
		maps.DeleteFunc(crashes, func(_ Crash, at time.Time) bool { return now.Sub(at) > statementDelay })
		if len(crashes) == 0 {
			delete(t.unstated, part)
		}
	}
}

// add adds a crash, and reports whether it is new.
func (t *Tracker) add(at time.Time, fingerprint Fingerprint, crash Crash, as mark) (added bool) {
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
	as.at = at
	known.crashes[crash] = before.or(as)
	if !found {
		t.current = nil
	}
	return !found
}

// clear clears a fingerprint of all crashes so far, and returns their number.
func (t *Tracker) clear(now time.Time, fingerprint Fingerprint) (cleared int) {
	known := t.histories[fingerprint]
	if known == nil {
		return 0
	}
	for crash := range known.crashes {
		if known.isOpen(crash) {
			t.clearCrash(now, known, crash, mark{own: true})
			cleared++
		}
	}
	return cleared
}

func (t *Tracker) clearCrash(now time.Time, known *history, crash Crash, as mark) {
	if known.isOpen(crash) {
		t.current = nil
		known.lackedAt = instant.Later(known.lackedAt, now)
	}
	known.cleared[crash] = known.cleared[crash].or(as)
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
	t.dropTries(now)
	for fingerprint, known := range t.histories {
		if t.isExpired(now, known) {
			delete(t.histories, fingerprint)
			t.current = nil
		}
	}
	if len(t.histories) > t.Settings.MaxFingerprints {
		t.dropLeastSuspect(t.Settings.MaxFingerprints - t.Settings.MaxFingerprints/droppedShare)
	}
}

// dropLeastSuspect drops the histories with the fewest crashes, and of these the oldest.
func (t *Tracker) dropLeastSuspect(kept int) {
	type entry struct {
		fingerprint Fingerprint
		crashes     int
		changedAt   time.Time
	}
	entries := make([]entry, 0, len(t.histories))
	for fingerprint, known := range t.histories {
		entries = append(entries, entry{fingerprint: fingerprint, crashes: min(known.open(), t.Settings.RefuseAfter), changedAt: known.changedAt})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), b.changedAt.Compare(a.changedAt))
	})
	for _, one := range entries[kept:] {
		delete(t.histories, one.fingerprint)
	}
	t.current = nil
}
