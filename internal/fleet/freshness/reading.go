package freshness

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// reading.go decides when an instance reads the store, and how few do.

// behindPace is how many times as often an instance reads while it lacks the newest head that peers have reported. Until
// it has read that, no majority can confirm its own, and if the store goes down meanwhile it refuses all callers.
const behindPace = 10

// ShouldReadStore tells whether this instance should read the head from the store now. Made for a
// fleet in which every instance would otherwise read each second: at 330 instances that is a sixth of
// all the reads the store takes. A few, chosen by rendezvous hashing, read each ReadEvery. The others
// read when what they hear is older than a third of the Bound, give or take their own pace: as often
// while their reads succeed (the readers are gone, or they are cut off from them), else the more rarely
// the larger the fleet is, so that a store coming back is not met by all at once.
func (t *Tracker) ShouldReadStore() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	since := elapsed(t.lastRead, now)
	if t.highest > t.head.Revision && t.readSucceed {
		return since >= t.readInterval()/behindPace
	}
	if t.highest > t.head.Revision || t.isReader() {
		return since >= t.readInterval()
	}
	if elapsed(t.read, now) < time.Duration(float64(t.bound())/3*t.pace()) {
		return false
	}
	if t.readSucceed {
		return since >= t.readInterval()
	}
	spread := time.Duration(len(t.head.Members)) * time.Second / fallbackReads
	return since >= max(t.readInterval(), time.Duration(float64(spread)*t.pace()))
}

// isReader ranks the members by rendezvous hashing. An instance that is no member yet reads for itself.
func (t *Tracker) isReader() bool {
	if !t.isMember(t.Self.identity()) {
		return true
	}
	own, ahead := readerScore(t.Self.Name), 0
	for _, m := range t.head.Members {
		if m.Name != t.Self.Name && readerScore(m.Name) > own {
			ahead++
		}
	}
	return ahead < t.readers()
}

// pace is by how much longer or shorter this instance waits than the mean. With one pace for all, the whole
// fleet, which lost the store in one moment, comes back to it in one second of every twenty; and at rest
// all that hear too little read in the same second, where a few that read sooner would have told the rest.
// The shortest and longest are such that all together read as often as with one pace.
func (t *Tracker) pace() float64 {
	const shortest, longest, steps = 0.55, 1.65, 1024
	return shortest + (longest-shortest)*float64(xxhash.Sum64String("pace/"+t.Self.Name)%steps)/steps
}

func readerScore(name string) uint64 {
	return xxhash.Sum64String("reader/" + name)
}
