// Package freshness decides how long an instance may act on what it knows. An instance that is cut
// off, or paused and woken, would go on serving a withdrawn key, an old rate share or an old holder's
// order; its callers would notice answers that the operators had forbidden. The daemon feeds a Tracker
// the facts (its own reads of the head, what peers reply to heartbeats, the heads it installs) and asks
// it at the moment of use, after anything that may have waited.
//
// Why it is sound. Every confirmation of revision R that begins at time s says that nobody had a
// higher revision in force everywhere at s. A read of the store says so because the store's head was
// still R; a relayed read because the relay's age is subtracted from when we asked; a majority because
// of the following. A revision is declared in force everywhere when all members told it, or when a
// majority told it and Bound has run out since. Members never go back to an older head, and a restarted
// one has another incarnation and counts as a stranger. Two heads next to each other in the history
// differ by at most one member, added or removed, and a change of members is made only when the one
// before it is in force everywhere (package membership enforces both). So a majority that told R' and
// a majority that knows nothing above R share a member, which cannot have done both in that order:
// after the majority of R' has told, no new confirmation of R can begin, and the ones that began
// earlier run out within Bound. With three members replaced at once two disjoint majorities could
// exist, each sure of its own head.
package freshness

import (
	"fmt"
	"time"
)

// Bound is how long a confirmation lasts when a Tracker states none. Together with a read each second
// and the heartbeats' interval it must leave a withdrawn key within the 5 seconds that operators were
// promised. No measured reason yet for the exact figure.
const Bound = 3 * time.Second

// DefaultReadInterval is how often an instance that reads the store does so when a Tracker states none.
const DefaultReadInterval = time.Second

// DefaultReaders is how many instances read the store while all goes well: one may be dead and another
// frozen. Their number does not grow with the fleet, so the store's calls do not either.
const DefaultReaders = 3

// clockRateMargin is the part of Bound added before others may rely on a member's bound having run
// out: one in twenty, far above the 500 parts in a million by which clocks are slewed.
const clockRateMargin = 20

// fallbackReads is how many reads a second all instances together may make of a store that fails them,
// so that its return is not met by the whole fleet at once.
const fallbackReads = 14

// Member identifies one process: a restart is another member that has told nothing yet. Since is the
// revision that added it.
type Member struct {
	Name        string
	Incarnation string
	Since       int64
}

// Head is what freshness needs of the configuration's head. Epoch is the revision of the last change
// of members or upstreams.
type Head struct {
	Revision int64
	Epoch    int64
	Members  []Member
}

// Reply is what a peer answered to a heartbeat. Asked is when the heartbeat was sent. ConfirmedAge is
// how long before its answer a read of the store showed Revision as the newest, by the peer's clock;
// negative when it does not know.
type Reply struct {
	Member       Member
	SentAt       time.Time
	Revision     int64
	ConfirmedAge time.Duration
}

// Status is what is known of one member: the newest revision it told and since when we know.
type Status struct {
	Member   Member
	Revision int64
	Since    time.Time
	Reported bool
}

// StaleError refuses work because the instance's knowledge is too old, or because it is no member.
// Nothing was run.
type StaleError struct {
	Revision   int64
	Age        time.Duration
	NotMember  bool
	RetryAfter time.Duration
}

// Error tells which revision is too old and by how much.
func (e *StaleError) Error() string {
	if e.NotMember {
		return fmt.Sprintf("freshness: not a member of revision %d", e.Revision)
	}
	return fmt.Sprintf("freshness: revision %d was last confirmed %v ago", e.Revision, e.Age)
}

// elapsed is the longer of the time by the monotonic clock and by the wall clock. A machine that was
// suspended may wake with a monotonic clock that did not run; with that clock alone the instance would
// believe itself fresh and serve what was withdrawn while it slept.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
