package rate_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/proof/bubble"
)

const (
	stepsPerCheck = 150
	tolerance     = 1e-3 // of a token, for rounding
)

// Instances come and go, freeze and wake, lose each other and the store, and lose messages, while
// operators change the workspace's rate and burst. If any of that let the same tokens be spent twice,
// the co-operative would pay its supplier for tokens that no member bought; the workspace itself would
// notice nothing. The oracle is one bucket from which every token that an engine makes is taken.
func TestFleetNeverSpendsOverTheLine(t *testing.T) {
	steps, spent, checks := 0, 0.0, 0
	rapid.Check(t, func(rt *rapid.T) {
		fault := bubble.Check(t, func() string {
			w := newWorld(rate.Limit{Workspace: workspace, Rate: 20, Burst: 100})
			w.grow("a", "b", "c", "d")
			w.pass(20 * time.Second)
			for range stepsPerCheck {
				w.step(rt)
				steps++
				if over := w.line.over(w); over > tolerance {
					return fmt.Sprintf("%.3f tokens can be spent over the line", over)
				}
			}
			spent += w.line.spent
			checks++
			return ""
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
	t.Logf("%d checks, %d steps, %.0f tokens spent, 0 over the line", checks, steps, spent)
}

func (w *world) step(rt *rapid.T) {
	n := rapid.SampledFrom(w.nodes).Draw(rt, "node")
	peer := rapid.SampledFrom(w.nodes).Draw(rt, "peer")
	action := rapid.SampledFrom(actions).Draw(rt, "action")
	action(w, rt, n, peer)
}

func amount(rt *rapid.T) float64 {
	return float64(rapid.IntRange(1, 60).Draw(rt, "tokens"))
}

type action func(w *world, rt *rapid.T, n, peer *node)

var actions = []action{
	doReserve, doReserve, doReserve, doDrain, doDrain, doGenerate, doGenerate, doSettle, doSettle,
	doBorrow, doBorrow, doBorrow, doTopUp, doGiveBack, doGiveBack, doPass, doPass, doPass, doPassLong,
	doLateRead, doLateBeat, doDeliverOne, doLoseOne, doFreeze, doWake, doWake, doWake, doCut, doHeal, doHeal,
	doOutage, doRecover, doRecover, doKill, doStart, doJoin, doJoin, doLeave, doChangeRate,
	doMend, doMend, doTend, doTend, doTend, doDrain, doPass, doPass,
}

func doReserve(w *world, rt *rapid.T, n, _ *node) {
	if !n.dead && !n.frozen {
		_ = w.reserve(n, amount(rt))
	}
}

// doDrain takes all that can be taken anywhere and spends it in the same moment.
func doDrain(w *world, _ *rapid.T, _, _ *node) {
	for _, n := range w.live() {
		for tokens := 64.0; tokens >= 1; tokens /= 2 {
			for w.reserve(n, tokens) == nil {
			}
		}
	}
	for _, r := range w.running {
		w.generate(r, r.left)
	}
	w.finish()
}

func doGenerate(w *world, rt *rapid.T, _, _ *node) {
	if len(w.running) > 0 {
		w.generate(rapid.SampledFrom(w.running).Draw(rt, "request"), amount(rt))
	}
}

func doSettle(w *world, rt *rapid.T, _, _ *node) {
	if len(w.running) > 0 {
		w.settle(rapid.SampledFrom(w.running).Draw(rt, "request"))
	}
}

func doBorrow(w *world, rt *rapid.T, n, _ *node) {
	if n.dead || n.frozen {
		return
	}
	tokens := amount(rt)
	w.borrow(n, tokens, func() bool { return rapid.IntRange(0, 5).Draw(rt, "lost") == 0 })
	_ = w.reserve(n, tokens)
}

func doTopUp(w *world, _ *rapid.T, n, _ *node) {
	if !n.dead && !n.frozen {
		w.topUp(n)
	}
}

func doGiveBack(w *world, _ *rapid.T, n, peer *node) {
	if !n.dead && !n.frozen && !peer.dead && !peer.frozen && n != peer {
		w.giveBack(n, peer)
	}
}

func doPass(w *world, rt *rapid.T, _, _ *node) {
	w.pass(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "millis")) * time.Millisecond)
}

func doPassLong(w *world, rt *rapid.T, _, _ *node) {
	w.pass(time.Duration(rapid.IntRange(2, 15).Draw(rt, "seconds")) * time.Second)
}

func doLateRead(w *world, _ *rapid.T, n, _ *node) {
	if w.readable(n) {
		w.waiting = append(w.waiting, w.read(n))
	}
}

func doLateBeat(w *world, _ *rapid.T, n, peer *node) {
	if !n.dead && n != peer {
		w.waiting = append(w.waiting, w.beat(n, peer))
	}
}

func doDeliverOne(w *world, rt *rapid.T, _, _ *node) {
	if len(w.waiting) > 0 {
		i := rapid.IntRange(0, len(w.waiting)-1).Draw(rt, "message")
		message := w.waiting[i]
		if message() {
			w.waiting = append(w.waiting[:i:i], w.waiting[i+1:]...)
		}
	}
}

func doLoseOne(w *world, rt *rapid.T, _, _ *node) {
	if len(w.waiting) > 0 {
		i := rapid.IntRange(0, len(w.waiting)-1).Draw(rt, "message")
		w.waiting = append(w.waiting[:i:i], w.waiting[i+1:]...)
	}
}

func doFreeze(_ *world, _ *rapid.T, n, _ *node) { n.frozen = true }

func doWake(w *world, _ *rapid.T, n, _ *node) {
	n.frozen = false
	for _, r := range w.running {
		w.report(r)
	}
}

func doCut(_ *world, rt *rapid.T, n, _ *node) {
	n.cut = true
	n.isolated = rapid.Bool().Draw(rt, "isolated")
}

func doHeal(_ *world, _ *rapid.T, n, _ *node) { n.cut, n.isolated = false, false }

func doOutage(w *world, _ *rapid.T, _, _ *node) { w.down = true }

func doRecover(w *world, _ *rapid.T, _, _ *node) { w.down = false }

// doKill kills an instance of several; its requests go on at the engines to their deadline.
func doKill(w *world, _ *rapid.T, n, _ *node) {
	if len(w.live()) > 2 {
		n.dead = true
	}
}

func doStart(w *world, rt *rapid.T, _, _ *node) {
	if len(w.live()) < 5 {
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(rt, "name")
		for _, n := range w.nodes {
			n.dead = n.dead || n.member.Name == name
		}
		w.start(name)
	}
}

func doJoin(w *world, _ *rapid.T, n, _ *node) {
	if w.readable(n) {
		w.join(n)
	}
}

// doMend ends every trouble but death, and lets some time pass.
func doMend(w *world, rt *rapid.T, n, peer *node) {
	w.down = false
	for _, each := range w.nodes {
		doWake(w, rt, each, peer)
		doHeal(w, rt, each, peer)
	}
	doPassLong(w, rt, n, peer)
}

// doTend does what the daemons do about members: the ones outside join, the dead are removed.
func doTend(w *world, rt *rapid.T, _, _ *node) {
	for _, n := range w.live() {
		for _, other := range w.nodes {
			if other.dead && w.readable(n) {
				w.leave(n, other)
			}
		}
		doJoin(w, rt, n, nil)
		w.pass(500 * time.Millisecond)
	}
}

func doLeave(w *world, _ *rapid.T, n, peer *node) {
	if w.readable(n) && (peer == n || peer.dead || peer.frozen || peer.isolated) {
		w.leave(n, peer)
	}
}

func doChangeRate(w *world, rt *rapid.T, _, _ *node) {
	if !w.down {
		limit := w.stored().limit
		limit.Rate = float64(rapid.SampledFrom([]int{5, 20, 40}).Draw(rt, "rate"))
		limit.Burst = float64(rapid.SampledFrom([]int{50, 100, 200}).Draw(rt, "burst"))
		w.swap(w.stored().head, limit)
	}
}
