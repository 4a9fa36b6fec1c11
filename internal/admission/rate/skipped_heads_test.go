package rate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
)

// This file tests instances that freeze, miss a head that comes into force meanwhile, and read only a later one.

// Guards against tokens that a skipped head has taken away: the operators lower the burst, or the members change,
// while an instance is frozen, and the instance reads only the head that follows.
func TestSkippedHeadsGrantNoTokens(t *testing.T) {
	otherLimit := rate.Limit{Workspace: "other", Rate: 20, Burst: 100}
	for _, c := range []struct {
		name    string
		before  rate.Limit
		skipped func(w *simulation)
		next    func(w *simulation)
	}{
		{
			name: "smaller burst", before: smallLimit(),
			skipped: func(w *simulation) { w.changeLimit(rate.Limit{Workspace: workspace, Rate: 20, Burst: 50}) },
			next:    func(w *simulation) { w.changeLimit(rate.Limit{Workspace: workspace, Rate: 20, Burst: 200}) },
		},
		{
			name: "one more member", before: smallLimit(),
			skipped: func(w *simulation) { w.grow("e") },
			next:    func(w *simulation) { w.expelUnreachable(w.nodes[4]) },
		},
		{
			name: "new workspace", before: otherLimit,
			skipped: func(w *simulation) { w.changeLimit(smallLimit()) },
			next:    func(w *simulation) { w.expelUnreachable(w.nodes[3]) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.before, []string{"a", "b", "c", "d"}, func(is *is.I, w *simulation) {
				frozen := w.nodes[2]
				frozen.frozen = true
				c.skipped(w)
				w.advance(20 * time.Second)
				c.next(w)
				frozen.frozen = false
				w.read(frozen)()
				is.True(w.oracle.excess(w) < tolerance)
			})
		})
	}
}

// Guards against an instance that gets no tokens any more after it has skipped a head.
func TestInstanceRefillsAfterSkippedHeads(t *testing.T) {
	withFleet(t, smallLimit(), []string{"a", "b", "c", "d"}, func(is *is.I, w *simulation) {
		frozen := w.nodes[2]
		frozen.frozen = true
		w.changeLimit(rate.Limit{Workspace: workspace, Rate: 20, Burst: 50})
		w.advance(20 * time.Second)
		w.changeLimit(rate.Limit{Workspace: workspace, Rate: 20, Burst: 200})
		frozen.frozen = false
		w.advance(20 * time.Second)
		is.Equal(frozen.ledger.Available(workspace), 50.0)
		is.True(w.oracle.excess(w) < tolerance)
	})
}

// Guards against a bucket that is emptied without need: an instance that was fresh until it read the head has skipped
// none that was in force, and keeps its tokens.
func TestFreshInstanceKeepsItsTokensOverSkippedHeads(t *testing.T) {
	withFleet(t, smallLimit(), []string{"a", "b", "c", "d"}, func(is *is.I, w *simulation) {
		a := w.nodes[0]
		w.changeLimit(rate.Limit{Workspace: workspace, Rate: 40, Burst: 100})
		w.changeLimit(smallLimit())
		w.read(a)()
		is.Equal(a.ledger.Available(workspace), 25.0)
	})
}

// Guards against tokens of a member that may still spend them: a workspace is declared, a member is removed, and a
// fresh instance learns of both with one head. Its share under that head is larger than the one that the others hold.
func TestWorkspaceDeclaredInASkippedHeadStartsAtTheSmallerShare(t *testing.T) {
	otherLimit := rate.Limit{Workspace: "other", Rate: 20, Burst: 100}
	withFleet(t, otherLimit, []string{"a", "b", "c", "d"}, func(is *is.I, w *simulation) {
		behind := w.nodes[2]
		w.changeLimit(smallLimit())
		for _, n := range w.nodes {
			if n != behind {
				w.read(n)()
			}
		}
		w.expelUnreachable(w.nodes[3])
		w.read(behind)()
		is.Equal(behind.ledger.Available(workspace), 25.0)
		is.True(w.oracle.excess(w) < tolerance)
	})
}

func (w *simulation) changeLimit(limit rate.Limit) { w.swap(w.stored().head, limit) }

// expelUnreachable has the first instance remove a member that is live but can no longer reach the store.
func (w *simulation) expelUnreachable(gone *node) {
	gone.storeUnreachable = true
	w.leave(w.nodes[0], gone)
}
