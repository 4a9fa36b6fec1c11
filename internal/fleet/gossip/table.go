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

// Part of an instance's state that has versions of its own.
type Part int

// The parts.
const (
	// PartGeneral changes all the time, and is refreshed the less often the larger the fleet. Whether an instance lives
	// goes with it.
	PartGeneral Part = iota
	// PartHeld is about the upstreams that the instance holds.
	PartHeld
	// PartSpent is what the instance has admitted for the workspaces for which it did so lately.
	PartSpent

	parts = iota
)

// Record is a part of the state of an instance.
type Record struct {
	Instance string
	Part     Part
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

	entries map[key]*entry
	lives   map[string]*life
}

type key struct {
	instance string
	part     Part
}

// entry is the latest version of one part.
type entry struct {
	version int64
	urgent  bool
	content []byte
	life    *life
}

// life is when an instance was last known to be alive, and when something of it last came over a link of an attached
// instance.
type life struct {
	heard    time.Time
	attached time.Time
}

// Link is what went over one connection. The zero value is a new one.
type Link struct {
	// Attached: the other end is attached to this instance.
	Attached bool

	passed  map[key]passed
	transit transit
}

// passed is what the other end knows of a part.
type passed struct {
	version int64
	heard   time.Time
}

// SetOwn replaces a part of the own state.
func (t *Table) SetOwn(part Part, content []byte, urgent bool) {
	t.Version++
	own := t.entry(key{instance: t.Self, part: part})
	own.version = t.Version
	own.content = content
	own.urgent = urgent
}

// MarkAlive takes note that an instance was alive at a moment.
func (t *Table) MarkAlive(name string, at time.Time) {
	if one := t.life(name); at.After(one.heard) {
		one.heard = at
	}
}

// LastAlive is when an instance was last known to be alive, zero if never.
func (t *Table) LastAlive(name string) time.Time {
	if one := t.lives[name]; one != nil {
		return one.heard
	}
	return time.Time{}
}

// Each calls a function with each other instance and when it was last known to be alive.
func (t *Table) Each(visit func(name string, heard time.Time)) {
	for name, one := range t.lives {
		if name != t.Self {
			visit(name, one.heard)
		}
	}
}

// Expire drops the instances that were last alive before a moment.
func (t *Table) Expire(before time.Time) {
	for name, one := range t.lives {
		if name != t.Self && one.heard.Before(before) {
			delete(t.lives, name)
			for part := range Part(parts) {
				delete(t.entries, key{instance: name, part: part})
			}
		}
	}
}

// TakeDue gives what the other end of a link lacks, and takes it that it will get it.
func (t *Table) TakeDue(now time.Time, link *Link, peer string) (records []Record) {
	if link.passed == nil {
		link.passed = make(map[key]passed)
	}
	t.MarkAlive(t.Self, now)
	for of, one := range t.entries {
		if of.instance == peer || one.version == 0 || !link.Attached && !t.isAttached(now, of.instance, one.life) {
			continue
		}
		before := link.passed[of]
		newer := one.version > before.version
		pulse := of.part == PartGeneral && one.life.heard.Sub(before.heard) >= pulseEvery
		if !newer && !pulse {
			continue
		}
		record := Record{Instance: of.instance, Part: of.part, Version: one.version, Age: now.Sub(one.life.heard)}
		if newer {
			record.Content = one.content
			record.Urgent = one.urgent
		}
		records = append(records, record)
		link.passed[of] = passed{version: one.version, heard: one.life.heard}
	}
	return records
}

// Merge takes over what came over a link, and gives the parts that are new, own ones left out.
func (t *Table) Merge(now time.Time, link *Link, records []Record) (changed []Record) {
	if link.passed == nil {
		link.passed = make(map[key]passed)
	}
	for _, record := range records {
		if record.Instance == t.Self {
			t.Version = max(t.Version, record.Version)
			continue
		}
		of := key{instance: record.Instance, part: record.Part}
		one := t.entry(of)
		heard := now.Add(-record.Age)
		t.MarkAlive(record.Instance, heard)
		if link.Attached {
			one.life.attached = now
		}
		if known := link.passed[of]; record.Version >= known.version {
			link.passed[of] = passed{version: record.Version, heard: heard}
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
func (t *Table) isAttached(now time.Time, name string, of *life) bool {
	return name == t.Self || now.Sub(of.attached) < attachedFor
}

func (t *Table) entry(of key) *entry {
	if t.entries == nil {
		t.entries = make(map[key]*entry)
	}
	one := t.entries[of]
	if one == nil {
		one = &entry{life: t.life(of.instance)}
		t.entries[of] = one
	}
	return one
}

func (t *Table) life(name string) *life {
	if t.lives == nil {
		t.lives = make(map[string]*life)
	}
	one := t.lives[name]
	if one == nil {
		one = &life{}
		t.lives[name] = one
	}
	return one
}
