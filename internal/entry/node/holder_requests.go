package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// holder_requests.go sends requests to the holders of upstreams, whether this instance or another.

// prepareTimeout bounds the wait for an adapter at one upstream, even if the request has more time left. Otherwise a
// frozen holder would block its waiting requests until they time out.
const prepareTimeout = 3 * time.Second

// Prepare has an adapter loaded by the holder of the upstream, which may be this instance.
func (n *Node) Prepare(ctx context.Context, request mesh.PrepareRequest) mesh.PrepareResult {
	request.MaxWait = min(request.MaxWait, prepareTimeout)
	request = n.withSender(request)
	ctx, cancel := context.WithTimeout(ctx, n.answerTimeout(request))
	defer cancel()
	if held := n.heldUpstreams.get(request.Upstream); held != nil {
		return held.prepare(ctx, request)
	}
	instance, found := n.holderOf(request.Upstream)
	if !found || instance.Name == n.self.Name || !n.overlay.isAlive(time.Now(), instance.Name) {
		return mesh.NotHolder{}
	}
	go linkCheck{node: n, instance: instance.Name}.run(ctx)
	prepared, err := n.peers.Prepare(ctx, instance.Address, request)
	if err != nil {
		n.Log.Debug().Err(err).Str("Upstream", request.Upstream).Str("Holder", instance.Name).Msg("PrepareFailed")
		return mesh.NotHolder{}
	}
	n.reports.recordAnswer(instance.Name, time.Now())
	return prepared
}

// answerTimeout is how long the holder may take to answer. Under contention MaxWait bounds the wait for an adapter slot
// only, the load comes after it, and the sender's context bounds both.
func (n *Node) answerTimeout(request mesh.PrepareRequest) time.Duration {
	if n.Settings.Admission.Contention.IsOn() {
		return prepareTimeout
	}
	return request.MaxWait
}

// linkCheckInterval is how often an instance sends a report to a holder whose answer it awaits and which has answered nothing
// meanwhile. Two in a row that fail retire the connection, and the holder is asked again over a new one.
const linkCheckInterval = reportTimeout

// linkCheck checks the connection to a holder whose answer is awaited. The answer may take seconds, and if no other request
// needs the holder meanwhile, nothing else would find out that the connection has fallen silent.
type linkCheck struct {
	node     *Node
	instance string
}

func (c linkCheck) run(ctx context.Context) {
	for pause.For(ctx, linkCheckInterval) {
		if c.node.reports.isUnanswered(c.instance, time.Now()) {
			c.node.scheduleReport(c.instance)
		}
	}
}

// holderQueryTimeout bounds a query to a holder. A response takes a few milliseconds. A longer wait costs a request
// more than a better choice of upstream would save.
const holderQueryTimeout = 30 * time.Millisecond

// QueryHolder queries the holder of an upstream for the models that are loaded and the requests that are in flight
// there. If no response arrives, nothing changes.
func (n *Node) QueryHolder(ctx context.Context, upstream string) {
	instance, found := n.holderOf(upstream)
	if !found || instance.Name == n.self.Name || !n.overlay.isAlive(time.Now(), instance.Name) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, holderQueryTimeout)
	defer cancel()
	report := n.loadReport(instance.Name)
	held, err := n.peers.Query(ctx, instance.Address, n.withPaceQuestion(report, upstream))
	if err != nil {
		n.restoreUnreportedPaces(report)
		n.Log.Debug().Err(err).Str("Upstream", upstream).Str("Holder", instance.Name).Msg("HolderQueryFailed")
		return
	}
	n.applyHeldReport(held)
}

// holderOf returns the live instance that holds an upstream.
func (n *Node) holderOf(upstream string) (instance roster.Instance, found bool) {
	n.view.mutex.Lock()
	defer n.view.mutex.Unlock()
	holder, held := n.view.roster.Holder(upstream)
	if !held {
		return instance, false
	}
	return n.view.roster.Instance(holder.Instance)
}

// NotifyHolder notifies the holder of an upstream immediately that this instance begins or ends an attempt there.
// Otherwise the adapter slot would stay reserved, or count as occupied, for one heartbeat too long,
// and the requests of other instances would queue behind requests that those instances cannot see.
func (n *Node) NotifyHolder(upstream string) {
	if held := n.heldUpstreams.get(upstream); held != nil {
		held.wakeLoop()
		return
	}
	n.view.mutex.Lock()
	holder, held := n.view.roster.Holder(upstream)
	n.view.mutex.Unlock()
	if held {
		n.scheduleReport(holder.Instance)
	}
}
