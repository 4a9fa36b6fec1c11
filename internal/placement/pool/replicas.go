package pool

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// replicas.go decides how many replicas a popular adapter needs, and where. All instances rank the upstreams for an
// adapter in the same way, so that they order the same replicas without a message.

const (
	// replicaUtilisation is the part of the time, or of the batch slots, of an upstream that one adapter may take.
	// The rest is left to other adapters.
	replicaUtilisation = 0.5
	// replicaDivisor: at most one of this many upstreams may have a replica of one adapter. The rest is left to other
	// adapters.
	replicaDivisor = 3
	// replicaRefusalTime is for how long an upstream that refused a replica is not asked for it again.
	replicaRefusalTime = time.Second
)

// ReplicaDemand is the demand for an adapter over the fleet.
type ReplicaDemand struct {
	Service string
	Adapter traffic.Adapter
	// Version is the minimum version of the adapter; 0 for any.
	Version int64
	// Rate is the number of requests a second, Tokens the mean length of their prompts, and Duration the mean
	// duration of their streams, 0 if it is unknown.
	Rate     float64
	Tokens   int
	Duration time.Duration
}

// ReplicaPlan is how many replicas an adapter needs and has. Loads in transit count as replicas. Next are the upstreams
// for those that are missing, in the order of the ranking.
type ReplicaPlan struct {
	Needed int
	Known  int
	Next   []traffic.Upstream
}

// Pick returns the upstream for the next order of an instance. The instances pick different ones, so that all replicas
// are loaded at the same time although each instance orders one after the other. There must be missing replicas.
func (p ReplicaPlan) Pick(instance string, adapter traffic.Adapter) traffic.Upstream {
	return p.Next[xxhash.Sum64String(instance+"\x00"+adapter.String())%uint64(len(p.Next))]
}

// replicas is the state of the replicas of popular adapters.
type replicas struct {
	// homes are those of the last complete round of plans, and planned those of the current one.
	homes   map[replicated]*replicaHomes
	planned map[replicated]*replicaHomes
	// refused is until when an upstream is not asked for a replica that it has refused.
	refused map[replicaAt]time.Time
}

// replicated is an adapter of a service.
type replicated struct {
	service string
	adapter traffic.Adapter
}

// replicaAt is a replica of an adapter at an upstream.
type replicaAt struct {
	upstream string
	adapter  traffic.Adapter
}

// replicaHomes are the homes of the replicas that an adapter needs: those with the lowest weight or a higher one.
type replicaHomes struct {
	hash   xxhash.Digest
	paced  bool
	lowest uint64
}

// rank is 0 for a home of a replica, and rankedHomes for another upstream.
func (h *replicaHomes) rank(u *upstream) int {
	if homeWeight(&h.hash, u, h.paced) >= h.lowest {
		return 0
	}
	return rankedHomes
}

// replicaHomesOf returns the homes of the replicas that the adapter of a query needs, nil unless it needs more than are
// ranked for each adapter.
func (p *Pool) replicaHomesOf(query Query) *replicaHomes {
	if len(p.replicas.homes) == 0 {
		return nil
	}
	return p.replicas.homes[replicated{service: query.Service, adapter: query.Adapter}]
}

// PlanReplicas returns the replicas that an adapter needs and has, and where the missing ones should be. After the
// plans for all popular adapters, call FinishReplicaPlans.
func (p *Pool) PlanReplicas(now time.Time, demand ReplicaDemand) (plan ReplicaPlan) {
	p.prepare()
	upstreams := p.upstreamsOf(demand.Service)
	accepting := 0
	for _, u := range upstreams {
		if !p.accepts(u) {
			continue
		}
		accepting++
		if known, found := u.resident[demand.Adapter]; found && known.Version >= demand.Version && u.isConnectable(now) {
			plan.Known++
		}
	}
	plan.Needed = p.neededReplicas(demand, accepting)
	if plan.Needed > 1 && (plan.Needed > plan.Known || plan.Needed > rankedHomes) {
		p.rankReplicas(now, demand, upstreams, &plan)
	}
	return plan
}

// FinishReplicaPlans puts the homes of all adapters that were planned since the last call in force. Adapters that were
// not are ranked like others again.
func (p *Pool) FinishReplicaPlans() {
	p.replicas.homes = p.replicas.planned
	p.replicas.planned = nil
}

// RecordReplicaRefusal records that an upstream has refused a replica, or that its holder is not known.
func (p *Pool) RecordReplicaRefusal(now time.Time, upstream string, adapter traffic.Adapter) {
	if p.replicas.refused == nil {
		p.replicas.refused = make(map[replicaAt]time.Time)
	}
	for at, until := range p.replicas.refused {
		if !now.Before(until) {
			delete(p.replicas.refused, at)
		}
	}
	p.replicas.refused[replicaAt{upstream: upstream, adapter: adapter}] = now.Add(replicaRefusalTime)
}

// MayReplicate reports whether an upstream may get replicas of popular adapters.
func (p *Pool) MayReplicate(now time.Time, id string) bool {
	u := p.upstreams[id]
	return u != nil && !p.Brittleness(now, u.declared.Service).Brittle && p.mayReplicateAt(now, u)
}

// ---------------------------------------------------------------------------------------------

// neededReplicas returns how many replicas the demand needs: for its prompts or for its streams, whichever are more.
func (p *Pool) neededReplicas(demand ReplicaDemand, upstreams int) int {
	load := demand.Rate * p.statsOf(demand.Service).engine.PrefillTime(demand.Tokens).Seconds()
	if slots := p.engines[demand.Service].BatchSlots; slots > 0 {
		load = max(load, demand.Rate*demand.Duration.Seconds()/float64(slots))
	}
	most := (upstreams + replicaDivisor - 1) / replicaDivisor
	return int(min(math.Ceil(load/replicaUtilisation), float64(most)))
}

// rankReplicas completes a plan by the upstreams for the missing replicas, and records the homes of all replicas if the
// ranking of each adapter is too short for them.
func (p *Pool) rankReplicas(now time.Time, demand ReplicaDemand, upstreams []*upstream, plan *ReplicaPlan) {
	if p.Brittleness(now, demand.Service).Brittle {
		return
	}
	hash := homeHash(demand.Adapter)
	paced := p.StatesPace(demand.Service)
	ranking := make([]home, 0, len(upstreams))
	for _, u := range upstreams {
		if p.mayReplicateAt(now, u) {
			ranking = append(ranking, home{upstream: u, weight: homeWeight(&hash, u, paced)})
		}
	}
	slices.SortFunc(ranking, func(a, b home) int {
		if a.weight > b.weight {
			return -1
		}
		return 1
	})
	for _, next := range ranking {
		if len(plan.Next) >= plan.Needed-plan.Known {
			break
		}
		if p.lacksReplica(now, next.upstream, demand) {
			plan.Next = append(plan.Next, next.upstream.declared)
		}
	}
	if plan.Needed > rankedHomes && len(ranking) >= plan.Needed {
		if p.replicas.planned == nil {
			p.replicas.planned = make(map[replicated]*replicaHomes)
		}
		p.replicas.planned[replicated{service: demand.Service, adapter: demand.Adapter}] = &replicaHomes{
			hash: hash, paced: paced, lowest: ranking[plan.Needed-1].weight,
		}
	}
}

// lacksReplica reports whether an upstream has no replica and has not just refused one.
func (p *Pool) lacksReplica(now time.Time, u *upstream, demand ReplicaDemand) bool {
	if known, found := u.resident[demand.Adapter]; found && known.Version >= demand.Version {
		return false
	}
	if base, found := u.resident[traffic.Adapter{Model: demand.Adapter.Model}]; !found || base.InTransit {
		return false
	}
	return !now.Before(p.replicas.refused[replicaAt{upstream: u.declared.ID, adapter: demand.Adapter}])
}

// mayReplicateAt reports whether an upstream of a service that is not brittle may get replicas. A cold or limited one
// takes few requests.
func (p *Pool) mayReplicateAt(now time.Time, u *upstream) bool {
	if !p.accepts(u) || !u.isConnectable(now) || u.isUnderBackpressure(now) {
		return false
	}
	return !p.isCold(now, u) && !u.isLimited(now)
}

// isConnectable reports whether the upstream can be reached, as far as is known.
func (u *upstream) isConnectable(now time.Time) bool {
	return !now.Before(u.retryAt) && !u.isUnreachable(now)
}
