package rate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
)

// withFleet runs a check on a fleet whose buckets are full.
func withFleet(t *testing.T, limit rate.Limit, names []string, check func(is *is.I, w *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(limit)
		w.grow(names...)
		w.advance(time.Minute)
		check(is.New(t), w)
	})
}

func smallLimit() rate.Limit { return rate.Limit{Workspace: workspace, Rate: 20, Burst: 100} }

func neverLost() bool { return false }

// spendAll reserves and generates all tokens that are available now.
func (w *simulation) spendAll() {
	for _, n := range w.live() {
		_ = w.reserve(n, n.ledger.Available(workspace))
	}
	for _, r := range w.running {
		w.generate(r, r.left)
	}
	w.dropFinished()
}

// Guards against tokens spent by both borrower and lender. An instance borrows for a long request, which is
// cancelled just before its deadline; the refund is used for another long request. If the borrowed capacity backed
// that one too, the lender would have refilled long before, and both would spend the same tokens.
func TestBorrowedCapacityBacksNoLaterRequest(t *testing.T) {
	withFleet(t, smallLimit(), []string{"a", "b"}, func(is *is.I, w *simulation) {
		a := w.nodes[0]
		w.borrow(a, 90, neverLost)
		is.NoErr(w.reserve(a, 90))
		w.advance(maxReservationTime - 100*time.Millisecond)
		w.settle(w.running[0])
		_ = w.reserve(a, a.ledger.Available(workspace))
		w.advance(maxReservationTime - 100*time.Millisecond)
		is.True(w.oracle.excess(w) < tolerance)
	})
}

// Guards against a loan that is used after its lender has taken the tokens back, because the lender's response was
// delayed in the network. Both sides would spend the tokens.
func TestLateLoanIsNotUsed(t *testing.T) {
	withFleet(t, smallLimit(), []string{"a", "b"}, func(is *is.I, w *simulation) {
		a, b := w.nodes[0], w.nodes[1]
		is.NoErr(w.reserve(a, 50))
		request := a.ledger.PlanBorrowing(workspace, 50)[0]
		loan := b.ledger.Lend(workspace, request.Tokens, a.ledger.Self)
		is.True(loan.Tokens > 40)
		w.advance(loanLifetime + 5*time.Second)
		a.ledger.ReceiveLoan(request, loan)
		is.True(w.oracle.excess(w) < tolerance)
	})
}

// Guards against a repeated return that counts twice: its response was lost, so it was sent again. The lender would
// hold tokens that do not exist.
func TestRepeatedReturnCountsOnce(t *testing.T) {
	withFleet(t, smallLimit(), []string{"a", "b"}, func(is *is.I, w *simulation) {
		a, b := w.nodes[0], w.nodes[1]
		request := rate.BorrowRequest{Workspace: workspace, Peer: b.ledger.Self, Tokens: 40, PlannedAt: time.Now()}
		loan := b.ledger.Lend(workspace, request.Tokens, a.ledger.Self)
		w.spendAll()
		returns := []rate.LoanReturn{{Workspace: workspace, Loan: loan.ID, Remaining: 20, Unspent: 20}}
		for range 3 {
			b.ledger.ApplyReturns(a.ledger.Self, returns)
		}
		is.Equal(b.ledger.Available(workspace), 20.0)
	})
}

// Guards against a process that uses its share at once when it is made a member before it has read the
// configuration. The others would still be spending that share.
func TestJoiningProcessStartsEmpty(t *testing.T) {
	withFleet(t, smallLimit(), []string{"a", "b"}, func(is *is.I, w *simulation) {
		c := w.start("c")
		v := w.stored()
		w.swap(v.head.WithMember(c.member), v.limit)
		for range 40 {
			w.read(c)()
			is.True(w.oracle.excess(w) < tolerance)
			w.advance(heartbeatInterval)
			is.True(w.oracle.excess(w) < tolerance)
		}
		w.advance(20 * time.Second)
		is.True(c.ledger.Available(workspace) > 33) // its share arrives once the others have released it
	})
}

// Guards against a share that is spent twice. An instance freezes, is declared failed and removed, wakes and joins
// again before it has read the head without it. Its old share has been given to the others meanwhile.
func TestProcessAddedAgainLosesItsOldShare(t *testing.T) {
	withFleet(t, smallLimit(), []string{"a", "b", "c"}, func(is *is.I, w *simulation) {
		c := w.nodes[2]
		c.frozen = true
		w.advance(5 * time.Second)
		w.leave(w.nodes[0], c)
		w.advance(time.Minute)
		c.frozen = false
		v := w.stored()
		w.swap(v.head.WithMember(c.member), v.limit)
		for range 10 {
			w.read(c)()
			is.True(w.oracle.excess(w) < tolerance)
			w.advance(heartbeatInterval)
		}
	})
}

// Guards against refill for the time an instance was frozen, while another instance joined and took over part of
// its refill. The workspace would get more than its rate for as long as the freeze lasted.
func TestNoRefillWhileFrozen(t *testing.T) {
	limit := rate.Limit{Workspace: workspace, Rate: 20, Burst: 3000}
	withFleet(t, limit, []string{"a", "b", "c"}, func(is *is.I, w *simulation) {
		w.advance(3 * time.Minute)
		w.spendAll()
		c := w.nodes[2]
		c.frozen = true
		w.grow("d")
		for range 60 {
			w.advance(time.Second)
			w.spendAll()
		}
		c.frozen = false
		w.advance(heartbeatInterval)
		is.True(c.tracker.Fresh() == nil)
		is.True(w.oracle.excess(w) < tolerance)
	})
}

// Guards against tokens that stay reserved for ever when a request is neither settled nor cancelled because its
// server is stuck. The workspace would be refused within its rate.
func TestOverdueReservationIsVoid(t *testing.T) {
	withFleet(t, smallLimit(), []string{"a", "b"}, func(is *is.I, w *simulation) {
		a := w.nodes[0]
		is.NoErr(w.reserve(a, 50))
		w.advance(maxReservationTime + 5*time.Second)
		is.True(a.ledger.Available(workspace) > 49)
	})
}

// Guards against endless retries of a request that costs more than the workspace may ever spend at once: it must be
// refused with another code than one that comes too early.
func TestRefusalsHaveStableCodes(t *testing.T) {
	tests := []struct {
		name      string
		workspace string
		tokens    float64
		code      string
	}{
		{"more than the burst", workspace, 101, rate.CodeExceedsBurst},
		{"more than is here", workspace, 80, rate.CodeRateLimited},
		{"no such workspace", "nobody", 1, rate.CodeUnknownWorkspace},
	}
	withFleet(t, smallLimit(), []string{"a", "b"}, func(is *is.I, w *simulation) {
		for _, tt := range tests {
			_, err := w.nodes[0].ledger.Reserve(tt.workspace, tt.tokens)
			is.Equal(err.(rate.Refusal).Code(), tt.code)
		}
		w.nodes[0].storeUnreachable, w.nodes[0].isolated = true, true
		w.advance(bound)
		_, err := w.nodes[0].ledger.Reserve(workspace, 1)
		is.Equal(err.(rate.Refusal).Code(), rate.CodeStale)
	})
}

// Guards against tokens that exist twice after a partition. An instance cannot reach its peers and the store until
// it may no longer act on its head. One of its requests continues and spends, and then the partition ends. If the
// time of the partition counted as refill, it would fill the room that the request has just made, although the
// bucket was full before.
func TestNoRefillForTheTimeBeforeASpending(t *testing.T) {
	withFleet(t, smallLimit(), []string{"a", "b", "c", "d"}, func(is *is.I, w *simulation) {
		a := w.nodes[0]
		is.NoErr(w.reserve(a, 10))
		a.storeUnreachable, a.isolated = true, true
		w.advance(bound + time.Second)
		is.True(a.tracker.Fresh() != nil)
		w.generate(w.running[0], 10)
		a.storeUnreachable, a.isolated = false, false
		w.advance(time.Millisecond)
		is.True(a.tracker.Fresh() == nil)
		is.True(w.oracle.excess(w) < tolerance)
	})
}
