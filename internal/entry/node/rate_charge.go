package node

import (
	"context"
	"sync/atomic"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
)

// rate_charge.go charges a request at the coordinator of its workspace. A verdict that comes after the request has been
// decided still counts: if it is dropped, an instance whose answers are late goes on admitting what the workspace sends
// over its rate.

// maxChargeLateness bounds the wait for a verdict after which nothing is learned from it any more, and the connection to the
// coordinator is replaced. Shorter than that, instances replace connections to a coordinator that is only short of
// processor time, which then spends more on the handshakes.
const maxChargeLateness = time.Second

// rateCharge is one charge at a coordinator.
type rateCharge struct {
	node        *Node
	coordinator quota.Peer
	charge      quota.Charge
	start       time.Time
	// decided is set by the first of two: the verdict arrives, or the request is decided without it.
	decided atomic.Bool
	verdict chan quota.Verdict
}

// ChargeCoordinator asks a coordinator for its verdict. The context bounds the wait. A verdict that arrives later is applied
// to the ledger.
func (n *Node) ChargeCoordinator(ctx context.Context, coordinator quota.Peer, charge quota.Charge) (verdict quota.Verdict) {
	charge.Incarnation = n.self.Incarnation
	charge.Version = n.overlay.nextVersion()
	c := &rateCharge{node: n, coordinator: coordinator, charge: charge, start: time.Now(), verdict: make(chan quota.Verdict, 1)}
	go c.run()
	select {
	case verdict = <-c.verdict:
	case <-ctx.Done():
		verdict = c.giveUp()
	}
	n.scope.Tagged(map[string]string{"verdict": verdictName(verdict)}).Counter("rate_charges").Inc(1)
	return verdict
}

// run asks the coordinator.
func (c *rateCharge) run() {
	ctx, cancel := context.WithTimeout(context.Background(), maxChargeLateness)
	defer cancel()
	verdict, err := c.node.peers.ChargeRate(ctx, c.coordinator.Address, c.charge)
	if err != nil {
		verdict = quota.Unanswered{}
	}
	inTime := c.decided.CompareAndSwap(false, true)
	switch verdict.(type) {
	case quota.Unanswered:
		c.recordFailure(err, inTime)
	default:
		c.recordVerdict(verdict, inTime)
	}
	if inTime {
		c.verdict <- verdict
	}
}

// giveUp ends the wait for the verdict, unless it has just arrived.
func (c *rateCharge) giveUp() quota.Verdict {
	if !c.decided.CompareAndSwap(false, true) {
		return <-c.verdict
	}
	c.recordUnanswered(nil, false)
	return quota.Unanswered{}
}

// recordVerdict records that the coordinator has decided, and applies a late verdict.
func (c *rateCharge) recordVerdict(verdict quota.Verdict, inTime bool) {
	now := time.Now()
	c.node.coordinators.recordAnswer(now, c.coordinator.Name, inTime)
	if inTime {
		return
	}
	c.node.sharedState.WithLock(func(state *serve.SharedState) { state.Ledger.FinishLate(now, c.charge, verdict) })
	c.node.Log.Info().Str("Workspace", c.charge.Workspace).Str("Coordinator", c.coordinator.Name).Str("Verdict", verdictName(verdict)).
		Int64("TookMillis", now.Sub(c.start).Milliseconds()).Msg("ChargeAnsweredLate")
}

// recordFailure records that the coordinator has not decided: it could not be asked, or said that it does not decide.
func (c *rateCharge) recordFailure(err error, inTime bool) {
	if inTime {
		c.recordUnanswered(err, err == nil)
	}
	if err != nil && c.node.coordinators.replaceConnection(time.Now(), c.start, c.coordinator.Name) {
		c.node.peers.Retire(c.coordinator.Address)
	}
}

// recordUnanswered records that the request is decided without the coordinator.
func (c *rateCharge) recordUnanswered(err error, declined bool) {
	avoided := c.node.coordinators.recordUnanswered(c.start, c.coordinator.Name, declined)
	c.node.Log.Info().Err(err).Str("Workspace", c.charge.Workspace).Str("Coordinator", c.coordinator.Name).Bool("Avoided", avoided).
		Int64("TookMillis", time.Since(c.start).Milliseconds()).Msg("ChargeUnanswered")
}
