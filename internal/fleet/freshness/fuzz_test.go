package freshness_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
	"lacewingrock.example/lacewingrock/internal/proof/bubble"
)

const (
	stepsPerCheck = 150
	bound         = 3 * time.Second
	beatEvery     = 250 * time.Millisecond
)

// An operator withdraws a key and is told that this is in force everywhere. Meanwhile instances are cut
// off in groups, freeze and wake, restart under their old names, join and are removed, and messages are
// late or lost. If any instance still believed itself fresh on an older head, it would go on serving
// the withdrawn key, and the operator would have no way to see it.
func TestNobodyIsFreshOnWhatWasReplacedEverywhere(t *testing.T) {
	steps, declared, fresh := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		fault := bubble.Check(t, func() string {
			w := newWorld()
			w.grow([]string{"a", "b", "c", "d", "e"}[:rapid.IntRange(2, 5).Draw(rt, "size")]...)
			w.pass(5 * time.Second)
			for range stepsPerCheck {
				w.step(rt)
				steps++
				if fault := w.check(); fault != "" {
					return fault
				}
			}
			declared, fresh = declared+w.declared, fresh+w.freshSeen
			return ""
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
	t.Logf("%d steps, %d revisions declared in force, %d times an instance was fresh", steps, declared, fresh)
}

// ---------------------------------------------------------------------------------------------

type node struct {
	member  head.Member
	tracker *freshness.Tracker
	dead    bool
	frozen  bool
	cut     bool // from the store
	group   int  // it reaches only the peers of its group
}

type world struct {
	heads     []head.Head
	down      bool
	nodes     []*node
	waiting   []func() bool // messages under way; each tells whether it was delivered
	births    int
	inForce   int64 // the highest revision that any instance declared in force everywhere
	declared  int
	freshSeen int
}

func newWorld() *world { return &world{heads: []head.Head{head.Head{}.WithSwap("0")}} }

func (w *world) stored() head.Head { return w.heads[len(w.heads)-1] }

func (w *world) swap(h head.Head) { w.heads = append(w.heads, h.WithSwap(fmt.Sprint(len(w.heads)))) }

// check is the oracle: what was declared in force at any time by anyone is never undercut later.
func (w *world) check() string {
	for _, n := range w.nodes {
		if inForce := n.tracker.InForce(); !n.dead && !n.frozen && inForce > w.inForce {
			w.inForce = inForce
			w.declared++
		}
	}
	for _, n := range w.live() {
		revision, _ := n.tracker.FreshUntil()
		if n.tracker.Fresh() != nil {
			continue
		}
		w.freshSeen++
		if revision < w.inForce {
			return fmt.Sprintf("%s is fresh on %d, and %d was in force everywhere", n.member.Incarnation, revision, w.inForce)
		}
	}
	return ""
}

func (w *world) start(name string) *node {
	w.births++
	m := head.Member{Name: name, Incarnation: fmt.Sprint(name, "#", w.births), Address: name}
	n := &node{member: m}
	n.tracker = &freshness.Tracker{Self: freshness.Member{Name: name, Incarnation: m.Incarnation}, Bound: bound}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) grow(names ...string) {
	for _, name := range names {
		for n := w.start(name); n.tracker.Fresh() != nil; {
			w.pass(time.Second)
			w.join(n)
		}
	}
}

func (w *world) live() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.dead || n.frozen })
}

func (w *world) readable(n *node) bool { return !w.down && !n.cut && !n.dead && !n.frozen }

func (w *world) read(n *node) func() bool {
	began, seen := time.Now(), w.stored()
	if !w.readable(n) {
		n.tracker.RecordReadFailure(began)
		return func() bool { return true }
	}
	return w.toNode(n, func() {
		f := freshness.Head{Revision: seen.Revision, Epoch: seen.Epoch}
		for _, m := range seen.Members {
			f.Members = append(f.Members, freshness.Member{Name: m.Name, Incarnation: m.Incarnation, Since: m.Since})
		}
		n.tracker.Install(f)
		n.tracker.RecordRead(began, seen.Revision)
	})
}

func (w *world) beat(from, to *node) func() bool {
	asked := time.Now()
	hearsay, told := from.tracker.ReportBitmap()
	return w.toNode(to, func() {
		to.tracker.MergeReportBitmap(hearsay, told)
		revision, age := to.tracker.Confirmed()
		reply := freshness.Reply{
			Member: freshness.Member{Name: to.member.Name, Incarnation: to.member.Incarnation},
			SentAt: asked, Revision: revision, ConfirmedAge: age,
		}
		answered, answeredTold := to.tracker.ReportBitmap()
		w.waiting = append(w.waiting, w.toNode(from, func() {
			from.tracker.RecordReply(reply)
			from.tracker.MergeReportBitmap(answered, answeredTold)
		}))
	})
}

// toNode is a message that waits while its receiver is frozen.
func (w *world) toNode(n *node, deliver func()) func() bool {
	return func() bool {
		if n.frozen && !n.dead {
			return false
		}
		if !n.dead {
			deliver()
		}
		return true
	}
}

func (w *world) deliver() {
	for again := true; again; {
		again = false
		batch := w.waiting
		w.waiting = nil
		for _, message := range batch {
			if message() {
				again = true
				continue
			}
			w.waiting = append(w.waiting, message)
		}
	}
}

// pass lets time run, with the heartbeats and reads that the daemon would make.
func (w *world) pass(d time.Duration) {
	for ; d > 0; d -= beatEvery {
		time.Sleep(min(d, beatEvery))
		for _, n := range w.live() {
			if n.tracker.ShouldReadStore() {
				w.read(n)()
			}
			for _, peer := range w.live() {
				if peer != n && peer.group == n.group {
					w.beat(n, peer)()
				}
			}
		}
		w.deliver()
	}
}

func (w *world) join(n *node) {
	next, step, err := membership.Join(w.stored(), n.member, n.tracker.InForce())
	if err == nil && step != membership.StepNone {
		w.swap(next)
	}
}

func (w *world) leave(by, gone *node) {
	next, step, err := membership.Leave(w.stored(), gone.member.Name, gone.member.Incarnation, by.tracker.InForce())
	if by != gone {
		next, step, err = membership.Expel(
			w.stored(), by.member.Name, gone.member.Name, gone.member.Incarnation, by.tracker.InForce())
	}
	if err == nil && step != membership.StepNone {
		w.swap(next)
	}
}

// ---------------------------------------------------------------------------------------------

func (w *world) step(rt *rapid.T) {
	n := rapid.SampledFrom(w.nodes).Draw(rt, "node")
	peer := rapid.SampledFrom(w.nodes).Draw(rt, "peer")
	switch rapid.IntRange(0, 25).Draw(rt, "action") {
	case 0, 1, 2, 3:
		w.pass(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "millis")) * time.Millisecond)
	case 4, 5:
		w.pass(time.Duration(rapid.IntRange(2, 8).Draw(rt, "seconds")) * time.Second)
	case 6, 7:
		if !w.down {
			w.swap(w.stored())
		}
	case 8:
		w.waiting = append(w.waiting, w.read(n))
	case 9, 10:
		if !n.dead && n != peer {
			w.waiting = append(w.waiting, w.beat(n, peer))
		}
	case 11, 12:
		w.one(rt, func(message func() bool) bool { return message() })
	case 13:
		w.one(rt, func(func() bool) bool { return true })
	case 14:
		n.frozen = true
	case 15, 16:
		n.frozen = false
	case 17, 18:
		w.partition(rt)
	case 19:
		w.down = !w.down
	case 20:
		n.dead = n.dead || len(w.live()) > 3
	case 21, 22:
		w.restart(rt)
	case 23, 24:
		w.tend()
	case 25:
		w.mend()
	}
}

func (w *world) one(rt *rapid.T, treat func(message func() bool) bool) {
	if len(w.waiting) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.waiting)-1).Draw(rt, "message")
	message := w.waiting[i]
	if treat(message) {
		w.waiting = append(w.waiting[:i:i], w.waiting[i+1:]...)
	}
}

// partition divides the instances into two groups, one of which may be cut from the store.
func (w *world) partition(rt *rapid.T) {
	cut := rapid.Bool().Draw(rt, "cut")
	for _, n := range w.nodes {
		n.group = rapid.IntRange(0, 1).Draw(rt, "group")
		n.cut = cut && n.group == 1
	}
}

// restart starts a process, mostly in the place of one of the same name, which then ends.
func (w *world) restart(rt *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"}).Draw(rt, "name")
	if len(w.live()) > 6 {
		return
	}
	for _, n := range w.nodes {
		n.dead = n.dead || n.member.Name == name
	}
	w.start(name)
}

// tend does what the daemons do about members: silent ones are removed, others join.
func (w *world) tend() {
	for _, n := range w.live() {
		if !w.readable(n) {
			continue
		}
		for _, other := range w.nodes {
			if other.dead || other.frozen || other.group != n.group {
				w.leave(n, other)
			}
		}
		w.join(n)
	}
}

func (w *world) mend() {
	w.down = false
	for _, n := range w.nodes {
		n.frozen, n.cut, n.group = false, false, 0
	}
	w.pass(6 * time.Second)
}
