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
	stepsPerCheck     = 150
	bound             = 3 * time.Second
	heartbeatInterval = 250 * time.Millisecond
)

// An operator withdraws a key and is told that this is in force everywhere. Meanwhile groups of instances are
// partitioned, instances freeze and resume, restart under the same name, join and are removed, and messages are late or
// lost. If any instance were still fresh on an older head, it would go on serving the withdrawn key, and the operator
// could not see it.
func TestNoInstanceIsFreshOnASupersededRevision(t *testing.T) {
	steps, declared, fresh := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		violation := bubble.Check(t, func() string {
			s := newSimulation()
			s.startMembers([]string{"a", "b", "c", "d", "e"}[:rapid.IntRange(2, 5).Draw(rt, "size")]...)
			s.advance(5 * time.Second)
			for range stepsPerCheck {
				s.step(rt)
				steps++
				if violation := s.check(); violation != "" {
					return violation
				}
			}
			declared, fresh = declared+s.declared, fresh+s.freshCount
			return ""
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Logf("%d steps, %d revisions declared in force, %d times an instance was fresh", steps, declared, fresh)
}

// ---------------------------------------------------------------------------------------------

type node struct {
	member   head.Member
	tracker  *freshness.Tracker
	stopped  bool
	frozen   bool
	storeCut bool // the store cannot be reached
	group    int  // only peers of the same group can be reached
}

type simulation struct {
	heads          []head.Head
	down           bool
	nodes          []*node
	inFlight       []func() bool // each message reports whether it was delivered
	starts         int
	highestInForce int64 // the highest revision declared in force everywhere by any instance
	declared       int
	freshCount     int
}

func newSimulation() *simulation { return &simulation{heads: []head.Head{head.Head{}.WithSwap("0")}} }

func (s *simulation) storedHead() head.Head { return s.heads[len(s.heads)-1] }

func (s *simulation) store(h head.Head) {
	s.heads = append(s.heads, h.WithSwap(fmt.Sprint(len(s.heads))))
}

// check is the oracle: once any instance has declared a revision in force everywhere, no instance may be fresh on an
// older one.
func (s *simulation) check() string {
	for _, n := range s.nodes {
		if inForce := n.tracker.InForce(); !n.stopped && !n.frozen && inForce > s.highestInForce {
			s.highestInForce = inForce
			s.declared++
		}
	}
	for _, n := range s.live() {
		revision, _ := n.tracker.FreshUntil()
		if n.tracker.Fresh() != nil {
			continue
		}
		s.freshCount++
		if revision < s.highestInForce {
			return fmt.Sprintf("%s is fresh on revision %d, but %d was in force everywhere", n.member.Incarnation, revision, s.highestInForce)
		}
	}
	return ""
}

func (s *simulation) start(name string) *node {
	s.starts++
	m := head.Member{Name: name, Incarnation: fmt.Sprint(name, "#", s.starts), Address: name}
	n := &node{member: m}
	n.tracker = &freshness.Tracker{Self: freshness.Member{Name: name, Incarnation: m.Incarnation}, Bound: bound}
	s.nodes = append(s.nodes, n)
	return n
}

func (s *simulation) startMembers(names ...string) {
	for _, name := range names {
		for n := s.start(name); n.tracker.Fresh() != nil; {
			s.advance(time.Second)
			s.join(n)
		}
	}
}

func (s *simulation) live() []*node {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.stopped || n.frozen })
}

func (s *simulation) canReadStore(n *node) bool {
	return !s.down && !n.storeCut && !n.stopped && !n.frozen
}

func (s *simulation) read(n *node) func() bool {
	startedAt, seen := time.Now(), s.storedHead()
	if !s.canReadStore(n) {
		n.tracker.RecordReadFailure(startedAt)
		return func() bool { return true }
	}
	return s.messageTo(n, func() {
		f := freshness.Head{Revision: seen.Revision, Epoch: seen.Epoch}
		for _, m := range seen.Members {
			f.Members = append(f.Members, freshness.Member{Name: m.Name, Incarnation: m.Incarnation, Since: m.Since})
		}
		n.tracker.Install(f)
		n.tracker.RecordRead(startedAt, seen.Revision)
	})
}

func (s *simulation) sendHeartbeat(from, to *node) func() bool {
	sentAt := time.Now()
	relayedRevision, bitmap := from.tracker.ReportBitmap()
	return s.messageTo(to, func() {
		to.tracker.MergeReportBitmap(relayedRevision, bitmap)
		revision, age := to.tracker.Confirmed()
		reply := freshness.Reply{
			Member: freshness.Member{Name: to.member.Name, Incarnation: to.member.Incarnation},
			SentAt: sentAt, Revision: revision, ConfirmedAge: age,
		}
		replyRevision, replyBitmap := to.tracker.ReportBitmap()
		s.inFlight = append(s.inFlight, s.messageTo(from, func() {
			from.tracker.RecordReply(reply)
			from.tracker.MergeReportBitmap(replyRevision, replyBitmap)
		}))
	})
}

// messageTo returns a message that is held back while its receiver is frozen.
func (s *simulation) messageTo(n *node, deliver func()) func() bool {
	return func() bool {
		if n.frozen && !n.stopped {
			return false
		}
		if !n.stopped {
			deliver()
		}
		return true
	}
}

func (s *simulation) deliverAll() {
	for progress := true; progress; {
		progress = false
		messages := s.inFlight
		s.inFlight = nil
		for _, message := range messages {
			if message() {
				progress = true
				continue
			}
			s.inFlight = append(s.inFlight, message)
		}
	}
}

// advance lets time pass, with the heartbeats and reads that the daemon makes.
func (s *simulation) advance(d time.Duration) {
	for ; d > 0; d -= heartbeatInterval {
		time.Sleep(min(d, heartbeatInterval))
		for _, n := range s.live() {
			if n.tracker.ShouldReadStore() {
				s.read(n)()
			}
			for _, peer := range s.live() {
				if peer != n && peer.group == n.group {
					s.sendHeartbeat(n, peer)()
				}
			}
		}
		s.deliverAll()
	}
}

func (s *simulation) join(n *node) {
	next, step, err := membership.Join(s.storedHead(), n.member, n.tracker.InForce())
	if err == nil && step != membership.StepNone {
		s.store(next)
	}
}

func (s *simulation) leave(remover, target *node) {
	next, step, err := membership.Leave(s.storedHead(), target.member.Name, target.member.Incarnation, remover.tracker.InForce())
	if remover != target {
		next, step, err = membership.Expel(
			s.storedHead(), remover.member.Name, target.member.Name, target.member.Incarnation, remover.tracker.InForce())
	}
	if err == nil && step != membership.StepNone {
		s.store(next)
	}
}

// ---------------------------------------------------------------------------------------------

func (s *simulation) step(rt *rapid.T) {
	n := rapid.SampledFrom(s.nodes).Draw(rt, "node")
	peer := rapid.SampledFrom(s.nodes).Draw(rt, "peer")
	switch rapid.IntRange(0, 25).Draw(rt, "action") {
	case 0, 1, 2, 3:
		s.advance(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "millis")) * time.Millisecond)
	case 4, 5:
		s.advance(time.Duration(rapid.IntRange(2, 8).Draw(rt, "seconds")) * time.Second)
	case 6, 7:
		if !s.down {
			s.store(s.storedHead())
		}
	case 8:
		s.inFlight = append(s.inFlight, s.read(n))
	case 9, 10:
		if !n.stopped && n != peer {
			s.inFlight = append(s.inFlight, s.sendHeartbeat(n, peer))
		}
	case 11, 12:
		s.handleOneMessage(rt, func(message func() bool) bool { return message() })
	case 13:
		s.handleOneMessage(rt, func(func() bool) bool { return true })
	case 14:
		n.frozen = true
	case 15, 16:
		n.frozen = false
	case 17, 18:
		s.partition(rt)
	case 19:
		s.down = !s.down
	case 20:
		n.stopped = n.stopped || len(s.live()) > 3
	case 21, 22:
		s.restart(rt)
	case 23, 24:
		s.maintainMembers()
	case 25:
		s.repairAll()
	}
}

func (s *simulation) handleOneMessage(rt *rapid.T, handle func(message func() bool) bool) {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(rt, "message")
	message := s.inFlight[i]
	if handle(message) {
		s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	}
}

// partition divides the instances into two groups; the store may be unreachable for one of them.
func (s *simulation) partition(rt *rapid.T) {
	cut := rapid.Bool().Draw(rt, "cut")
	for _, n := range s.nodes {
		n.group = rapid.IntRange(0, 1).Draw(rt, "group")
		n.storeCut = cut && n.group == 1
	}
}

// restart starts a process. If one of the same name exists, it ends.
func (s *simulation) restart(rt *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"}).Draw(rt, "name")
	if len(s.live()) > 6 {
		return
	}
	for _, n := range s.nodes {
		n.stopped = n.stopped || n.member.Name == name
	}
	s.start(name)
}

// maintainMembers changes the members as the daemons do: unreachable ones are removed, others join.
func (s *simulation) maintainMembers() {
	for _, n := range s.live() {
		if !s.canReadStore(n) {
			continue
		}
		for _, other := range s.nodes {
			if other.stopped || other.frozen || other.group != n.group {
				s.leave(n, other)
			}
		}
		s.join(n)
	}
}

func (s *simulation) repairAll() {
	s.down = false
	for _, n := range s.nodes {
		n.frozen, n.storeCut, n.group = false, false, 0
	}
	s.advance(6 * time.Second)
}
