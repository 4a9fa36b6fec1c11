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

// This file simulates a fleet in one process with a fake clock: real ledgers and real freshness trackers, with a
// simulated store, messages and engines, so that any of them can be lost, delayed or stopped.

const (
	workspace          = "markers"
	bound              = 3 * time.Second
	loanUseWindow      = time.Second
	maxReservationTime = 6 * time.Second
	loanLifetime       = (loanUseWindow + maxReservationTime) * 21 / 20
	heartbeatInterval  = 250 * time.Millisecond
)

// version is the head as stored, with the limit that it declares.
type version struct {
	head  head.Head
	limit rate.Limit
}

type node struct {
	member           head.Member
	ledger           *rate.Ledger
	tracker          *freshness.Tracker
	dead             bool
	frozen           bool
	storeUnreachable bool
	isolated         bool // unreachable for its peers
}

// runningRequest is a request at an engine, which continues to generate whatever happens to the instance.
type runningRequest struct {
	node        *node
	reservation *rate.Reservation
	left        float64
	unreported  float64
	unused      float64 // what is left when the request ends
}

type simulation struct {
	versions  []version
	down      bool
	nodes     []*node
	running   []*runningRequest
	inTransit []func() bool // messages in transit; each returns whether it was delivered
	starts    int
	oracle    oracleBucket
}

func newSimulation(limit rate.Limit) *simulation {
	w := &simulation{versions: []version{{limit: limit}}}
	w.swap(head.Head{}, limit)
	w.oracle = oracleBucket{level: limit.Burst, at: time.Now(), rate: limit.Rate}
	return w
}

func (w *simulation) stored() version { return w.versions[len(w.versions)-1] }

func (w *simulation) swap(h head.Head, limit rate.Limit) {
	w.versions = append(w.versions, version{head: h.WithSwap(fmt.Sprint(len(w.versions))), limit: limit})
}

// ---------------------------------------------------------------------------------------------
// Instances.

func (w *simulation) start(name string) *node {
	w.starts++
	m := head.Member{Name: name, Incarnation: fmt.Sprint(name, "#", w.starts), Address: name}
	self := freshness.Member{Name: m.Name, Incarnation: m.Incarnation}
	n := &node{member: m, tracker: &freshness.Tracker{Self: self, Bound: bound}}
	n.ledger = &rate.Ledger{
		Self:      rate.Identity{Name: m.Name, Incarnation: m.Incarnation},
		Freshness: n.tracker, LoanUseWindow: loanUseWindow, MaxReservationTime: maxReservationTime,
	}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *simulation) live() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.dead || n.frozen })
}

func (w *simulation) readable(n *node) bool {
	return !w.down && !n.storeUnreachable && !n.dead && !n.frozen
}

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

// read returns the delivery of a store read that starts now.
func (w *simulation) read(n *node) func() bool {
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

// heartbeat returns the delivery of a heartbeat that is sent now; it queues the delivery of the reply.
func (w *simulation) heartbeat(from, to *node) func() bool {
	sentAt := time.Now()
	return w.toNode(to, func() {
		revision, age := to.tracker.Confirmed()
		reply := freshness.Reply{
			Member: freshness.Member{Name: to.member.Name, Incarnation: to.member.Incarnation},
			SentAt: sentAt, Revision: revision, ConfirmedAge: age,
		}
		w.inTransit = append(w.inTransit, w.toNode(from, func() { from.tracker.RecordReply(reply) }))
	})
}

func (w *simulation) toNode(n *node, deliver func()) func() bool {
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

// join and leave change the stored head by compare-and-swap, based on what the given instance has installed.
func (w *simulation) join(n *node) {
	v := w.stored()
	next, step, err := membership.Join(v.head, n.member, n.tracker.InForce())
	if err == nil && step != membership.StepNone {
		w.swap(next, v.limit)
	}
}

// grow starts instances one after the other and waits until each is a member.
func (w *simulation) grow(names ...string) {
	for _, name := range names {
		n := w.start(name)
		for n.tracker.Fresh() != nil {
			w.advance(time.Second)
			w.join(n)
		}
	}
}

func (w *simulation) leave(by, gone *node) {
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

// deliver delivers all messages in transit.
func (w *simulation) deliver() {
	for len(w.inTransit) > 0 {
		batch := w.inTransit
		w.inTransit = nil
		var stuck []func() bool
		for _, message := range batch {
			if !message() {
				stuck = append(stuck, message)
			}
		}
		if len(w.inTransit) == 0 {
			w.inTransit = stuck
			return
		}
		w.inTransit = append(w.inTransit, stuck...)
	}
}

// advance lets time pass, with the heartbeats and reads that the daemon would make.
func (w *simulation) advance(d time.Duration) {
	for d > 0 {
		step := min(d, heartbeatInterval)
		time.Sleep(step)
		d -= step
		w.exchange()
	}
}

// exchange is one round of heartbeats and of the reads that are due.
func (w *simulation) exchange() {
	w.oracle.advance(w)
	for _, n := range w.live() {
		n.ledger.Available(workspace) // the daemon's regular calls advance the buckets
		if n.tracker.ShouldReadStore() {
			w.read(n)()
		}
		for _, peer := range w.live() {
			if peer != n && !peer.isolated && !n.isolated {
				w.heartbeat(n, peer)()
			}
		}
	}
	w.deliver()
	w.dropFinished()
}

// dropFinished drops the requests past their deadline: engines end them in time.
func (w *simulation) dropFinished() {
	w.running = slices.DeleteFunc(w.running, func(r *runningRequest) bool {
		return r.left <= 0 && r.unreported == 0 || !time.Now().Before(r.reservation.Deadline())
	})
}

// ---------------------------------------------------------------------------------------------
// Requests.

func (w *simulation) reserve(n *node, tokens float64) error {
	reservation, err := n.ledger.Reserve(workspace, tokens)
	if err == nil {
		w.running = append(w.running, &runningRequest{node: n, reservation: reservation, left: tokens})
	}
	return err
}

// generate makes the engine generate tokens; they are reported to the instance unless it is frozen or dead.
func (w *simulation) generate(r *runningRequest, tokens float64) {
	tokens = min(tokens, r.left)
	if !time.Now().Before(r.reservation.Deadline()) {
		return
	}
	r.left -= tokens
	r.unreported += tokens
	w.oracle.spend(w, tokens)
	w.report(r)
}

func (w *simulation) report(r *runningRequest) {
	if !r.node.frozen && !r.node.dead {
		r.reservation.Spend(r.unreported)
		r.unreported = 0
	}
}

func (w *simulation) settle(r *runningRequest) {
	if r.node.frozen || r.node.dead {
		return
	}
	w.report(r)
	r.reservation.Settle(0)
	r.left = 0
	w.dropFinished()
}

// borrow borrows as the daemon does: by the plan, until the missing tokens have arrived. The response of each peer
// may be lost.
func (w *simulation) borrow(n *node, tokens float64, lost func() bool) {
	for _, request := range n.ledger.PlanBorrowing(workspace, tokens) {
		peer := w.find(request.Peer)
		if peer == nil || n.isolated || peer.isolated {
			n.ledger.ReceiveLoan(request, rate.Loan{Lender: request.Peer})
			continue
		}
		request.Tokens = min(request.Tokens, tokens-n.ledger.Available(workspace))
		if request.Tokens <= 0 {
			return
		}
		loan := peer.ledger.Lend(workspace, request.Tokens, n.ledger.Self)
		if !lost() {
			n.ledger.ReceiveLoan(request, loan)
		}
	}
}

// rebalance rebalances an instance's bucket.
func (w *simulation) rebalance(n *node) {
	for _, request := range n.ledger.PlanRebalancing() {
		if peer := w.find(request.Peer); peer != nil && !n.isolated && !peer.isolated {
			n.ledger.ReceiveLoan(request, peer.ledger.LendSpare(workspace, request.Tokens, n.ledger.Self))
		}
	}
}

// deliverReturns delivers the pending returns from one instance to another.
func (w *simulation) deliverReturns(from, to *node) {
	returns := from.ledger.PendingReturns(to.ledger.Self)
	to.ledger.ApplyReturns(from.ledger.Self, returns)
	from.ledger.AcknowledgeReturns(to.ledger.Self, returns)
}

func (w *simulation) find(id rate.Identity) *node {
	for _, n := range w.live() {
		if n.ledger.Self == id {
			return n
		}
	}
	return nil
}

// ---------------------------------------------------------------------------------------------

// oracleBucket is the oracle: one bucket for the whole fleet, filled with the burst, from which every token that
// any engine generates is taken. Its level must never fall below what can still be spent. Between two limits the
// larger one counts: for the rate until the newer is in force everywhere, and for the burst until the requests
// admitted before have ended as well.
type oracleBucket struct {
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

func (l *oracleBucket) advance(w *simulation) {
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
			l.bursts = append(l.bursts, oldBurst{burst: v.limit.Burst, until: now.Add(loanLifetime)})
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

func (l *oracleBucket) spend(w *simulation, tokens float64) {
	if !l.at.Equal(time.Now()) {
		l.advance(w)
	}
	l.level -= tokens
	l.spent += tokens
}

// excess returns by how much the limit would be exceeded if all tokens that can be reserved now were reserved and
// all reserved tokens were generated at this moment.
func (l *oracleBucket) excess(w *simulation) float64 {
	l.advance(w)
	w.dropFinished()
	could := 0.0
	for _, n := range w.live() {
		could += n.ledger.Available(workspace)
	}
	for _, r := range w.running {
		could += r.left
	}
	return could - l.level
}
