// Package freshness decides how long an instance may act on the configuration that it knows. An instance that is
// partitioned, or suspended and resumed, would otherwise go on serving a withdrawn key, an old share of a rate or the
// orders of a former holder: callers would get answers that operators have forbidden. The daemon feeds a Tracker with
// its own reads of the head, the peers' replies to heartbeats and the heads that it installs. It queries the Tracker at
// the moment of use, after anything that may have blocked.
//
// Correctness. A confirmation of revision R that begins at time s states that no higher revision was in force
// everywhere at s. A read of the store confirms this because the store's head was still R. A read relayed by a peer
// does, because its age is subtracted from the time when the heartbeat was sent. A majority does for the following
// reason. A revision is declared in force everywhere when all members have reported it, or when a majority has and
// Bound has passed since. Members never return to an older head, and a restarted member has a new incarnation and
// counts as another process. Successive heads differ by at most one added or removed member, and members change only
// when the previous change of members is in force everywhere (package membership enforces both). So a majority that has
// reported R' and a majority that knows nothing above R have a member in common, and that member cannot have reported
// R' first and known nothing above R later. After the majority has reported R', no new confirmation of R can begin, and
// the earlier ones expire within Bound. If three members could be replaced at once, two disjoint majorities could
// exist, each relying on its own head.
package freshness

import (
	"fmt"
	"time"
)

// Bound is the default of Tracker.Bound: how long a confirmation lasts. Together with one read per second and the
// heartbeat interval it must keep a withdrawn key within the 5 seconds promised to operators.
const Bound = 3 * time.Second

// DefaultReadInterval is the default of Tracker.ReadInterval.
const DefaultReadInterval = time.Second

// DefaultReaders is the default of Tracker.Readers. With three readers, one may have failed and another may be frozen.
// The number does not grow with the fleet, so neither does the load on the store.
const DefaultReaders = 3

// clockRateMargin is the divisor of Bound that gives the margin added before others may rely on a member's bound having
// expired. It is one in twenty, far above the 500 parts in a million by which clocks are slewed.
const clockRateMargin = 20

// fallbackReadRate is how many reads per second all instances together may make of a store that fails them, so that a
// recovering store is not hit by the whole fleet at once.
const fallbackReadRate = 14

// Member identifies one process: a restarted process is another member that has reported nothing yet. Since is the
// revision that added it.
type Member struct {
	Name        string
	Incarnation string
	Since       int64
}

// Head is the part of the configuration's head that this package needs. Epoch is the revision of the last change of
// members or upstreams.
type Head struct {
	Revision int64
	Epoch    int64
	Members  []Member
}

// Reply is a peer's reply to a heartbeat. SentAt is when the heartbeat was sent. ConfirmedAge is how long before the
// reply a read of the store showed Revision as the newest, by the peer's clock; negative if the peer does not know.
type Reply struct {
	Member       Member
	SentAt       time.Time
	Revision     int64
	ConfirmedAge time.Duration
}

// Status is the newest revision that a member is known to have reported, and when this process learned of it. Reported
// is false if there is no report.
type Status struct {
	Member   Member
	Revision int64
	Since    time.Time
	Reported bool
}

// StaleError refuses work because the instance's configuration may be out of date, or because it is not a member.
// Nothing was run.
type StaleError struct {
	Revision   int64
	Age        time.Duration
	NotMember  bool
	RetryAfter time.Duration
}

// Error names the revision and the age of its last confirmation.
func (e *StaleError) Error() string {
	if e.NotMember {
		return fmt.Sprintf("freshness: not a member of revision %d", e.Revision)
	}
	return fmt.Sprintf("freshness: revision %d was last confirmed %v ago", e.Revision, e.Age)
}

// elapsed returns the longer of the times by the monotonic clock and by the wall clock. The monotonic clock of a
// suspended machine may have stopped: by that clock alone the instance would count as fresh after it resumes, and would
// serve what was withdrawn meanwhile.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
