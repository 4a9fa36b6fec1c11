// Package reach tracks which upstreams this instance can connect to, and which other instances may connect to the rest
// for it. It distinguishes the state of an instance's own link from the state of the upstream: an upstream that this
// instance cannot connect to may work well for the others. The package does no I/O; the caller reads the clock and passes
// the time in.
package reach

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// probeInterval is how often a lost link is tried again, so that requests go the short way soon after it has healed.
	probeInterval = 500 * time.Millisecond
	// avoidPeerFor is how long a peer is avoided that could not connect to an upstream: it may have regained its link.
	avoidPeerFor = time.Second
	// maxPeers bounds the peers that are asked to connect for one request.
	maxPeers = 3
)

// Peer is another instance that may connect to upstreams for this one.
type Peer struct {
	Name       string
	DataCentre string
}

// Tracker tracks the links of this instance, and what the others state about theirs. Set the exported fields before
// use. It is not safe for concurrent use.
type Tracker struct {
	// Self and DataCentre are those of this instance.
	Self       string
	DataCentre string

	// lost are the upstreams that this instance cannot connect to, with the time of the next probe.
	lost map[string]time.Time
	// reached is when this instance last connected to an upstream whose link had been lost.
	reached map[string]time.Time
	// unreached are the upstreams that each peer states it cannot connect to.
	unreached map[string]map[string]bool
	// failed is when a peer last could not connect to an upstream for this instance.
	failed map[hop]time.Time
}

// hop is a peer on the way to an upstream.
type hop struct{ peer, upstream string }

// RecordLost records that this instance could not connect to an upstream, and reports whether that is new. An attempt
// that began before a link was regained does not count: it shows only that the link was lost then.
func (t *Tracker) RecordLost(now, began time.Time, upstream string) (changed bool) {
	if began.Before(t.reached[upstream]) {
		return false
	}
	if t.lost == nil {
		t.lost = make(map[string]time.Time)
	}
	_, known := t.lost[upstream]
	t.lost[upstream] = now.Add(probeInterval)
	return !known
}

// RecordReached records that this instance has connected to an upstream, and reports whether its link was lost before.
// Links are mostly lost and regained together, so the other lost links are probed at once.
func (t *Tracker) RecordReached(now time.Time, upstream string) (changed bool) {
	if _, known := t.lost[upstream]; !known {
		return false
	}
	delete(t.lost, upstream)
	if t.reached == nil {
		t.reached = make(map[string]time.Time)
	}
	t.reached[upstream] = now
	for other := range t.lost {
		t.lost[other] = now
	}
	return true
}

// IsLost reports whether the link of this instance to an upstream is lost.
func (t *Tracker) IsLost(upstream string) bool {
	_, lost := t.lost[upstream]
	return lost
}

// Lost lists the upstreams that this instance cannot connect to, in order.
func (t *Tracker) Lost() []string {
	list := make([]string, 0, len(t.lost))
	for upstream := range t.lost {
		list = append(list, upstream)
	}
	slices.Sort(list)
	return list
}

// DueProbes returns up to most upstreams whose lost links are to be tried again, and schedules their next probes.
func (t *Tracker) DueProbes(now time.Time, most int) (due []string) {
	for _, upstream := range t.Lost() {
		if !now.Before(t.lost[upstream]) {
			due = append(due, upstream)
		}
	}
	slices.SortStableFunc(due, func(a, b string) int { return t.lost[a].Compare(t.lost[b]) })
	due = due[:min(len(due), most)]
	for _, upstream := range due {
		t.lost[upstream] = now.Add(probeInterval)
	}
	return due
}

// SetPeer records which upstreams a peer states it cannot connect to.
func (t *Tracker) SetPeer(peer string, unreached []string) {
	if len(unreached) == 0 {
		delete(t.unreached, peer)
		return
	}
	if t.unreached == nil {
		t.unreached = make(map[string]map[string]bool)
	}
	set := make(map[string]bool, len(unreached))
	for _, upstream := range unreached {
		set[upstream] = true
	}
	t.unreached[peer] = set
}

// IsLostAt reports whether a peer states that it cannot connect to an upstream.
func (t *Tracker) IsLostAt(peer, upstream string) bool { return t.unreached[peer][upstream] }

// RecordPeerFailed records that a peer could not connect to an upstream for this instance.
func (t *Tracker) RecordPeerFailed(now time.Time, peer, upstream string) {
	if t.failed == nil {
		t.failed = make(map[hop]time.Time)
	}
	for known, at := range t.failed {
		if now.Sub(at) > avoidPeerFor {
			delete(t.failed, known)
		}
	}
	t.failed[hop{peer: peer, upstream: upstream}] = now
}

// Peers returns the peers that may connect to an upstream, best first. Those in the data centre of this instance or of
// the upstream come first, as each byte between data centres is billed. Equal ones are in an order that differs between
// instances and upstreams, so that instances which lose their links together do not all use the same peer.
func (t *Tracker) Peers(now time.Time, upstream, upstreamDataCentre string, live []Peer) []Peer {
	candidates := slices.DeleteFunc(slices.Clone(live), func(peer Peer) bool {
		failedAt, failed := t.failed[hop{peer: peer.Name, upstream: upstream}]
		return peer.Name == t.Self || t.IsLostAt(peer.Name, upstream) || failed && now.Sub(failedAt) < avoidPeerFor
	})
	crossings := func(peer Peer) (count int) {
		if peer.DataCentre != t.DataCentre {
			count++
		}
		if peer.DataCentre != upstreamDataCentre {
			count++
		}
		return count
	}
	weight := func(peer Peer) uint64 { return xxhash.Sum64String(t.Self + "\x00" + upstream + "\x00" + peer.Name) }
	slices.SortFunc(candidates, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(crossings(a), crossings(b)), cmp.Compare(weight(b), weight(a)))
	})
	return candidates[:min(len(candidates), maxPeers)]
}

// Keep forgets all upstreams except the given ones.
func (t *Tracker) Keep(upstreams map[string]bool) {
	for _, times := range []map[string]time.Time{t.lost, t.reached} {
		maps.DeleteFunc(times, func(upstream string, _ time.Time) bool { return !upstreams[upstream] })
	}
}
