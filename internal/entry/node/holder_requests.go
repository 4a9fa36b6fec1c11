package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// asking.go is what a request asks of the holders of upstreams, this instance or another.

// prepareWithin bounds the wait for an adapter at one upstream, whatever the request's patience: a holder
// that froze with requests waiting would hold them to their end.
const prepareWithin = 3 * time.Second

// Prepare has an adapter loaded, here or at the instance that holds the upstream.
func (n *Node) Prepare(ctx context.Context, request mesh.PrepareRequest) mesh.Prepared {
	request.Patience = min(request.Patience, prepareWithin)
	ctx, cancel := context.WithTimeout(ctx, request.Patience)
	defer cancel()
	if one := n.holdings.get(request.Upstream); one != nil {
		return one.prepare(ctx, request)
	}
	instance, found := n.holderOf(request.Upstream)
	if !found || instance.Name == n.self.Name || !n.overlay.isAlive(time.Now(), instance.Name) {
		return mesh.NotHolder{}
	}
	prepared, err := n.peers.Prepare(ctx, instance.Address, request)
	if err != nil {
		n.Log.Debug().Err(err).Str("Upstream", request.Upstream).Str("Holder", instance.Name).Msg("PrepareFailed")
		return mesh.NotHolder{}
	}
	return prepared
}

// askTimeout bounds a question to a holder. An answer takes a few milliseconds; a request that waits longer for
// it loses more than a better choice would win.
const askTimeout = 30 * time.Millisecond

// Ask asks the holder of an upstream what is loaded and under way there. No answer changes nothing.
func (n *Node) Ask(ctx context.Context, upstream string) {
	instance, found := n.holderOf(upstream)
	if !found || instance.Name == n.self.Name || !n.overlay.isAlive(time.Now(), instance.Name) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	held, err := n.peers.Ask(ctx, instance.Address, n.loadReport(instance.Name))
	if err != nil {
		n.Log.Debug().Err(err).Str("Upstream", upstream).Str("Holder", instance.Name).Msg("AskFailed")
		return
	}
	n.learnHeld(held)
}

// holderOf is the live instance that holds an upstream.
func (n *Node) holderOf(upstream string) (instance roster.Instance, found bool) {
	n.knowledge.mutex.Lock()
	defer n.knowledge.mutex.Unlock()
	holder, held := n.knowledge.roster.Holder(upstream)
	if !held {
		return instance, false
	}
	return n.knowledge.roster.Instance(holder.Instance)
}

// Touch tells the holder of an upstream at once that this instance begins or ends a send there. Without it an
// adapter's place would stay reserved, or be taken, for a heartbeat's time too long, and others would queue behind
// requests that they do not know of.
func (n *Node) Touch(upstream string) {
	if one := n.holdings.get(upstream); one != nil {
		one.look()
		return
	}
	n.knowledge.mutex.Lock()
	holder, held := n.knowledge.roster.Holder(upstream)
	n.knowledge.mutex.Unlock()
	if held {
		n.report(holder.Instance)
	}
}
