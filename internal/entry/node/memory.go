package node

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// memory.go passes the live instances and holders to the pool, which bounds the memory of engines, and shows the memory
// of the held ones in the metrics.

// withSender adds this instance to a request that its holder admits by the memory of the upstream.
func (n *Node) withSender(request mesh.PrepareRequest) mesh.PrepareRequest {
	if request.Memory.Ask != 0 {
		request.Memory.Instance = n.self.Name
	}
	return request
}

// memoryRequest returns the question of a request to this instance as the holder.
func (n *Node) memoryRequest(request mesh.PrepareRequest) pool.MemoryRequest {
	asked := request.Memory
	if asked.Instance == n.self.Name {
		asked.Instance = ""
	}
	return asked
}

// updateMemory records which instances and holders are alive, and shows the memory in flight at the held upstreams.
func (n *Node) updateMemory(now time.Time) {
	bounded := false
	n.sharedState.WithLock(func(state *serve.SharedState) { bounded = state.Pool.Settings.BoundMemory })
	if !bounded && len(n.memoryShown) == 0 {
		return
	}
	peers := n.memoryPeers(now)
	holders := n.view.liveHolders()
	var held map[string]float64
	n.sharedState.WithLock(func(state *serve.SharedState) {
		state.Pool.SetMemoryPeers(now, peers)
		state.Pool.SetMemoryHolders(now, func(upstream string) bool { return peers[holders[upstream]].Alive })
		held = state.Pool.HeldMemory()
	})
	for id := range n.memoryShown {
		if _, shown := held[id]; !shown {
			n.showMemory(id, 0) // another instance shows it now, and a gauge cannot be removed
		}
	}
	for id, used := range held {
		n.showMemory(id, used)
	}
	n.memoryShown = held
}

func (n *Node) showMemory(upstream string, used float64) {
	n.scope.Tagged(map[string]string{"upstream": upstream}).Gauge("upstream_memory_used").Update(used)
}

// memoryPeers returns the other instances of the roster.
func (n *Node) memoryPeers(now time.Time) map[string]pool.MemoryPeer {
	n.view.mutex.Lock()
	instances := n.view.roster.Instances()
	n.view.mutex.Unlock()
	peers := make(map[string]pool.MemoryPeer, len(instances))
	for _, instance := range instances {
		if instance.Name != n.self.Name {
			peers[instance.Name] = pool.MemoryPeer{Incarnation: instance.Incarnation, Alive: n.overlay.isAlive(now, instance.Name)}
		}
	}
	return peers
}

// addUnsent records that a report failed. It may state that requests have ended, whose memory the holder would keep
// reserved without it.
func (r *reports) addUnsent(holder string, report mesh.LoadReport) {
	if report.Memory.Sequence == 0 {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.unsent == nil {
		r.unsent = make(map[string]bool)
	}
	r.unsent[holder] = true
}

// takeUnsent returns the holders to which a report is to be repeated.
func (r *reports) takeUnsent() (holders []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for holder := range r.unsent {
		holders = append(holders, holder)
	}
	r.unsent = nil
	return holders
}
