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

// overlay.go tracks the other instances through the gossip links: which are alive, which reach the store, and which a
// link may be opened to.

const (
	// baseStateInterval is how often an instance refreshes its state while there are at most peersAtBaseInterval
	// others. With more of them the interval grows, so that the traffic that an instance receives does not grow with
	// the fleet.
	baseStateInterval   = 250 * time.Millisecond
	peersAtBaseInterval = 10
	// linkedTimeout is how long an instance counts as alive after its last message over a direct link. relayedTimeout
	// is the same for an instance whose messages arrive through relays, which may have to be replaced.
	linkedTimeout  = time.Second
	relayedTimeout = 3 * time.Second
	// memberRetention is how long links to an instance that left the roster are kept. Roster entries expire while the
	// store is unreachable, and that is when the instances depend on each other most.
	memberRetention = 20 * time.Second
	// membersInterval is how often the members are updated while the roster does not change.
	membersInterval = time.Second
	// failedLinkAvoidance is how long an instance to which a link failed is avoided if another instance can be used.
	failedLinkAvoidance = 2 * time.Second
)

// overlay is safe for concurrent use.
type overlay struct {
	mutex sync.Mutex
	table gossip.Table
	// linkEnds are the open links, linkCounts counts them by the name of the peer, and openers are those that this
	// instance opens.
	linkEnds   map[*linkEnd]bool
	linkCounts map[string]int
	openers    map[string]*linkOpener
	// members are the instances that are or recently were in the roster, and those that opened a link without being in
	// it. An instance that the store refuses right after its start learns of the others only through such links.
	members map[string]member
	// membersUpdated is when members was last updated from the roster.
	membersUpdated time.Time
	roster         []roster.Instance
	// topology is the topology of the members, valid while they are unchanged.
	topology     gossip.Topology
	memberList   []roster.Instance
	linkFailures map[string]time.Time
	// missingSince is the time since which a link that the other end has to open has been missing.
	missingSince map[string]time.Time
	// storeFailedAt is when an instance last reported that it cannot reach the store. storeUnreachable is whether its
	// latest report says so.
	storeFailedAt    map[string]time.Time
	storeUnreachable map[string]bool
	// readersChanged: an instance has lost or regained the store since the reader ranks were last computed.
	readersChanged atomic.Bool
	// wasAlive is the liveness of the instances at the last check.
	wasAlive map[string]bool
	// sendRequested requests an immediate send of the recently admitted usage. With stateSendRequested, the whole state
	// is sent.
	sendRequested      chan struct{}
	stateSendRequested atomic.Bool
	// spentVersions is the version of the latest record of admitted usage that was received from each instance.
	spentVersions map[string]int64
	// lastFetch is when non-urgent changes were last fetched.
	lastFetch time.Time
	// catchingUp counts the instances from which changes are being fetched.
	catchingUp atomic.Int32
}

// member is an instance, and when it was first and last in the roster or opened a link.
type member struct {
	instance  roster.Instance
	firstSeen time.Time
	lastSeen  time.Time
}

func (o *overlay) initialise(self string) {
	o.table.Self = self
	// The clock makes versions increase over restarts, provided that the clock does not go back.
	o.table.Version = time.Now().UnixMicro()
	o.linkEnds = make(map[*linkEnd]bool)
	o.linkCounts = make(map[string]int)
	o.openers = make(map[string]*linkOpener)
	o.members = make(map[string]member)
	o.linkFailures = make(map[string]time.Time)
	o.missingSince = make(map[string]time.Time)
	o.storeFailedAt = make(map[string]time.Time)
	o.storeUnreachable = make(map[string]bool)
	o.wasAlive = make(map[string]bool)
	o.spentVersions = make(map[string]int64)
	o.sendRequested = make(chan struct{}, 1)
}

// setMembers updates the members from the roster, and removes those that left it long ago.
func (o *overlay) setMembers(now time.Time, instances []roster.Instance) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now.Sub(o.membersUpdated) < membersInterval && isSameList(instances, o.roster) {
		return
	}
	o.membersUpdated = now
	o.roster = instances
	for _, instance := range instances {
		known, found := o.members[instance.Name]
		if !found {
			known.firstSeen = now
		}
		if known.instance != instance {
			o.memberList = nil
		}
		o.members[instance.Name] = member{instance: instance, firstSeen: known.firstSeen, lastSeen: now}
	}
	for name, entry := range o.members {
		if now.Sub(entry.lastSeen) > memberRetention && now.Sub(o.table.LastAlive(name)) > memberRetention {
			delete(o.members, name)
			o.memberList = nil
		}
	}
	o.table.Expire(now.Add(-memberRetention))
}

// addLinkOpener adds an instance that opened a link. The information of the roster takes precedence.
func (o *overlay) addLinkOpener(now time.Time, caller roster.Instance) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	known, found := o.members[caller.Name]
	if found && (known.instance.Address == caller.Address || now.Sub(known.lastSeen) < time.Second) {
		return
	}
	caller.DataCentre = known.instance.DataCentre
	o.members[caller.Name] = member{instance: caller, firstSeen: now, lastSeen: now}
	o.memberList = nil
}

// membersAndTopology returns all members and their topology. The caller holds the lock.
func (o *overlay) membersAndTopology() ([]roster.Instance, gossip.Topology) {
	if o.memberList == nil {
		for _, entry := range o.members {
			o.memberList = append(o.memberList, entry.instance)
		}
		slices.SortFunc(o.memberList, func(a, b roster.Instance) int { return strings.Compare(a.Name, b.Name) })
		o.topology = gossip.NewTopology(o.memberList)
	}
	return o.memberList, o.topology
}

// peerCount returns the number of other instances.
func (o *overlay) peerCount() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.peerCountLocked()
}

// peerCountLocked is peerCount for callers that hold the lock.
func (o *overlay) peerCountLocked() int {
	count := len(o.members)
	if _, found := o.members[o.table.Self]; found {
		count--
	}
	return count
}

// stateInterval returns how often each instance refreshes its state, for a number of others.
func stateInterval(others int) time.Duration {
	return baseStateInterval * time.Duration(max(others, peersAtBaseInterval)) / peersAtBaseInterval
}

// currentStateInterval returns how often each instance currently refreshes its state.
func (o *overlay) currentStateInterval() time.Duration { return stateInterval(o.peerCount()) }

// recordContact records that an instance was alive at the given time.
func (o *overlay) recordContact(name string, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.table.MarkAlive(name, at)
}

// isAlive reports whether a message of an instance was received recently.
func (o *overlay) isAlive(now time.Time, name string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.isAliveLocked(now, name)
}

// isAliveLocked is isAlive for callers that hold the lock.
func (o *overlay) isAliveLocked(now time.Time, name string) bool {
	at := o.table.LastAlive(name)
	if at.IsZero() {
		return false
	}
	if o.openers[name] != nil || o.linkCounts[name] > 0 {
		return now.Sub(at) <= linkedTimeout
	}
	return now.Sub(at) <= relayedTimeout
}

// rankedPeer is a live member, how it ranks for a subject, and whether it is preferred to all that are not.
type rankedPeer struct {
	instance  roster.Instance
	preferred bool
	weight    uint64
}

func (p rankedPeer) isBefore(other rankedPeer) bool {
	if p.preferred != other.preferred {
		return p.preferred
	}
	return p.weight > other.weight
}

// topPeers returns the live members that rank highest for a subject, without this instance and one that is excluded. It is
// called for each stream in a fleet of hundreds of instances, so it sorts no list of all of them.
func (o *overlay) topPeers(now time.Time, subject string, count int, excluded string, preferred func(name string) bool) (top []rankedPeer) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for name, known := range o.members {
		if name == o.table.Self || name == excluded {
			continue
		}
		next := rankedPeer{instance: known.instance, preferred: preferred(name), weight: roster.Weight(subject, name)}
		if len(top) == count && !next.isBefore(top[count-1]) || !o.isAliveLocked(now, name) {
			continue
		}
		at := slices.IndexFunc(top, next.isBefore)
		if at < 0 {
			at = len(top)
		}
		top = slices.Insert(top, at, next)
		top = top[:min(len(top), count)]
	}
	return top
}

// canReadStore reports whether an instance can be relied on to read the store for all.
func (o *overlay) canReadStore(now time.Time, name string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return !o.storeUnreachable[name] && o.isAliveLocked(now, name)
}

// setStoreUnreachable records whether an instance reports that it cannot reach the store.
func (o *overlay) setStoreUnreachable(now time.Time, name string, unreachable bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.storeUnreachable[name] != unreachable {
		o.readersChanged.Store(true)
	}
	o.storeUnreachable[name] = unreachable
	if unreachable {
		o.storeFailedAt[name] = now
	}
}

// storeFailedSince counts the instances that have reported since the given time that they cannot reach the store, and
// all instances from which a message has arrived since then.
func (o *overlay) storeFailedSince(since time.Time) (failed, reachable int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.table.Each(func(name string, at time.Time) {
		if at.Before(since) {
			return
		}
		reachable++
		if !o.storeFailedAt[name].Before(since) {
			failed++
		}
	})
	return failed, reachable
}

// aliveWithoutStore counts the other instances that are alive, and those of them that have reported since the given time
// that they cannot reach the store.
func (o *overlay) aliveWithoutStore(now, since time.Time) (alive, failing int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for name := range o.members {
		if name == o.table.Self || !o.isAliveLocked(now, name) {
			continue
		}
		alive++
		if !o.storeFailedAt[name].Before(since) {
			failing++
		}
	}
	return alive, failing
}

// recordSpentVersion records the version of a record of admitted usage, and reports whether it is the newest one
// received. Records that pass through different relays may arrive out of order.
func (o *overlay) recordSpentVersion(record gossip.Record) (newest bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	newest = record.Version > o.spentVersions[record.Instance]
	if newest {
		o.spentVersions[record.Instance] = record.Version
	}
	return newest
}

// livenessChanges lists the instances that became alive or silent since the last call.
func (o *overlay) livenessChanges(now time.Time) (alive, silent []string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.table.Each(func(name string, _ time.Time) {
		live := o.isAliveLocked(now, name)
		switch {
		case live && !o.wasAlive[name]:
			alive = append(alive, name)
		case !live && o.wasAlive[name]:
			silent = append(silent, name)
		}
		o.wasAlive[name] = live
	})
	return alive, silent
}

// requestStateSend requests an immediate send of the state of this instance.
func (o *overlay) requestStateSend() {
	o.stateSendRequested.Store(true)
	o.requestSpentSend()
}

// requestSpentSend requests an immediate send of the recently admitted usage.
func (o *overlay) requestSpentSend() {
	select {
	case o.sendRequested <- struct{}{}:
	default: // a send is already pending
	}
}

// requestMessages schedules a message on all links: after the batch delay, or immediately as a heartbeat.
func (o *overlay) requestMessages(heartbeat bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for end := range o.linkEnds {
		end.requestMessage(heartbeat)
	}
}

// maxCatchUps bounds the concurrent fetches. Several peers announce the same revision at the same time, and its changes
// are needed once. The second fetch is for the case that the first peer stops responding.
const maxCatchUps = 2

// fetchInterval is how often non-urgent changes are fetched.
const fetchInterval = 2 * time.Second

// isFetchDue reports whether non-urgent changes are due to be fetched, and assumes that the caller fetches them.
func (o *overlay) isFetchDue(now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now.Sub(o.lastFetch) < fetchInterval {
		return false
	}
	o.lastFetch = now
	return true
}

// beginCatchUp reports whether one more fetch may start. If not, a later message triggers it again.
func (o *overlay) beginCatchUp() bool {
	if o.catchingUp.Add(1) <= maxCatchUps {
		return true
	}
	o.catchingUp.Add(-1)
	return false
}

func (o *overlay) endCatchUp() { o.catchingUp.Add(-1) }

func (o *overlay) addLink(end *linkEnd) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.linkEnds[end] = true
	o.linkCounts[end.peer]++
}

func (o *overlay) removeLink(end *linkEnd) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.linkEnds, end)
	o.linkCounts[end.peer]--
	if o.linkCounts[end.peer] == 0 {
		delete(o.linkCounts, end.peer)
	}
}
