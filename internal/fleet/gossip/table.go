// Package gossip distributes the latest state of each instance to all others, at a cost per instance that grows far
// slower than the fleet: links grow with its square root, see NewTopology. Some instances are relays; each of the
// others is attached to one relay (see Topology). An attached instance sends its state to its relay, the relay sends it
// to all relays, and each of them sends it to its attached instances, so that every instance receives it once. The
// content of a state is opaque. The package has no sockets and reads no clock; the caller passes the time in.
package gossip

import "time"

const (
	// livenessInterval is how often the liveness of an instance whose state has not changed is forwarded.
	livenessInterval = 500 * time.Millisecond
	// attachmentTTL is how long an instance counts as attached after its last record over a link of an attached
	// instance. This instance forwards its state to the other relays during that time.
	attachmentTTL = 2 * time.Second
)

// Part is a part of an instance's state that is versioned on its own.
type Part int

// Parts of the state.
const (
	// PartGeneral changes continuously. The larger the fleet, the less often it is refreshed. It also carries the
	// liveness of the instance.
	PartGeneral Part = iota
	// PartHeld describes the upstreams that the instance holds.
	PartHeld
	// PartSpent is what the instance has admitted for the workspaces that it admitted requests of recently.
	PartSpent

	partCount = iota
)

// String returns the name of a part, for metrics.
func (p Part) String() string {
	switch p {
	case PartGeneral:
		return "general"
	case PartHeld:
		return "held"
	case PartSpent:
		return "spent"
	default:
		return "unknown"
	}
}

// Record is one part of the state of an instance.
type Record struct {
	Instance string
	Part     Part
	// Version increases with each change, also across restarts.
	Version int64
	// Age is the time since the instance was last known to be alive.
	Age time.Duration
	// Urgent records are forwarded immediately.
	Urgent bool
	// Content is nil if only the age has changed.
	Content []byte
}

// Table holds the latest known state of every instance. Set Self and Version before use. It is not safe for concurrent
// use.
type Table struct {
	Self string
	// Version is the version of the instance's own state. It must start above all versions that an earlier incarnation
	// used.
	Version int64

	entries  map[key]*entry
	liveness map[string]*liveness
}

type key struct {
	instance string
	part     Part
}

// entry is the latest version of one part.
type entry struct {
	version  int64
	urgent   bool
	content  []byte
	liveness *liveness
}

// liveness is when an instance was last known to be alive, and when a record of it last arrived over a link of an
// attached instance.
type liveness struct {
	lastAlive    time.Time
	lastAttached time.Time
}

// Link is the state of one end of a link: what the other end has. The zero value is a new link.
type Link struct {
	// Attached is set if the other end is attached to this instance.
	Attached bool

	peerRecords map[key]peerRecord
	transit     transit
}

// peerRecord is the version and liveness of a part that the other end has.
type peerRecord struct {
	version   int64
	lastAlive time.Time
}

// SetOwn replaces a part of this instance's state.
func (t *Table) SetOwn(part Part, content []byte, urgent bool) {
	t.Version++
	own := t.entryOf(key{instance: t.Self, part: part})
	own.version = t.Version
	own.content = content
	own.urgent = urgent
}

// MarkAlive records that an instance was alive at a given time.
func (t *Table) MarkAlive(name string, at time.Time) {
	if live := t.livenessOf(name); at.After(live.lastAlive) {
		live.lastAlive = at
	}
}

// LastAlive returns when an instance was last known to be alive, or the zero time.
func (t *Table) LastAlive(name string) time.Time {
	if live := t.liveness[name]; live != nil {
		return live.lastAlive
	}
	return time.Time{}
}

// Each calls visit with each other instance and the time when it was last known to be alive.
func (t *Table) Each(visit func(name string, lastAlive time.Time)) {
	for name, live := range t.liveness {
		if name != t.Self {
			visit(name, live.lastAlive)
		}
	}
}

// Expire removes the instances that were last known to be alive before a given time.
func (t *Table) Expire(before time.Time) {
	for name, live := range t.liveness {
		if name != t.Self && live.lastAlive.Before(before) {
			delete(t.liveness, name)
			for part := range Part(partCount) {
				delete(t.entries, key{instance: name, part: part})
			}
		}
	}
}

// TakeDue returns the records that the other end of a link lacks, and marks them as sent.
func (t *Table) TakeDue(now time.Time, link *Link, peer string) (records []Record) {
	if link.peerRecords == nil {
		link.peerRecords = make(map[key]peerRecord)
	}
	t.MarkAlive(t.Self, now)
	for id, current := range t.entries {
		if id.instance == peer || current.version == 0 || !link.Attached && !t.forwardsToRelays(now, id.instance, current.liveness) {
			continue
		}
		previous := link.peerRecords[id]
		newer := current.version > previous.version
		livenessDue := id.part == PartGeneral && current.liveness.lastAlive.Sub(previous.lastAlive) >= livenessInterval
		if !newer && !livenessDue {
			continue
		}
		record := Record{Instance: id.instance, Part: id.part, Version: current.version, Age: now.Sub(current.liveness.lastAlive)}
		if newer {
			record.Content = current.content
			record.Urgent = current.urgent
		}
		records = append(records, record)
		link.peerRecords[id] = peerRecord{version: current.version, lastAlive: current.liveness.lastAlive}
	}
	return records
}

// Merge applies the records received over a link, and returns those with new content. Records of this instance are
// left out; they only raise its version.
func (t *Table) Merge(now time.Time, link *Link, records []Record) (changed []Record) {
	if link.peerRecords == nil {
		link.peerRecords = make(map[key]peerRecord)
	}
	for _, record := range records {
		if record.Instance == t.Self {
			t.Version = max(t.Version, record.Version)
			continue
		}
		id := key{instance: record.Instance, part: record.Part}
		current := t.entryOf(id)
		lastAlive := now.Add(-record.Age)
		t.MarkAlive(record.Instance, lastAlive)
		if link.Attached {
			current.liveness.lastAttached = now
		}
		if known := link.peerRecords[id]; record.Version >= known.version {
			link.peerRecords[id] = peerRecord{version: record.Version, lastAlive: lastAlive}
		}
		if record.Content == nil || record.Version <= current.version {
			continue
		}
		current.version = record.Version
		current.content = record.Content
		current.urgent = record.Urgent
		changed = append(changed, record)
	}
	return changed
}

// ---------------------------------------------------------------------------------------------

// forwardsToRelays reports whether this instance forwards a state to the other relays.
func (t *Table) forwardsToRelays(now time.Time, name string, live *liveness) bool {
	return name == t.Self || now.Sub(live.lastAttached) < attachmentTTL
}

func (t *Table) entryOf(id key) *entry {
	if t.entries == nil {
		t.entries = make(map[key]*entry)
	}
	current := t.entries[id]
	if current == nil {
		current = &entry{liveness: t.livenessOf(id.instance)}
		t.entries[id] = current
	}
	return current
}

func (t *Table) livenessOf(name string) *liveness {
	if t.liveness == nil {
		t.liveness = make(map[string]*liveness)
	}
	live := t.liveness[name]
	if live == nil {
		live = &liveness{}
		t.liveness[name] = live
	}
	return live
}
