package membership

import (
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
)

// DefaultFailureTimeout is the default of Detector.FailureTimeout. It is several times the freshness Bound, since
// removing a member that only paused moves its duties twice.
const DefaultFailureTimeout = 10 * time.Second

// maxRemovers is how many members try to remove a failed one: the first may have failed too.
const maxRemovers = 2

// Event is an input of a Detector. It is sealed: HeartbeatAnswered, HeadInstalled and Tick are the only events.
type Event interface {
	sealedEvent()
}

// HeartbeatAnswered reports that a heartbeat or a reply of a process has arrived.
type HeartbeatAnswered struct {
	Name        string
	Incarnation string
}

// HeadInstalled reports that a head is in force in this process.
type HeadInstalled struct {
	Head head.Head
}

// Tick reports that time has passed. The daemon sends one about every second.
type Tick struct{}

func (HeartbeatAnswered) sealedEvent() {}
func (HeadInstalled) sealedEvent()     {}
func (Tick) sealedEvent()              {}

// Action is a decision of a Detector, carried out by the daemon. It is sealed: Remove is the only one.
type Action interface {
	sealedAction()
}

// Remove requests that a member be removed from the head with Expel.
type Remove struct {
	Name        string
	Incarnation string
}

func (Remove) sealedAction() {}

// Detector detects failed members. Until a failed member is removed, its share of the rates and its upstreams are
// unused, and workspaces are refused though they are within their rate. Set the exported fields before the first event.
// A Detector is not safe for concurrent use.
type Detector struct {
	// Self is the name of this process.
	Self string
	// FailureTimeout is how long no heartbeat or reply of a member must have arrived before the member is removed.
	FailureTimeout time.Duration

	head         head.Head
	lastContacts map[string]lastContact
}

// lastContact is when a heartbeat or reply of a member last arrived, or when it was first listed.
type lastContact struct {
	incarnation string
	at          time.Time
}

// Handle processes an event and returns one removal at most: members change one at a time anyway.
func (d *Detector) Handle(event Event) []Action {
	switch event := event.(type) {
	case HeartbeatAnswered:
		d.recordContact(event)
	case HeadInstalled:
		d.installHead(event.Head)
	case Tick:
		return d.findFailed()
	}
	return nil
}

func (d *Detector) recordContact(event HeartbeatAnswered) {
	if listed, found := d.head.Member(event.Name); found && listed.Incarnation == event.Incarnation {
		d.lastContacts[event.Name] = lastContact{incarnation: event.Incarnation, at: time.Now()}
	}
}

// installHead starts the timeout of new members; a member of the same name but another incarnation is new.
func (d *Detector) installHead(h head.Head) {
	kept := map[string]lastContact{}
	for _, m := range h.Members {
		known, found := d.lastContacts[m.Name]
		if !found || known.incarnation != m.Incarnation {
			known = lastContact{incarnation: m.Incarnation, at: time.Now()}
		}
		kept[m.Name] = known
	}
	d.head, d.lastContacts = h, kept
}

func (d *Detector) findFailed() []Action {
	alive, failed := d.partition()
	if len(failed) == 0 || len(alive) <= len(d.head.Members)/2 {
		// An instance without replies from a majority is more likely partitioned than the only one alive. It must
		// not remove the others one after the other.
		return nil
	}
	target := failed[0]
	sorted := sortByScore("remove/"+target.Name, alive)
	own := slices.IndexFunc(sorted, func(m head.Member) bool { return m.Name == d.Self })
	if own < 0 || own >= maxRemovers {
		return nil
	}
	return []Action{Remove{Name: target.Name, Incarnation: target.Incarnation}}
}

// partition divides the members into live ones, this process among them, and failed ones, the one with the oldest last
// contact first.
func (d *Detector) partition() (alive, failed []head.Member) {
	now := time.Now()
	for _, m := range d.head.Members {
		if m.Name == d.Self || now.Sub(d.lastContacts[m.Name].at) < d.failureTimeout() {
			alive = append(alive, m)
			continue
		}
		failed = append(failed, m)
	}
	slices.SortStableFunc(failed, func(a, b head.Member) int {
		return d.lastContacts[a.Name].at.Compare(d.lastContacts[b.Name].at)
	})
	return alive, failed
}

func (d *Detector) failureTimeout() time.Duration {
	if d.FailureTimeout > 0 {
		return d.FailureTimeout
	}
	return DefaultFailureTimeout
}
