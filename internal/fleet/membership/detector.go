package membership

import (
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
)

// DefaultFailureTimeout is how long a member must not have been heard before it is removed when a Detector states
// nothing: several times its Bound, since removing a member that only paused moves its duties twice. No
// measured reason yet.
const DefaultFailureTimeout = 10 * time.Second

// removers is how many members try to remove a dead one: the first may be dead too.
const removers = 2

// Event is what a Detector is told. It is sealed: Heard, Installed and Tick are all there are.
type Event interface {
	sealedEvent()
}

// HeartbeatAnswered says: a process answered a heartbeat.
type HeartbeatAnswered struct {
	Name        string
	Incarnation string
}

// HeadInstalled says: a head is in force in this process.
type HeadInstalled struct {
	Head head.Head
}

// Tick says: time has passed. The daemon sends one about each second.
type Tick struct{}

func (HeartbeatAnswered) sealedEvent() {}
func (HeadInstalled) sealedEvent()     {}
func (Tick) sealedEvent()              {}

// Action is what a Detector wants done. It is sealed: Remove is the only one.
type Action interface {
	sealedAction()
}

// Remove says: take a member out of the head, with Expel.
type Remove struct {
	Name        string
	Incarnation string
}

func (Remove) sealedAction() {}

// Detector finds members that have died. A dead member's share of rates and its upstreams lie idle
// until it is removed; its workspaces are refused within their rate. Set the exported fields before
// the first event; a Detector belongs to one goroutine.
type Detector struct {
	// Self is the name of this process.
	Self string
	// FailureTimeout is how long a member must not have been heard.
	FailureTimeout time.Duration

	head  head.Head
	heard map[string]sighting
}

// sighting is when a member was last heard, or first listed.
type sighting struct {
	incarnation string
	at          time.Time
}

// Handle takes in an event and returns what to do, one removal at the most: changes of members wait
// for each other anyway.
func (d *Detector) Handle(event Event) []Action {
	switch event := event.(type) {
	case HeartbeatAnswered:
		d.hear(event)
	case HeadInstalled:
		d.install(event.Head)
	case Tick:
		return d.tick()
	}
	return nil
}

func (d *Detector) hear(event HeartbeatAnswered) {
	if listed, found := d.head.Member(event.Name); found && listed.Incarnation == event.Incarnation {
		d.heard[event.Name] = sighting{incarnation: event.Incarnation, at: time.Now()}
	}
}

// install starts the time of new members; a member of the same name but another incarnation is new.
func (d *Detector) install(h head.Head) {
	kept := map[string]sighting{}
	for _, m := range h.Members {
		known, found := d.heard[m.Name]
		if !found || known.incarnation != m.Incarnation {
			known = sighting{incarnation: m.Incarnation, at: time.Now()}
		}
		kept[m.Name] = known
	}
	d.head, d.heard = h, kept
}

func (d *Detector) tick() []Action {
	alive, dead := d.sort()
	if len(dead) == 0 || len(alive) <= len(d.head.Members)/2 {
		// An instance that hears no majority is more likely cut off itself than alone alive. It must not
		// remove the others one after the other.
		return nil
	}
	victim := dead[0]
	ranked := rank("remove/"+victim.Name, alive)
	own := slices.IndexFunc(ranked, func(m head.Member) bool { return m.Name == d.Self })
	if own < 0 || own >= removers {
		return nil
	}
	return []Action{Remove{Name: victim.Name, Incarnation: victim.Incarnation}}
}

// sort divides the members into those heard lately, this process among them, and the silent ones,
// longest silent first.
func (d *Detector) sort() (alive, dead []head.Member) {
	now := time.Now()
	for _, m := range d.head.Members {
		if m.Name == d.Self || now.Sub(d.heard[m.Name].at) < d.failureTimeout() {
			alive = append(alive, m)
			continue
		}
		dead = append(dead, m)
	}
	slices.SortStableFunc(dead, func(a, b head.Member) int {
		return d.heard[a.Name].at.Compare(d.heard[b.Name].at)
	})
	return alive, dead
}

func (d *Detector) failureTimeout() time.Duration {
	if d.FailureTimeout > 0 {
		return d.FailureTimeout
	}
	return DefaultFailureTimeout
}
