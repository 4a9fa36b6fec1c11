package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// in_flight.go adds up the load of all instances at each upstream, from their states, their reports and the
// holders' answers.

// Load is what one instance has in flight at an upstream.
type Load struct {
	Running int
	// PromptTokens is the tokens of prompts without a first event yet, MemoryTokens the tokens of all running
	// requests.
	PromptTokens int
	MemoryTokens int
	// AwaitingTokens is the tokens of the prompts that will be sent there as soon as their adapter is loaded.
	AwaitingTokens int
	// Rejected is how many requests the upstream has rejected within the last second.
	Rejected int
	// InUse are the adapters of the running requests.
	InUse []traffic.Adapter
}

// plus adds another load, except for the adapters in use.
func (l Load) plus(other Load) Load {
	l.Running += other.Running
	l.PromptTokens += other.PromptTokens
	l.MemoryTokens += other.MemoryTokens
	l.AwaitingTokens += other.AwaitingTokens
	l.Rejected += other.Rejected
	return l
}

// minus subtracts another load, except for the adapters in use.
func (l Load) minus(other Load) Load {
	l.Running -= other.Running
	l.PromptTokens -= other.PromptTokens
	l.MemoryTokens -= other.MemoryTokens
	l.AwaitingTokens -= other.AwaitingTokens
	l.Rejected -= other.Rejected
	return l
}

// isInFlight reports whether any request runs or waits for its adapter.
func (l Load) isInFlight() bool { return l.Running > 0 || l.AwaitingTokens > 0 }

// isZero reports whether the load is zero, except for the adapters in use.
func (l Load) isZero() bool {
	return l.Running == 0 && l.PromptTokens == 0 && l.MemoryTokens == 0 && l.AwaitingTokens == 0 && l.Rejected == 0
}

// source identifies the origin of another instance's loads: its state, which all instances get, or its reports to
// the holder of the upstreams.
type source struct {
	instance string
	reported bool
}

// peerLoads is what another instance has in flight.
type peerLoads struct {
	at    time.Time
	loads map[string]Load
}

// RecordPeerLoads records what another instance has in flight at upstreams without a holder, from its state.
func (p *Pool) RecordPeerLoads(now time.Time, instance string, loads map[string]Load) {
	p.setLoads(now, source{instance: instance}, loads)
}

// RecordPeerReport records what another instance has in flight at the upstreams that this one holds, from its report.
func (p *Pool) RecordPeerReport(now time.Time, instance string, loads map[string]Load) {
	p.setLoads(now, source{instance: instance, reported: true}, loads)
}

func (p *Pool) setLoads(now time.Time, from source, loads map[string]Load) {
	p.prepare()
	p.dropLoads(from)
	if len(loads) == 0 {
		return
	}
	p.peers[from] = peerLoads{at: now, loads: loads}
	for id, load := range loads {
		if u := p.upstreams[id]; u != nil {
			u.peerLoad = u.peerLoad.plus(load)
		}
	}
}

// dropLoads removes the last loads from a source.
func (p *Pool) dropLoads(from source) {
	for id, load := range p.peers[from].loads {
		if u := p.upstreams[id]; u != nil {
			u.peerLoad = u.peerLoad.minus(load)
		}
	}
	delete(p.peers, from)
}

// dropExpired removes loads and rejections that are too old.
func (p *Pool) dropExpired(now time.Time) {
	p.advance(now)
	p.dropOldRejections(now)
	for from, peer := range p.peers {
		if now.Sub(peer.at) > p.Settings.PeerLoadTTL {
			p.dropLoads(from)
		}
	}
}

// RecordHolderLoad records what all instances but this one have in flight at an upstream, from its holder's response to
// a report.
func (p *Pool) RecordHolderLoad(now time.Time, id string, load Load) {
	if u := p.upstreams[id]; u != nil {
		u.holderLoad = load
		u.holderLoadAt = now
	}
}

// RecordHolderTotal records what all instances had in flight at an upstream at a given time, from the state of its holder.
// It subtracts what this instance has reported.
func (p *Pool) RecordHolderTotal(at time.Time, id string, total Load) {
	u := p.upstreams[id]
	if u == nil || u.holderLoadAt.After(at) {
		return
	}
	others := total.minus(u.reported)
	u.holderLoad = Load{
		Running: max(others.Running, 0), PromptTokens: max(others.PromptTokens, 0), MemoryTokens: max(others.MemoryTokens, 0), AwaitingTokens: max(others.AwaitingTokens, 0),
		Rejected: max(others.Rejected, 0),
	}
	u.holderLoadAt = at
}

// TotalExcluding is what all instances but a given one have in flight at an upstream, for the instance that holds it.
func (p *Pool) TotalExcluding(now time.Time, id, instance string) (total Load) {
	total = p.Total(now, id)
	for _, from := range []source{{instance: instance}, {instance: instance, reported: true}} {
		total = total.minus(p.peers[from].loads[id])
	}
	if u := p.upstreams[id]; u != nil {
		total = p.boundedLoad(u, total, instance)
	}
	return total
}

// Total is what all instances have in flight at an upstream, plus the prompts that wait for their prefill turn, for the
// instance that holds it.
func (p *Pool) Total(now time.Time, id string) (total Load) {
	u := p.upstreams[id]
	if u == nil {
		return total
	}
	total = p.Sent(now, id)
	total.PromptTokens += u.awaitingTurn
	return p.boundedLoad(u, total, self)
}

// Sent is what all instances have in flight at an upstream, for the instance that holds it.
func (p *Pool) Sent(now time.Time, id string) (total Load) {
	u := p.upstreams[id]
	if u == nil {
		return total
	}
	p.dropExpired(now)
	return u.own.plus(u.peerLoad)
}

// SetAwaitingTurn records the tokens of the prompts that wait for their prefill turn at an upstream that this instance
// holds.
func (p *Pool) SetAwaitingTurn(id string, tokens int) {
	if u := p.upstreams[id]; u != nil {
		u.awaitingTurn = tokens
	}
}

// Prefill is the expected time that an upstream needs for a prompt alone.
func (p *Pool) Prefill(id string, tokens int) time.Duration {
	u := p.upstreams[id]
	if u == nil {
		return 0
	}
	return scale(p.pacesOf(p.clock, u.declared.Service).of(p.clock, u), p.statsOf(u.declared.Service).engine.PrefillTime(tokens))
}

// OwnLoads is what this instance has in flight at the selected upstreams, for its heartbeats.
func (p *Pool) OwnLoads(selected func(upstream string) bool) map[string]Load {
	loads := make(map[string]Load)
	for u := range p.active {
		id := u.declared.ID
		if own := u.statedLoad(); (own.isInFlight() || own.Rejected > 0 || own.MemoryTokens > 0) && selected(id) {
			own.InUse = u.inUse()
			loads[id] = own
		}
	}
	return loads
}

// HasOwnLoad reports whether this instance has anything in flight at an upstream.
func (p *Pool) HasOwnLoad(id string) bool {
	u := p.upstreams[id]
	return u != nil && u.own.isInFlight()
}

// Report returns what this instance has in flight at the selected upstreams, for their holder, and records that it
// was reported.
func (p *Pool) Report(selected func(upstream string) bool) map[string]Load {
	for u := range p.active {
		if selected(u.declared.ID) {
			u.reported = u.own
			u.recordMemoryReported()
		}
		if u.statedLoad().isZero() && u.reported.isZero() {
			delete(p.active, u)
		}
	}
	return p.OwnLoads(selected)
}

// activate adds an upstream to those where this instance has something in flight. Heartbeats and reports are sent
// many times a second and visit only these: the others are most of a large service.
func (p *Pool) activate(u *upstream) { p.active[u] = true }

// InUse lists the adapters with requests in flight at an upstream, from any instance.
func (p *Pool) InUse(now time.Time, id string) (adapters []traffic.Adapter) {
	if u := p.upstreams[id]; u != nil {
		adapters = u.inUse()
	}
	p.dropExpired(now)
	for _, peer := range p.peers {
		adapters = append(adapters, peer.loads[id].InUse...)
	}
	return adapters
}

// load is the known load of all instances at an upstream, without expired loads.
func (p *Pool) load(now time.Time, u *upstream) (load Load) {
	if now.Sub(u.holderLoadAt) <= p.Settings.HolderLoadTTL {
		return u.own.plus(u.holderLoad)
	}
	load = u.own.plus(u.peerLoad)
	load.PromptTokens += u.awaitingTurn
	return load
}

// maxHolderLoadAge is how old the holder's report of an upstream's load may be. Heartbeats are sent at most four
// times a second. In that time other instances send prompts there whose prefill takes some hundred milliseconds,
// and a request that is placed without counting them waits behind them although another upstream is idle. The
// holder answers in a millisecond or two.
const maxHolderLoadAge = 60 * time.Millisecond

// isLoadStale reports whether the known load of an upstream is too old. At a plain upstream the limit is the time
// in which one of its slots becomes free.
func (p *Pool) isLoadStale(now time.Time, u *upstream) bool {
	maxAge := maxHolderLoadAge
	if _, isEngine := p.engines[u.declared.Service]; !isEngine {
		maxAge = p.statsOf(u.declared.Service).service.Latency(0) / time.Duration(u.slots())
	}
	return now.Sub(u.holderLoadAt) > maxAge
}
