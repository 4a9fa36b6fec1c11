package rate_test

import (
	"fmt"
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
)

// This file is a fleet in one process on the paused clock: real ledgers and real freshness, with the
// store, the messages and the engines played by hand, so that any of them can be lost, late or stopped.

const (
	workspace = "markers"
	bound     = 3 * time.Second
	useWithin = time.Second
	longest   = 6 * time.Second
	hold      = (useWithin + longest) * 21 / 20
	beatEvery = 250 * time.Millisecond
)

// version is the head as the store has it, with the limit that it declares.
type version struct {
	head  head.Head
	limit rate.Limit
}

type node struct {
	member   head.Member
	ledger   *rate.Ledger
	tracker  *freshness.Tracker
	dead     bool
	frozen   bool
	cut      bool // from the store
	isolated bool // from its peers
}

// running is a request at an engine, which goes on generating whatever happens to the instance.
type running struct {
	node        *node
	reservation *rate.Reservation
	left        float64
	owed        float64
	unused      float64 // what is left when the request ends
}

type world struct {
	versions []version
	down     bool
	nodes    []*node
	running  []*running
	waiting  []func() bool // messages under way; each tells whether it was delivered
	births   int
	line     line
}

func newWorld(limit rate.Limit) *world {
	w := &world{versions: []version{{limit: limit}}}
	w.swap(head.Head{}, limit)
	w.line = line{level: limit.Burst, at: time.Now(), rate: limit.Rate}
	return w
}

func (w *world) stored() version { return w.versions[len(w.versions)-1] }

func (w *world) swap(h head.Head, limit rate.Limit) {
	w.versions = append(w.versions, version{head: h.WithSwap(fmt.Sprint(len(w.versions))), limit: limit})
}

// ---------------------------------------------------------------------------------------------
// Instances.

func (w *world) start(name string) *node {
	w.births++
	m := head.Member{Name: name, Incarnation: fmt.Sprint(name, "#", w.births), Address: name}
	self := freshness.Member{Name: m.Name, Incarnation: m.Incarnation}
	n := &node{member: m, tracker: &freshness.Tracker{Self: self, Bound: bound}}
	n.ledger = &rate.Ledger{
		Self:      rate.Identity{Name: m.Name, Incarnation: m.Incarnation},
		Freshness: n.tracker, LoanUseWindow: useWithin, MaxReservationTime: longest,
	}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) live() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.dead || n.frozen })
}

func (w *world) readable(n *node) bool { return !w.down && !n.cut && !n.dead && !n.frozen }

func (n *node) install(v version) {
	h := rate.Head{Revision: v.head.Revision, Limits: []rate.Limit{v.limit}}
	f := freshness.Head{Revision: v.head.Revision, Epoch: v.head.Epoch}
	for _, m := range v.head.Members {
		h.Members = append(h.Members, rate.Identity{Name: m.Name, Incarnation: m.Incarnation})
		f.Members = append(f.Members, freshness.Member{Name: m.Name, Incarnation: m.Incarnation, Since: m.Since})
		if m.Name == n.member.Name && m.Incarnation == n.member.Incarnation {
			h.Since = m.Since
		}
	}
	n.ledger.Install(h)
	n.tracker.Install(f)
}

// read returns the delivery of a read of the store that is made now.
func (w *world) read(n *node) func() bool {
	began := time.Now()
	if !w.readable(n) {
		n.tracker.RecordReadFailure(began)
		return func() bool { return true }
	}
	seen := w.stored()
	return w.toNode(n, func() {
		n.install(seen)
		n.tracker.RecordRead(began, seen.head.Revision)
	})
}

// beat returns the two deliveries of a heartbeat asked now.
func (w *world) beat(from, to *node) func() bool {
	asked := time.Now()
	return w.toNode(to, func() {
		revision, age := to.tracker.Confirmed()
		reply := freshness.Reply{
			Member: freshness.Member{Name: to.member.Name, Incarnation: to.member.Incarnation},
			SentAt: asked, Revision: revision, ConfirmedAge: age,
		}
		w.waiting = append(w.waiting, w.toNode(from, func() { from.tracker.RecordReply(reply) }))
	})
}

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

// join and leave are swaps by one instance, on the head as stored, with what that instance knows.
func (w *world) join(n *node) {
	v := w.stored()
	next, step, err := membership.Join(v.head, n.member, n.tracker.InForce())
	if err == nil && step != membership.StepNone {
		w.swap(next, v.limit)
	}
}

// grow starts instances one after the other and waits until each is a member.
func (w *world) grow(names ...string) {
	for _, name := range names {
		n := w.start(name)
		for n.tracker.Fresh() != nil {
			w.pass(time.Second)
			w.join(n)
		}
	}
}

func (w *world) leave(by, gone *node) {
	v := w.stored()
	next, step, err := membership.Leave(v.head, gone.member.Name, gone.member.Incarnation, by.tracker.InForce())
	if by != gone {
		next, step, err = membership.Expel(
			v.head, by.member.Name, gone.member.Name, gone.member.Incarnation, by.tracker.InForce())
	}
	if err == nil && step != membership.StepNone {
		w.swap(next, v.limit)
	}
}

// ---------------------------------------------------------------------------------------------
// Time and messages.

// deliver passes on everything under way.
func (w *world) deliver() {
	for len(w.waiting) > 0 {
		batch := w.waiting
		w.waiting = nil
		var stuck []func() bool
		for _, message := range batch {
			if !message() {
				stuck = append(stuck, message)
			}
		}
		if len(w.waiting) == 0 {
			w.waiting = stuck
			return
		}
		w.waiting = append(w.waiting, stuck...)
	}
}

// pass lets time run, with the heartbeats and reads that the daemon would make.
func (w *world) pass(d time.Duration) {
	for d > 0 {
		step := min(d, beatEvery)
		time.Sleep(step)
		d -= step
		w.exchange()
	}
}

// exchange is one round of heartbeats and of the reads that are due.
func (w *world) exchange() {
	w.line.advance(w)
	for _, n := range w.live() {
		n.ledger.Available(workspace) // the daemon's regular calls bring the buckets to now
		if n.tracker.ShouldReadStore() {
			w.read(n)()
		}
		for _, peer := range w.live() {
			if peer != n && !peer.isolated && !n.isolated {
				w.beat(n, peer)()
			}
		}
	}
	w.deliver()
	w.finish()
}

// finish drops the requests past their deadline: engines end within it.
func (w *world) finish() {
	w.running = slices.DeleteFunc(w.running, func(r *running) bool {
		return r.left <= 0 && r.owed == 0 || !time.Now().Before(r.reservation.Deadline())
	})
}

// ---------------------------------------------------------------------------------------------
// Requests.

func (w *world) reserve(n *node, tokens float64) error {
	reservation, err := n.ledger.Reserve(workspace, tokens)
	if err == nil {
		w.running = append(w.running, &running{node: n, reservation: reservation, left: tokens})
	}
	return err
}

// generate lets the engine make tokens; the instance hears of them unless it is frozen or dead.
func (w *world) generate(r *running, tokens float64) {
	tokens = min(tokens, r.left)
	if !time.Now().Before(r.reservation.Deadline()) {
		return
	}
	r.left -= tokens
	r.owed += tokens
	w.line.spend(w, tokens)
	w.report(r)
}

func (w *world) report(r *running) {
	if !r.node.frozen && !r.node.dead {
		r.reservation.Spend(r.owed)
		r.owed = 0
	}
}

func (w *world) settle(r *running) {
	if r.node.frozen || r.node.dead {
		return
	}
	w.report(r)
	r.reservation.Settle(0)
	r.left = 0
	w.finish()
}

// borrow asks as the daemon does: by the plan, until the missing tokens have come. The answer of each
// peer may be lost.
func (w *world) borrow(n *node, tokens float64, lost func() bool) {
	for _, ask := range n.ledger.PlanBorrowing(workspace, tokens) {
		peer := w.find(ask.Peer)
		if peer == nil || n.isolated || peer.isolated {
			n.ledger.ReceiveLoan(ask, rate.Loan{Lender: ask.Peer})
			continue
		}
		ask.Tokens = min(ask.Tokens, tokens-n.ledger.Available(workspace))
		if ask.Tokens <= 0 {
			return
		}
		loan := peer.ledger.Lend(workspace, ask.Tokens, n.ledger.Self)
		if !lost() {
			n.ledger.ReceiveLoan(ask, loan)
		}
	}
}

// topUp balances an instance's bucket.
func (w *world) topUp(n *node) {
	for _, ask := range n.ledger.PlanRebalancing() {
		if peer := w.find(ask.Peer); peer != nil && !n.isolated && !peer.isolated {
			n.ledger.ReceiveLoan(ask, peer.ledger.LendSpare(workspace, ask.Tokens, n.ledger.Self))
		}
	}
}

// giveBack passes on the returns between two instances.
func (w *world) giveBack(from, to *node) {
	returns := from.ledger.PendingReturns(to.ledger.Self)
	to.ledger.ApplyReturns(from.ledger.Self, returns)
	from.ledger.AcknowledgeReturns(to.ledger.Self, returns)
}

func (w *world) find(id rate.Identity) *node {
	for _, n := range w.live() {
		if n.ledger.Self == id {
			return n
		}
	}
	return nil
}

// ---------------------------------------------------------------------------------------------

// line is the oracle: one bucket for the whole fleet, filled with the burst, from which every token
// that any engine generates is taken. It must never fall below what can still be spent. Between two limits it is the larger
// one that counts, for the rate until the newer is in force everywhere and for the burst until the
// requests admitted before have ended too.
type line struct {
	level   float64
	at      time.Time
	rate    float64
	inForce int64
	bursts  []oldBurst
	spent   float64
}

type oldBurst struct {
	burst float64
	until time.Time
}

func (l *line) advance(w *world) {
	now := time.Now()
	l.level += l.rate * now.Sub(l.at).Seconds()
	l.at = now
	before := l.inForce
	for _, n := range w.nodes {
		l.inForce = max(l.inForce, n.tracker.InForce())
	}
	rateNow, burstNow := 0.0, 0.0
	for _, v := range w.versions {
		if v.head.Revision >= l.inForce {
			rateNow, burstNow = max(rateNow, v.limit.Rate), max(burstNow, v.limit.Burst)
		} else if v.head.Revision >= before {
			l.bursts = append(l.bursts, oldBurst{burst: v.limit.Burst, until: now.Add(hold)})
		}
	}
	for _, old := range l.bursts {
		if now.Before(old.until) {
			burstNow = max(burstNow, old.burst)
		}
	}
	l.rate = rateNow
	l.level = min(l.level, burstNow)
}

func (l *line) spend(w *world, tokens float64) {
	if !l.at.Equal(time.Now()) {
		l.advance(w)
	}
	l.level -= tokens
	l.spent += tokens
}

// over is by how much the line would be crossed if all that can be reserved now were reserved and
// all that is reserved were generated, in this moment.
func (l *line) over(w *world) float64 {
	l.advance(w)
	w.finish()
	could := 0.0
	for _, n := range w.live() {
		could += n.ledger.Available(workspace)
	}
	for _, r := range w.running {
		could += r.left
	}
	return could - l.level
}
