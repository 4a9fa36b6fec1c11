package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/timing/instant"
)

// blame.go decides which prompt parts crash upstreams, from the crashes that they were in flight at. A crash has one cause, and
// other parts and requests were in flight there as well. So the part with the most crashes comes first, and crashes that it
// explains do not count for others.

const (
	// settlingTime is how long a crash is known before it counts for a part. By then an instance where the part is in use
	// has cleared it.
	settlingTime = 500 * time.Millisecond
	// blameInterval is the time between two computations. In a storm of crashes each request would compute it anew, for milliseconds.
	blameInterval = 50 * time.Millisecond
	// maxUnrelated is the number of crashes with another cause that a part which explains the others may leave unexplained.
	maxUnrelated = 1
	// refuseRivalAfter replaces RefusePartAfter for a part with a rival: a further crash may show which of them is the cause.
	refuseRivalAfter = 5
	// refuseAtOnceAfter is the number of crashes at one time, under as many requests, after which a part is refused, and completingTime
	// how long before the first of them requests have to have been completing.
	refuseAtOnceAfter = 5
	completingTime    = 500 * time.Millisecond
	// rivalSpread is the number of times as many requests that no rival has.
	rivalSpread = 3
	// maxCandidates bounds the fingerprints that are compared.
	maxCandidates = 64
)

// candidate is a part that may be the cause of crashes, or a request that may be.
type candidate struct {
	fingerprint Fingerprint
	isPart      bool
	crashes     map[Crash]bool
	requests    []Request
	// settling: it was in flight at a crash that does not count yet.
	settling   bool
	retryAfter time.Duration
}

// group is one or more parts that were in flight at the same crashes, in the same requests. Which of them is the cause is not
// known, so only requests with all of them are refused.
type group struct {
	candidate
	parts []Fingerprint
}

// blame is which parts crash upstreams, from what is known at one time. It is immutable.
type blame struct {
	groups []group
	// explained are the crashes that these parts explain.
	explained map[Crash]bool
	// validUntil is when the next crash counts, zero if none is settling.
	validUntil time.Time
	computedAt time.Time
}

// judge returns how requests with some prompt parts may run. RetryAfter counts from when the blame was computed.
func (b *blame) judge(parts []Fingerprint) Judgement {
	judgement := Judgement{Verdict: Free}
	for _, one := range b.groups {
		shared := 0
		for _, part := range one.parts {
			if slices.Contains(parts, part) {
				shared++
			}
		}
		switch {
		case shared == len(one.parts):
			if judgement.Verdict != Refused {
				judgement = Judgement{Verdict: Refused}
			}
			judgement.RetryAfter = max(judgement.RetryAfter, one.retryAfter)
			judgement.Parts = append(judgement.Parts, one.parts...)
			judgement.Crashes = max(judgement.Crashes, len(one.crashes))
		case shared > 0 && judgement.Verdict != Refused:
			judgement = Judgement{Verdict: Alone, Parts: one.parts, Crashes: len(one.crashes)}
		}
	}
	return judgement
}

// blame returns which parts crash upstreams.
func (t *Tracker) blame(now time.Time) *blame {
	known := t.current
	if known != nil && (known.validUntil.IsZero() || now.Before(known.validUntil)) && now.Sub(known.computedAt) < t.Settings.Retention/2 {
		return known
	}
	if t.last != nil && now.Sub(t.last.computedAt) < blameInterval {
		return t.last
	}
	t.current = t.computeBlame(now)
	t.last = t.current
	return t.current
}

func (t *Tracker) computeBlame(now time.Time) *blame {
	b := &blame{explained: make(map[Crash]bool), computedAt: now}
	var requests []candidate
	candidates := t.candidates(now, &b.validUntil)
	for _, one := range candidates {
		switch {
		case !one.isPart:
			requests = append(requests, one)
		case !b.join(one) && !one.hasNarrower(candidates) && t.isCause(one, t.unexplained(b, requests, one), candidates):
			b.groups = append(b.groups, group{candidate: one, parts: []Fingerprint{one.fingerprint}})
		}
	}
	for _, one := range b.groups {
		maps.Copy(b.explained, one.crashes)
	}
	return b
}

// candidates returns the parts that may be refused and the requests that are, those with the most crashes first, and of these the
// ones that the fewest requests have. It sets when the next crash counts.
func (t *Tracker) candidates(now time.Time, settledAt *time.Time) (candidates []candidate) {
	for fingerprint, known := range t.histories {
		if len(known.crashes) < t.Settings.RefusePartAfter || t.isExpired(now, known) || known.open() < t.Settings.RefusePartAfter {
			continue
		}
		one := candidate{
			fingerprint: fingerprint, isPart: known.isPart, requests: known.requests,
			retryAfter: t.retryAfter(now, known),
		}
		one.crashes, one.settling = known.settled(now, settledAt)
		if len(one.crashes) < t.Settings.RefusePartAfter || one.isPart && len(one.requests) < t.Settings.PartRequests {
			continue
		}
		candidates = append(candidates, one)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(spread(a.requests), spread(b.requests)),
			cmp.Compare(a.fingerprint, b.fingerprint),
		)
	})
	return candidates[:min(len(candidates), maxCandidates)]
}

// settled returns the open crashes that have been known for long enough, and whether there are others. It sets when the next counts.
func (h *history) settled(now time.Time, next *time.Time) (settled map[Crash]bool, settling bool) {
	settled = make(map[Crash]bool)
	for crash, m := range h.crashes {
		at := m.addedAt.Add(settlingTime)
		switch {
		case !h.isOpen(crash):
		case !h.isPart || !now.Before(at):
			settled[crash] = true
		default:
			settling = true
			if next.IsZero() || at.Before(*next) {
				*next = at
			}
		}
	}
	return settled, settling
}

// join adds a part to the group with the same crashes and requests, if there is one. Requests that only one of them had do not part
// them before the crash of these counts.
func (b *blame) join(one candidate) bool {
	for i, other := range b.groups {
		settling := one.settling || other.settling
		together := slices.Equal(other.requests, one.requests) || settling && one.overlaps(other.candidate)
		if maps.Equal(other.crashes, one.crashes) && together {
			b.groups[i].settling = settling
			b.groups[i].parts = append(b.groups[i].parts, one.fingerprint)
			return true
		}
	}
	return false
}

// unexplained returns the crashes of a part that no better candidate explains.
func (t *Tracker) unexplained(b *blame, requests []candidate, one candidate) (rest map[Crash]bool) {
	rest = maps.Clone(one.crashes)
	for _, other := range b.groups {
		if len(other.crashes) > len(one.crashes) || spread(other.requests) < spread(one.requests) {
			deleteAll(rest, other.crashes)
		}
	}
	for _, other := range requests { // they have as many crashes at least
		if mayContain(one.requests, RequestOf(other.fingerprint)) {
			deleteAll(rest, other.crashes)
		}
	}
	return rest
}

// hasNarrower reports whether another part, which only some of a part's requests have, was in flight at its crashes, but for a few
// that may have another cause.
func (c candidate) hasNarrower(candidates []candidate) bool {
	for _, other := range candidates {
		if !other.isPart || !isNarrower(other.requests, c.requests) {
			continue
		}
		rest := 0
		for crash := range c.crashes {
			if !other.crashes[crash] {
				rest++
			}
		}
		if rest <= maxUnrelated {
			return true
		}
	}
	return false
}

// isCause reports whether a part with some unexplained crashes is taken as their cause.
func (t *Tracker) isCause(one candidate, crashes map[Crash]bool, candidates []candidate) bool {
	moments := t.histories[one.fingerprint].moments(crashes)
	if slices.ContainsFunc(candidates, one.isRival) {
		return moments >= max(refuseRivalAfter, t.Settings.RefusePartAfter)
	}
	if moments >= t.Settings.RefusePartAfter {
		return true
	}
	// Upstreams that end at one time may have a common reason. A part that so many requests have would have completed before.
	return len(crashes) >= refuseAtOnceAfter && len(one.requests) >= refuseAtOnceAfter && t.completedBefore(one)
}

// completedBefore reports whether requests had been completing for some time when the first upstream crashed under a part.
func (t *Tracker) completedBefore(one candidate) bool {
	var first time.Time
	for crash := range one.crashes {
		first = instant.Earlier(first, t.histories[one.fingerprint].crashes[crash].at)
	}
	return !t.firstCompletionAt.IsZero() && first.Sub(t.firstCompletionAt) >= completingTime
}

// overlaps reports whether all requests with one of two parts have the other one too.
func (c candidate) overlaps(other candidate) bool {
	return contains(other.requests, c.requests) || contains(c.requests, other.requests)
}

// isRival reports whether another part, of not many more and other requests, was in flight at all crashes of a part, so that they
// do not show which of the two is the cause. Callers whose upstreams have ended send their requests to the next ones to end.
func (c candidate) isRival(other candidate) bool {
	if !other.isPart || spread(other.requests) >= rivalSpread*spread(c.requests) {
		return false
	}
	if c.overlaps(other) {
		return false
	}
	for crash := range c.crashes {
		if !other.crashes[crash] {
			return false
		}
	}
	return true
}

func deleteAll(from, crashes map[Crash]bool) {
	for crash := range crashes {
		delete(from, crash)
	}
}
