// Package gossip has each instance know the latest state of all others, at a cost that hardly grows with the fleet.
// Some instances are relays; each of the others is attached to one (see Topology). The state of an attached instance
// goes to its relay, from there to all relays, and from each of them to those attached to it, so that every instance
// receives it once. What a state holds is not looked at. The package decides without sockets; the caller reads the
// runtime's clock and passes the time in.
package gossip

import "time"

const (
	// pulseEvery is how often it is passed on that an instance lives whose state has not changed.
	pulseEvery = 500 * time.Millisecond
	// attachedFor is how long an instance counts as attached here after it was last heard over such a link. Its
	// state is passed on to the other relays for as long.
	attachedFor = 2 * time.Second
)

// Record is the state of an instance.
type Record struct {
	Instance string
	// Version rises with each change, also over restarts.
	Version int64
	// Age is how long ago the instance was last known to be alive.
	Age time.Duration
	// Urgent records are passed on at once.
	Urgent bool
	// Content is nil if only the age has changed.
	Content []byte
}

// Table is what one instance knows of all others. Set Self and Version before use; it is not safe for use by several
// goroutines.
type Table struct {
	Self string
	// Version of the instance's own state; starts above any that an earlier incarnation used.
	Version int64

	entries map[string]*entry
}

// entry is the latest state of one instance.
type entry struct {
	version int64
	urgent  bool
	content []byte
	heard   time.Time
	// attached is when it last came over a link of an attached instance.
	attached time.Time
}

// Link is what went over one connection. The zero value is a new one.
type Link struct {
	// Attached: the other end is attached to this instance.
	Attached bool

	passed map[string]passed
}

// passed is what the other end knows of an instance.
type passed struct {
	version int64
	heard   time.Time
}

// SetOwn replaces the own state.
func (t *Table) SetOwn(content []byte, urgent bool) {
	t.Version++
	own := t.entry(t.Self)
	own.version = t.Version
	own.content = content
	own.urgent = urgent
}

// Heard takes note that an instance was alive at a moment.
func (t *Table) Heard(name string, at time.Time) {
	if one := t.entry(name); at.After(one.heard) {
		one.heard = at
	}
}

// LastHeard is when an instance was last known to be alive, zero if never.
func (t *Table) LastHeard(name string) time.Time {
	if one := t.entries[name]; one != nil {
		return one.heard
	}
	return time.Time{}
}

// Each calls a function with each other instance and when it was last known to be alive.
func (t *Table) Each(visit func(name string, heard time.Time)) {
	for name, one := range t.entries {
		if name != t.Self {
			visit(name, one.heard)
		}
	}
}

// Forget drops the instances that were last alive before a moment.
func (t *Table) Forget(before time.Time) {
	for name, one := range t.entries {
		if name != t.Self && one.heard.Before(before) {
			delete(t.entries, name)
		}
	}
}

// Due gives what the other end of a link lacks, and takes it that it will get it.
func (t *Table) Due(now time.Time, link *Link, peer string) (records []Record) {
	if link.passed == nil {
		link.passed = make(map[string]passed)
	}
	t.Heard(t.Self, now)
	for name, one := range t.entries {
		if name == peer || one.version == 0 || !link.Attached && !t.isAttached(now, name, one) {
			continue
		}
		before := link.passed[name]
		newer := one.version > before.version
		if !newer && one.heard.Sub(before.heard) < pulseEvery {
			continue
		}
		record := Record{Instance: name, Version: one.version, Age: now.Sub(one.heard)}
		if newer {
			record.Content = one.content
			record.Urgent = one.urgent
		}
		records = append(records, record)
		link.passed[name] = passed{version: one.version, heard: one.heard}
	}
	return records
}

// Merge takes over what came over a link, and gives the states that are new, own ones left out.
func (t *Table) Merge(now time.Time, link *Link, records []Record) (changed []Record) {
	if link.passed == nil {
		link.passed = make(map[string]passed)
	}
	for _, record := range records {
		if record.Instance == t.Self {
			t.Version = max(t.Version, record.Version)
			continue
		}
		one := t.entry(record.Instance)
		heard := now.Add(-record.Age)
		if heard.After(one.heard) {
			one.heard = heard
		}
		if link.Attached {
			one.attached = now
		}
		if known := link.passed[record.Instance]; record.Version >= known.version {
			link.passed[record.Instance] = passed{version: record.Version, heard: heard}
		}
		if record.Content == nil || record.Version <= one.version {
			continue
		}
		one.version = record.Version
		one.content = record.Content
		one.urgent = record.Urgent
		changed = append(changed, record)
	}
	return changed
}

// ---------------------------------------------------------------------------------------------

// isAttached tells whether a state is this instance's to pass on to other relays.
func (t *Table) isAttached(now time.Time, name string, one *entry) bool {
	return name == t.Self || now.Sub(one.attached) < attachedFor
}

func (t *Table) entry(name string) *entry {
	if t.entries == nil {
		t.entries = make(map[string]*entry)
	}
	one := t.entries[name]
	if one == nil {
		one = &entry{}
		t.entries[name] = one
	}
	return one
}
