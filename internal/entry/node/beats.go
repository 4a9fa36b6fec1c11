package node

import (
	"sync"
	"sync/atomic"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// beats.go tells the other instances what this one knows and does, and hears the same of them.

const (
	// beatEvery is how often each pair of instances exchanges what it knows, as long as there are at most
	// peersAtFullPace others. With more of them each pair exchanges less often, so that what one instance
	// sends and receives does not grow with the fleet.
	beatEvery       = 250 * time.Millisecond
	peersAtFullPace = 10
	// beatTimeout bounds one exchange.
	beatTimeout = 400 * time.Millisecond
	// aliveBeats is how many beats may be missing until a peer counts as silent.
	aliveBeats = 4
	// matchEvery is how late a loop begins after the roster shows its peer.
	matchEvery = 50 * time.Millisecond
	// keepPeer is how long a peer that left the roster is still told: entries lapse while the store is
	// away, and the instances need each other most then.
	keepPeer = 20 * time.Second
)

type beats struct {
	mutex sync.Mutex
	heard map[string]time.Time
	peers map[string]*peerLoop
	// callers are the instances that have called, whether the roster shows them or not.
	callers map[string]roster.Instance
	// catchingUp counts the peers from which changes are being fetched.
	catchingUp atomic.Int32
	// away are the peers that say they do not reach the store, and awayHeard is when they last said so.
	away      map[string]bool
	awayHeard map[string]time.Time
}

// reads tells whether a peer can be left to read the store for all.
func (b *beats) reads(now time.Time, name string) bool {
	if !b.isAlive(now, name) {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !b.away[name]
}

func (b *beats) setAway(now time.Time, name string, away bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.away == nil {
		b.away = make(map[string]bool)
		b.awayHeard = make(map[string]time.Time)
	}
	b.away[name] = away
	if away {
		b.awayHeard[name] = now
	}
}

// awaySince counts the peers that have said since a moment that they do not reach the store, of those that were
// heard since.
func (b *beats) awaySince(since time.Time) (away, heard int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for name, at := range b.heard {
		if at.Before(since) {
			continue
		}
		heard++
		if !b.awayHeard[name].Before(since) {
			away++
		}
	}
	return away, heard
}

// beatPace is how often a pair exchanges, for a number of peers.
func beatPace(peers int) time.Duration {
	return beatEvery * time.Duration(max(peers, peersAtFullPace)) / peersAtFullPace
}

// isAlive tells whether a peer was heard lately.
func (b *beats) isAlive(now time.Time, name string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at, found := b.heard[name]
	return found && now.Sub(at) <= aliveBeats*beatPace(len(b.peers))
}

// isFullPace tells whether the heartbeats of all pairs come at full pace.
func (b *beats) isFullPace() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.atFullPace()
}

// atFullPace is isFullPace where the lock is held.
func (b *beats) atFullPace() bool { return len(b.peers) <= peersAtFullPace }

// peerCount is how many other instances there are.
func (b *beats) peerCount() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.peers)
}

// pace is how often each pair exchanges now.
func (b *beats) pace() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return beatPace(len(b.peers))
}

func (b *beats) hear(now time.Time, caller roster.Instance) (first bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.heard == nil {
		b.heard = make(map[string]time.Time)
		b.callers = make(map[string]roster.Instance)
	}
	name := caller.Name
	before, found := b.heard[name]
	b.heard[name] = now
	b.callers[name] = caller
	return !found || now.Sub(before) > aliveBeats*beatPace(len(b.peers))
}

// catchUp has the changes fetched that a peer's heartbeat showed.
func (b *beats) catchUp(beat mesh.Beat) {
	b.mutex.Lock()
	loop := b.peers[beat.Instance]
	b.mutex.Unlock()
	if loop == nil {
		return
	}
	select {
	case loop.ahead <- beat:
	default: // they are about to be fetched
	}
}

// touchPause gathers what begins and ends within a few milliseconds into one heartbeat.
const touchPause = 8 * time.Millisecond

// touchAll has a whole heartbeat sent to all peers at once.
func (b *beats) touchAll() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, loop := range b.peers {
		select {
		case loop.urgent <- struct{}{}:
		default: // one is already due
		}
	}
}

// spreadTo is how many peers are told at once of a new revision. Each of them tells as many as soon as it has
// the changes, so that a fleet of eighty knows them after three or four steps; the heartbeats reach whom chance
// leaves out.
const spreadTo = 4

// spread tells some peers, drawn by chance, of a new revision. Where the heartbeats of all pairs come at full
// pace they tell it soon enough.
//
// Made for a fleet so large that each pair exchanges only every few seconds: a withdrawn key would work on, and
// an upstream that leaves get requests, for that long after one instance has read it in the store.
func (b *beats) spread() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.atFullPace() {
		return
	}
	left := spreadTo
	for _, loop := range b.peers { // the runtime begins at a place drawn by chance
		if left == 0 {
			return
		}
		left--
		select {
		case loop.news <- struct{}{}:
		default: // it is about to be told
		}
	}
}

// tellSpent has some peers told at once of what this instance has admitted. Where the heartbeats of all pairs
// come at full pace they tell it soon enough.
func (b *beats) tellSpent(names []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.atFullPace() {
		return
	}
	for _, name := range names {
		loop := b.peers[name]
		if loop == nil {
			continue
		}
		select {
		case loop.spent <- struct{}{}:
		default: // it is about to be told
		}
	}
}

// touch has a heartbeat sent to a peer at once.
func (b *beats) touch(name string) {
	b.mutex.Lock()
	loop := b.peers[name]
	b.mutex.Unlock()
	if loop == nil {
		return
	}
	select {
	case loop.touched <- struct{}{}:
	default: // one is already due
	}
}
