package node

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// overlay.go is what this instance knows of the others by its links: who is alive, who reaches the store, and which
// instances a link may be opened to.

const (
	// stateEvery is how often an instance refreshes its state while there are at most peersAtFullPace others. With
	// more of them it does so less often, so that what an instance receives does not grow with the fleet.
	stateEvery      = 250 * time.Millisecond
	peersAtFullPace = 10
	// linkedAlive is how long an instance counts as alive after it was last heard over a link of its own, and
	// relayedAlive the same where relays are between, which may have to be replaced.
	linkedAlive  = time.Second
	relayedAlive = 3 * time.Second
	// keepPeer is how long an instance that left the roster is still linked: entries lapse while the store is
	// unreachable, and the instances need each other most then.
	keepPeer = 20 * time.Second
	// membersEvery is how often the members are gone through while the roster does not change.
	membersEvery = time.Second
	// unreachableFor is how long an instance to which a link failed is avoided where another one would do.
	unreachableFor = 2 * time.Second
)

// overlay is safe for use by several goroutines.
type overlay struct {
	mutex sync.Mutex
	table gossip.Table
	// ends are the open links, linked counts them by the names of the others, and opened are those that this instance
	// opens.
	ends   map[*linkEnd]bool
	linked map[string]int
	opened map[string]*opener
	// members are the instances that the roster shows or showed lately, and those that have opened a link though it
	// does not: an instance that the store turns away right after its start knows the others only so.
	members map[string]member
	// membersSet is when they were gone through by the roster's list.
	membersSet time.Time
	roster     []roster.Instance
	// topology is that of the members, valid while they are unchanged.
	topology gossip.Topology
	listed   []roster.Instance
	failed   map[string]time.Time
	// unlinked is since when a link that is the other end's to open is missing.
	unlinked map[string]time.Time
	// storeFailed is when an instance last said that it does not reach the store, storeUnreachable whether it still
	// does.
	storeFailed      map[string]time.Time
	storeUnreachable map[string]bool
	// readersChanged: somebody has lost or regained the store since the order of the readers was last found out.
	readersChanged atomic.Bool
	// alive are those that were when they were last looked at.
	alive map[string]bool
	// urged asks for what was admitted lately to be passed on at once, and with urgentState for the whole state.
	urged       chan struct{}
	urgentState atomic.Bool
	// spent is the version of the part by which it was last known what an instance has admitted.
	spent map[string]int64
	// fetched is when changes that are no news were last fetched.
	fetched time.Time
	// catchingUp counts the instances from which changes are being fetched.
	catchingUp atomic.Int32
}

// member is an instance, and when it was first and last in the roster or opened a link.
type member struct {
	instance roster.Instance
	since    time.Time
	seen     time.Time
}

func (o *overlay) prepare(self string) {
	o.table.Self = self
	// Versions rise over restarts, as far as the clock does.
	o.table.Version = time.Now().UnixMicro()
	o.ends = make(map[*linkEnd]bool)
	o.linked = make(map[string]int)
	o.opened = make(map[string]*opener)
	o.members = make(map[string]member)
	o.failed = make(map[string]time.Time)
	o.unlinked = make(map[string]time.Time)
	o.storeFailed = make(map[string]time.Time)
	o.storeUnreachable = make(map[string]bool)
	o.alive = make(map[string]bool)
	o.spent = make(map[string]int64)
	o.urged = make(chan struct{}, 1)
}

// setMembers takes over who is in the roster now, and drops those that left it long ago.
func (o *overlay) setMembers(now time.Time, instances []roster.Instance) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now.Sub(o.membersSet) < membersEvery && isSameList(instances, o.roster) {
		return
	}
	o.membersSet = now
	o.roster = instances
	for _, instance := range instances {
		known, found := o.members[instance.Name]
		if !found {
			known.since = now
		}
		if known.instance != instance {
			o.listed = nil
		}
		o.members[instance.Name] = member{instance: instance, since: known.since, seen: now}
	}
	for name, one := range o.members {
		if now.Sub(one.seen) > keepPeer && now.Sub(o.table.LastHeard(name)) > keepPeer {
			delete(o.members, name)
			o.listed = nil
		}
	}
	o.table.Forget(now.Add(-keepPeer))
}

// addCaller takes note of an instance that has opened a link. What the roster says of it goes before that.
func (o *overlay) addCaller(now time.Time, caller roster.Instance) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	known, found := o.members[caller.Name]
	if found && (known.instance.Address == caller.Address || now.Sub(known.seen) < time.Second) {
		return
	}
	caller.DataCentre = known.instance.DataCentre
	o.members[caller.Name] = member{instance: caller, since: now, seen: now}
	o.listed = nil
}

// list gives all members and their topology; the lock is held.
func (o *overlay) list() ([]roster.Instance, gossip.Topology) {
	if o.listed == nil {
		for _, one := range o.members {
			o.listed = append(o.listed, one.instance)
		}
		slices.SortFunc(o.listed, func(a, b roster.Instance) int { return strings.Compare(a.Name, b.Name) })
		o.topology = gossip.NewTopology(o.listed)
	}
	return o.listed, o.topology
}

// peerCount is how many other instances there are.
func (o *overlay) peerCount() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.others()
}

// others is peerCount where the lock is held.
func (o *overlay) others() int {
	count := len(o.members)
	if _, found := o.members[o.table.Self]; found {
		count--
	}
	return count
}

// statePace is how often each instance refreshes its state, for a number of others.
func statePace(others int) time.Duration {
	return stateEvery * time.Duration(max(others, peersAtFullPace)) / peersAtFullPace
}

// pace is how often each instance refreshes its state now.
func (o *overlay) pace() time.Duration { return statePace(o.peerCount()) }

// heard takes note that an instance was alive at a moment.
func (o *overlay) heard(name string, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.table.Heard(name, at)
}

// isAlive tells whether an instance was heard lately.
func (o *overlay) isAlive(now time.Time, name string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.lives(now, name)
}

// lives is isAlive where the lock is held.
func (o *overlay) lives(now time.Time, name string) bool {
	at := o.table.LastHeard(name)
	if at.IsZero() {
		return false
	}
	if o.opened[name] != nil || o.linked[name] > 0 {
		return now.Sub(at) <= linkedAlive
	}
	return now.Sub(at) <= relayedAlive
}

// reads tells whether an instance can be left to read the store for all.
func (o *overlay) reads(now time.Time, name string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return !o.storeUnreachable[name] && o.lives(now, name)
}

// setStoreUnreachable takes note of whether an instance says that it does not reach the store.
func (o *overlay) setStoreUnreachable(now time.Time, name string, unreachable bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.storeUnreachable[name] != unreachable {
		o.readersChanged.Store(true)
	}
	o.storeUnreachable[name] = unreachable
	if unreachable {
		o.storeFailed[name] = now
	}
}

// storeFailedSince counts the instances that have said since a moment that they do not reach the store, of those
// that were heard since.
func (o *overlay) storeFailedSince(since time.Time) (failed, heard int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.table.Each(func(name string, at time.Time) {
		if at.Before(since) {
			return
		}
		heard++
		if !o.storeFailed[name].Before(since) {
			failed++
		}
	})
	return failed, heard
}

// noteSpent takes note of a part that shows what an instance has admitted, and tells whether no newer one was seen.
// Parts may overtake each other on the way through a relay.
func (o *overlay) noteSpent(record gossip.Record) (newest bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	newest = record.Version > o.spent[record.Instance]
	if newest {
		o.spent[record.Instance] = record.Version
	}
	return newest
}

// changesOfLife lists the instances that were heard again, or fell silent, since this was last asked.
func (o *overlay) changesOfLife(now time.Time) (heard, silent []string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.table.Each(func(name string, _ time.Time) {
		lives := o.lives(now, name)
		switch {
		case lives && !o.alive[name]:
			heard = append(heard, name)
		case !lives && o.alive[name]:
			silent = append(silent, name)
		}
		o.alive[name] = lives
	})
	return heard, silent
}

// urge has the own state passed on at once.
func (o *overlay) urge() {
	o.urgentState.Store(true)
	o.urgeSpent()
}

// urgeSpent has what was admitted lately passed on at once.
func (o *overlay) urgeSpent() {
	select {
	case o.urged <- struct{}{}:
	default: // it is about to be
	}
}

// wake has something sent over all links: soon, or, as a beat, right now.
func (o *overlay) wake(beat bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for end := range o.ends {
		end.signal(beat)
	}
}

// catchUpsAtOnce is from how many instances changes are fetched at the same time: several show one revision at
// once, and its changes are needed once. The second is for an instance that falls silent.
const catchUpsAtOnce = 2

// fetchEvery is how often changes are fetched that are no news.
const fetchEvery = 2 * time.Second

// isFetchDue tells whether changes that are no news are to be fetched, and takes it that they will.
func (o *overlay) isFetchDue(now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now.Sub(o.fetched) < fetchEvery {
		return false
	}
	o.fetched = now
	return true
}

// beginCatchUp tells whether changes may be fetched from one more instance; if not, a later message asks again.
func (o *overlay) beginCatchUp() bool {
	if o.catchingUp.Add(1) <= catchUpsAtOnce {
		return true
	}
	o.catchingUp.Add(-1)
	return false
}

func (o *overlay) endCatchUp() { o.catchingUp.Add(-1) }

func (o *overlay) add(end *linkEnd) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ends[end] = true
	o.linked[end.peer]++
}

func (o *overlay) remove(end *linkEnd) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.ends, end)
	o.linked[end.peer]--
	if o.linked[end.peer] == 0 {
		delete(o.linked, end.peer)
	}
}
