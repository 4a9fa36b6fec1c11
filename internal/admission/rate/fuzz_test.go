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
	tolerance     = 1e-3 // in tokens, for rounding errors
)

// Guards against tokens that are spent twice, while instances join, leave, freeze and wake, lose their connections
// to each other and to the store, and lose messages, and while operators change the workspace's rate and burst. The
// co-operative would pay its supplier for tokens that no member bought, and the workspace would not notice. The
// oracle is one bucket from which every token that an engine generates is taken.
func TestFleetNeverSpendsOverTheLine(t *testing.T) {
	steps, spent, checks := 0, 0.0, 0
	rapid.Check(t, func(rt *rapid.T) {
		fault := bubble.Check(t, func() string {
			w := newSimulation(rate.Limit{Workspace: workspace, Rate: 20, Burst: 100})
			w.grow("a", "b", "c", "d")
			w.advance(20 * time.Second)
			for range stepsPerCheck {
				w.step(rt)
				steps++
				if excess := w.oracle.excess(w); excess > tolerance {
					return fmt.Sprintf("%.3f tokens can be spent above the limit", excess)
				}
			}
			spent += w.oracle.spent
			checks++
			return ""
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
	t.Logf("%d checks, %d steps, %.0f tokens spent, 0 above the limit", checks, steps, spent)
}

func (w *simulation) step(rt *rapid.T) {
	n := rapid.SampledFrom(w.nodes).Draw(rt, "node")
	peer := rapid.SampledFrom(w.nodes).Draw(rt, "peer")
	action := rapid.SampledFrom(actions).Draw(rt, "action")
	action(w, rt, n, peer)
}

func amount(rt *rapid.T) float64 {
	return float64(rapid.IntRange(1, 60).Draw(rt, "tokens"))
}

type action func(w *simulation, rt *rapid.T, n, peer *node)

var actions = []action{
	doReserve, doReserve, doReserve, doDrain, doDrain, doGenerate, doGenerate, doSettle, doSettle,
	doBorrow, doBorrow, doBorrow, doRebalance, doReturnLoans, doReturnLoans, doAdvance, doAdvance, doAdvance, doAdvanceLong,
	doLateRead, doLateHeartbeat, doDeliverOne, doLoseOne, doFreeze, doWake, doWake, doWake, doPartition,
	doEndPartition, doEndPartition,
	doOutage, doRecover, doRecover, doKill, doStart, doJoin, doJoin, doLeave, doChangeRate,
	doEndFaults, doEndFaults, doManageMembers, doManageMembers, doManageMembers, doDrain, doAdvance, doAdvance,
}

func doReserve(w *simulation, rt *rapid.T, n, _ *node) {
	if !n.dead && !n.frozen {
		_ = w.reserve(n, amount(rt))
	}
}

// doDrain reserves all tokens available on any instance and spends them at the same moment.
func doDrain(w *simulation, _ *rapid.T, _, _ *node) {
	for _, n := range w.live() {
		for tokens := 64.0; tokens >= 1; tokens /= 2 {
			for w.reserve(n, tokens) == nil {
			}
		}
	}
	for _, r := range w.running {
		w.generate(r, r.left)
	}
	w.dropFinished()
}

func doGenerate(w *simulation, rt *rapid.T, _, _ *node) {
	if len(w.running) > 0 {
		w.generate(rapid.SampledFrom(w.running).Draw(rt, "request"), amount(rt))
	}
}

func doSettle(w *simulation, rt *rapid.T, _, _ *node) {
	if len(w.running) > 0 {
		w.settle(rapid.SampledFrom(w.running).Draw(rt, "request"))
	}
}

func doBorrow(w *simulation, rt *rapid.T, n, _ *node) {
	if n.dead || n.frozen {
		return
	}
	tokens := amount(rt)
	w.borrow(n, tokens, func() bool { return rapid.IntRange(0, 5).Draw(rt, "lost") == 0 })
	_ = w.reserve(n, tokens)
}

func doRebalance(w *simulation, _ *rapid.T, n, _ *node) {
	if !n.dead && !n.frozen {
		w.rebalance(n)
	}
}

func doReturnLoans(w *simulation, _ *rapid.T, n, peer *node) {
	if !n.dead && !n.frozen && !peer.dead && !peer.frozen && n != peer {
		w.deliverReturns(n, peer)
	}
}

func doAdvance(w *simulation, rt *rapid.T, _, _ *node) {
	w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "millis")) * time.Millisecond)
}

func doAdvanceLong(w *simulation, rt *rapid.T, _, _ *node) {
	w.advance(time.Duration(rapid.IntRange(2, 15).Draw(rt, "seconds")) * time.Second)
}

func doLateRead(w *simulation, _ *rapid.T, n, _ *node) {
	if w.readable(n) {
		w.inTransit = append(w.inTransit, w.read(n))
	}
}

func doLateHeartbeat(w *simulation, _ *rapid.T, n, peer *node) {
	if !n.dead && n != peer {
		w.inTransit = append(w.inTransit, w.heartbeat(n, peer))
	}
}

func doDeliverOne(w *simulation, rt *rapid.T, _, _ *node) {
	if len(w.inTransit) > 0 {
		i := rapid.IntRange(0, len(w.inTransit)-1).Draw(rt, "message")
		message := w.inTransit[i]
		if message() {
			w.inTransit = append(w.inTransit[:i:i], w.inTransit[i+1:]...)
		}
	}
}

func doLoseOne(w *simulation, rt *rapid.T, _, _ *node) {
	if len(w.inTransit) > 0 {
		i := rapid.IntRange(0, len(w.inTransit)-1).Draw(rt, "message")
		w.inTransit = append(w.inTransit[:i:i], w.inTransit[i+1:]...)
	}
}

func doFreeze(_ *simulation, _ *rapid.T, n, _ *node) { n.frozen = true }

func doWake(w *simulation, _ *rapid.T, n, _ *node) {
	n.frozen = false
	for _, r := range w.running {
		w.report(r)
	}
}

func doPartition(_ *simulation, rt *rapid.T, n, _ *node) {
	n.storeUnreachable = true
	n.isolated = rapid.Bool().Draw(rt, "isolated")
}

func doEndPartition(_ *simulation, _ *rapid.T, n, _ *node) {
	n.storeUnreachable, n.isolated = false, false
}

func doOutage(w *simulation, _ *rapid.T, _, _ *node) { w.down = true }

func doRecover(w *simulation, _ *rapid.T, _, _ *node) { w.down = false }

// doKill kills an instance if several are live; its requests continue on the engines until their deadline.
func doKill(w *simulation, _ *rapid.T, n, _ *node) {
	if len(w.live()) > 2 {
		n.dead = true
	}
}

func doStart(w *simulation, rt *rapid.T, _, _ *node) {
	if len(w.live()) < 5 {
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(rt, "name")
		for _, n := range w.nodes {
			n.dead = n.dead || n.member.Name == name
		}
		w.start(name)
	}
}

func doJoin(w *simulation, _ *rapid.T, n, _ *node) {
	if w.readable(n) {
		w.join(n)
	}
}

// doEndFaults ends every fault except the death of instances, and lets some time pass.
func doEndFaults(w *simulation, rt *rapid.T, n, peer *node) {
	w.down = false
	for _, each := range w.nodes {
		doWake(w, rt, each, peer)
		doEndPartition(w, rt, each, peer)
	}
	doAdvanceLong(w, rt, n, peer)
}

// doManageMembers does the daemons' member management: instances that are not members join, dead ones are removed.
func doManageMembers(w *simulation, rt *rapid.T, _, _ *node) {
	for _, n := range w.live() {
		for _, other := range w.nodes {
			if other.dead && w.readable(n) {
				w.leave(n, other)
			}
		}
		doJoin(w, rt, n, nil)
		w.advance(500 * time.Millisecond)
	}
}

func doLeave(w *simulation, _ *rapid.T, n, peer *node) {
	if w.readable(n) && (peer == n || peer.dead || peer.frozen || peer.isolated) {
		w.leave(n, peer)
	}
}

func doChangeRate(w *simulation, rt *rapid.T, _, _ *node) {
	if !w.down {
		limit := w.stored().limit
		limit.Rate = float64(rapid.SampledFrom([]int{5, 20, 40}).Draw(rt, "rate"))
		limit.Burst = float64(rapid.SampledFrom([]int{50, 100, 200}).Draw(rt, "burst"))
		w.swap(w.stored().head, limit)
	}
}
