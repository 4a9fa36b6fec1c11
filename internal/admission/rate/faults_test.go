package rate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
)

// within runs a check on a fleet whose buckets are full.
func within(t *testing.T, limit rate.Limit, names []string, check func(is *is.I, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(limit)
		w.grow(names...)
		w.pass(time.Minute)
		check(is.New(t), w)
	})
}

func small() rate.Limit { return rate.Limit{Workspace: workspace, Rate: 20, Burst: 100} }

func never() bool { return false }

// spendAll reserves and generates all that can be had now.
func (w *world) spendAll() {
	for _, n := range w.live() {
		_ = w.reserve(n, n.ledger.Available(workspace))
	}
	for _, r := range w.running {
		w.generate(r, r.left)
	}
	w.finish()
}

// An instance borrows for a long request, which is given up just before its time is over; the refund
// goes into another long request. If the borrowed capacity backed that one too, the lender would long
// have filled up again, and both would spend the same tokens.
func TestBorrowedCapacityBacksNoLaterRequest(t *testing.T) {
	within(t, small(), []string{"a", "b"}, func(is *is.I, w *world) {
		a := w.nodes[0]
		w.borrow(a, 90, never)
		is.NoErr(w.reserve(a, 90))
		w.pass(longest - 100*time.Millisecond)
		w.settle(w.running[0])
		_ = w.reserve(a, a.ledger.Available(workspace))
		w.pass(longest - 100*time.Millisecond)
		is.True(w.line.over(w) < tolerance)
	})
}

// A lender's answer hangs in the network until the lender has taken its tokens back. If they were used
// all the same, they would be spent on both sides.
func TestLateLoanIsNotUsed(t *testing.T) {
	within(t, small(), []string{"a", "b"}, func(is *is.I, w *world) {
		a, b := w.nodes[0], w.nodes[1]
		is.NoErr(w.reserve(a, 50))
		ask := a.ledger.PlanBorrowing(workspace, 50)[0]
		loan := b.ledger.Lend(workspace, ask.Tokens, a.ledger.Self)
		is.True(loan.Tokens > 40)
		w.pass(hold + 5*time.Second)
		a.ledger.ReceiveLoan(ask, loan)
		is.True(w.line.over(w) < tolerance)
	})
}

// The message that gives a part of a loan back is repeated, since its answer was lost. If it counted
// twice, the lender would hold tokens that nobody has.
func TestRepeatedReturnCountsOnce(t *testing.T) {
	within(t, small(), []string{"a", "b"}, func(is *is.I, w *world) {
		a, b := w.nodes[0], w.nodes[1]
		ask := rate.BorrowRequest{Workspace: workspace, Peer: b.ledger.Self, Tokens: 40, PlannedAt: time.Now()}
		loan := b.ledger.Lend(workspace, ask.Tokens, a.ledger.Self)
		w.spendAll()
		returns := []rate.LoanReturn{{Workspace: workspace, Loan: loan.ID, Remaining: 20, Unspent: 20}}
		for range 3 {
			b.ledger.ApplyReturns(a.ledger.Self, returns)
		}
		is.Equal(b.ledger.Available(workspace), 20.0)
	})
}

// A process starts and is made a member before it has read anything. If it took its share at once, the
// others would still be spending it.
func TestJoiningProcessStartsEmpty(t *testing.T) {
	within(t, small(), []string{"a", "b"}, func(is *is.I, w *world) {
		c := w.start("c")
		v := w.stored()
		w.swap(v.head.WithMember(c.member), v.limit)
		for range 40 {
			w.read(c)()
			is.True(w.line.over(w) < tolerance)
			w.pass(beatEvery)
			is.True(w.line.over(w) < tolerance)
		}
		w.pass(20 * time.Second)
		is.True(c.ledger.Available(workspace) > 33) // its share comes once the others have let go of it
	})
}

// An instance freezes, is taken for dead and removed, wakes and joins again before it has read the head
// without it. Its old share has gone to the others meanwhile; if it kept it, all would spend it twice.
func TestProcessAddedAgainLosesItsOldShare(t *testing.T) {
	within(t, small(), []string{"a", "b", "c"}, func(is *is.I, w *world) {
		c := w.nodes[2]
		c.frozen = true
		w.pass(5 * time.Second)
		w.leave(w.nodes[0], c)
		w.pass(time.Minute)
		c.frozen = false
		v := w.stored()
		w.swap(v.head.WithMember(c.member), v.limit)
		for range 10 {
			w.read(c)()
			is.True(w.line.over(w) < tolerance)
			w.pass(beatEvery)
		}
	})
}

// An instance is frozen while another joins and takes over part of its refill. If it counted the time
// it slept at its old rate, the workspace would get more than its rate for as long as it slept.
func TestNoRefillWhileFrozen(t *testing.T) {
	limit := rate.Limit{Workspace: workspace, Rate: 20, Burst: 3000}
	within(t, limit, []string{"a", "b", "c"}, func(is *is.I, w *world) {
		w.pass(3 * time.Minute)
		w.spendAll()
		c := w.nodes[2]
		c.frozen = true
		w.grow("d")
		for range 60 {
			w.pass(time.Second)
			w.spendAll()
		}
		c.frozen = false
		w.pass(beatEvery)
		is.True(c.tracker.Fresh() == nil)
		is.True(w.line.over(w) < tolerance)
	})
}

// A request is neither settled nor cancelled, because whatever served it is stuck. Its tokens would be
// held for ever, and the workspace refused within its rate.
func TestOverdueReservationIsVoid(t *testing.T) {
	within(t, small(), []string{"a", "b"}, func(is *is.I, w *world) {
		a := w.nodes[0]
		is.NoErr(w.reserve(a, 50))
		w.pass(longest + 5*time.Second)
		is.True(a.ledger.Available(workspace) > 49)
	})
}

// A request that costs more than the workspace may ever spend at once would be retried for ever if it
// were refused like one that comes too early.
func TestRefusalsHaveStableCodes(t *testing.T) {
	tests := []struct {
		name      string
		workspace string
		tokens    float64
		code      string
	}{
		{"more than the burst", workspace, 101, rate.CodeTooLarge},
		{"more than is here", workspace, 80, rate.CodeRate},
		{"no such workspace", "nobody", 1, rate.CodeUnknownWorkspace},
	}
	within(t, small(), []string{"a", "b"}, func(is *is.I, w *world) {
		for _, tt := range tests {
			_, err := w.nodes[0].ledger.Reserve(tt.workspace, tt.tokens)
			is.Equal(err.(rate.Refusal).Code(), tt.code)
		}
		w.nodes[0].cut, w.nodes[0].isolated = true, true
		w.pass(bound)
		_, err := w.nodes[0].ledger.Reserve(workspace, 1)
		is.Equal(err.(rate.Refusal).Code(), rate.CodeStale)
	})
}

// An instance is cut off from its peers and the store until it may not act on its head any more. A request of it
// goes on meanwhile and spends, and then it is reached again. If the time of the cut counted as refill after all,
// it would fill the room that the request has just made, although the bucket was full before: the tokens of that
// request would be there twice.
func TestNoRefillForTheTimeBeforeASpending(t *testing.T) {
	within(t, small(), []string{"a", "b", "c", "d"}, func(is *is.I, w *world) {
		a := w.nodes[0]
		is.NoErr(w.reserve(a, 10))
		a.cut, a.isolated = true, true
		w.pass(bound + time.Second)
		is.True(a.tracker.Fresh() != nil)
		w.generate(w.running[0], 10)
		a.cut, a.isolated = false, false
		w.pass(time.Millisecond)
		is.True(a.tracker.Fresh() == nil)
		is.True(w.line.over(w) < tolerance)
	})
}
