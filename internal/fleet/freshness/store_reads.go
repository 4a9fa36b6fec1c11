package freshness

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file decides when an instance reads the store, and limits how many do.

// behindReadRate is the factor by which an instance reads more often while it lacks the newest head that peers have
// reported. Until it has read that head, no majority can confirm its own, and if the store goes down meanwhile it
// refuses all callers.
const behindReadRate = 10

// ShouldReadStore reports whether this instance should read the head from the store now. If every instance read each
// second, 330 instances would use a sixth of all the reads that the store can serve. So a few readers, chosen by
// rendezvous hashing, read once per ReadInterval. The others, unless they lack a newer head (see behindReadRate), read
// only when the last confirmation is older than a third of Bound, times their own interval factor: then the readers
// have failed, or their confirmations do not arrive. While the reads of the others succeed, they read as often as the
// readers do. While these fail, they read less often the larger the fleet is, so that a recovering store is not hit by
// all at once.
func (t *Tracker) ShouldReadStore() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	sinceRead := elapsed(t.lastRead, now)
	if t.highestReported > t.head.Revision && t.lastReadSucceeded {
		return sinceRead >= t.readInterval()/behindReadRate
	}
	if t.highestReported > t.head.Revision || t.isReader() {
		return sinceRead >= t.readInterval()
	}
	if elapsed(t.lastReadConfirmation, now) < time.Duration(float64(t.bound())/3*t.intervalFactor()) {
		return false
	}
	if t.lastReadSucceeded {
		return sinceRead >= t.readInterval()
	}
	meanInterval := time.Duration(len(t.head.Members)) * time.Second / fallbackReadRate
	return sinceRead >= max(t.readInterval(), time.Duration(float64(meanInterval)*t.intervalFactor()))
}

// isReader ranks the members by rendezvous hashing. An instance that is not a member yet counts as a reader.
func (t *Tracker) isReader() bool {
	if !t.isMember(t.Self.identity()) {
		return true
	}
	own, higher := readerScore(t.Self.Name), 0
	for _, m := range t.head.Members {
		if m.Name != t.Self.Name && readerScore(m.Name) > own {
			higher++
		}
	}
	return higher < t.readers()
}

// intervalFactor is the ratio of this instance's intervals to the mean. With the same interval for all, the whole
// fleet, which lost the store at the same moment, would read again within one second of every twenty. In normal
// operation, all instances that get too few confirmations would read in the same second, though a few that read earlier
// could have confirmed the revision to the rest. The shortest and longest are chosen so that all together read as often
// as with one interval.
func (t *Tracker) intervalFactor() float64 {
	const shortest, longest, steps = 0.55, 1.65, 1024
	return shortest + (longest-shortest)*float64(xxhash.Sum64String("pace/"+t.Self.Name)%steps)/steps
}

func readerScore(name string) uint64 {
	return xxhash.Sum64String("reader/" + name)
}
