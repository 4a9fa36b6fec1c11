package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// in_flight.go adds up what all instances have in flight at each upstream, from their states and reports and from the
// holders' answers.

// Load is what one instance has in flight at an upstream.
type Load struct {
	Running int
	// Prompt is the tokens of prompts that have no first event yet, Memory the tokens of all running.
	Prompt int
	Memory int
	// Awaiting is the tokens of the prompts that are sent there as soon as their adapter is loaded.
	Awaiting int
	// InUse are the adapters of the running requests.
	InUse []traffic.Adapter
}

// plus adds another load, but for the adapters in use.
func (l Load) plus(other Load) Load {
	l.Running += other.Running
	l.Prompt += other.Prompt
	l.Memory += other.Memory
	l.Awaiting += other.Awaiting
	return l
}

// minus takes another load away, but for the adapters in use.
func (l Load) minus(other Load) Load {
	l.Running -= other.Running
	l.Prompt -= other.Prompt
	l.Memory -= other.Memory
	l.Awaiting -= other.Awaiting
	return l
}

// isInFlight reports whether anything runs, or waits for its adapter.
func (l Load) isInFlight() bool { return l.Running > 0 || l.Awaiting > 0 }

// isZero reports whether nothing is left of the load, but for the adapters in use.
func (l Load) isZero() bool {
	return l.Running == 0 && l.Prompt == 0 && l.Memory == 0 && l.Awaiting == 0
}

// source is where another instance's loads come from: its state, which all instances get, or its reports to the
// holder of the upstreams.
type source struct {
	instance string
	reported bool
}

// peerLoads is what another instance has in flight.
type peerLoads struct {
	at    time.Time
	loads map[string]Load
}

// LearnLoads takes note of what another instance has in flight at upstreams without a holder, by its state.
func (p *Pool) LearnLoads(now time.Time, instance string, loads map[string]Load) {
	p.learn(now, source{instance: instance}, loads)
}

// LearnReport takes note of what another instance has in flight at the upstreams that this one holds.
func (p *Pool) LearnReport(now time.Time, instance string, loads map[string]Load) {
	p.learn(now, source{instance: instance, reported: true}, loads)
}

func (p *Pool) learn(now time.Time, from source, loads map[string]Load) {
	p.prepare()
	p.dropLoads(from)
	if len(loads) == 0 {
		return
	}
	p.peers[from] = peerLoads{at: now, loads: loads}
	for id, load := range loads {
		if u := p.upstreams[id]; u != nil {
			u.beside = u.beside.plus(load)
		}
	}
}

// dropLoads takes out what came last from a source.
func (p *Pool) dropLoads(from source) {
	for id, load := range p.peers[from].loads {
		if u := p.upstreams[id]; u != nil {
			u.beside = u.beside.minus(load)
		}
	}
	delete(p.peers, from)
}

// dropSilent takes out what is too old.
func (p *Pool) dropSilent(now time.Time) {
	for from, peer := range p.peers {
		if now.Sub(peer.at) > p.Settings.PeerLoadFor {
			p.dropLoads(from)
		}
	}
}

// LearnHeld takes note of what the holder of an upstream knows to be in flight there from all instances but
// this one, by its answer to a report.
func (p *Pool) LearnHeld(now time.Time, id string, load Load) {
	if u := p.upstreams[id]; u != nil {
		u.held = load
		u.heldAt = now
	}
}

// LearnTotal takes note of what was in flight at an upstream from all instances at a moment, by the state of its
// holder. What this instance has reported is taken out.
func (p *Pool) LearnTotal(at time.Time, id string, total Load) {
	u := p.upstreams[id]
	if u == nil || u.heldAt.After(at) {
		return
	}
	held := total.minus(u.reported)
	u.held = Load{
		Running: max(held.Running, 0), Prompt: max(held.Prompt, 0), Memory: max(held.Memory, 0), Awaiting: max(held.Awaiting, 0),
	}
	u.heldAt = at
}

// Beside is what all instances but a given one have in flight at an upstream, for the instance that holds it.
func (p *Pool) Beside(now time.Time, id, instance string) (total Load) {
	total = p.Total(now, id)
	for _, from := range []source{{instance: instance}, {instance: instance, reported: true}} {
		total = total.minus(p.peers[from].loads[id])
	}
	return total
}

// Total is what all instances have in flight at an upstream, and the prompts that await their turn, for the instance
// that holds it.
func (p *Pool) Total(now time.Time, id string) (total Load) {
	u := p.upstreams[id]
	if u == nil {
		return total
	}
	total = p.Sent(now, id)
	total.Prompt += u.awaitingTurn
	return total
}

// Sent is what all instances have in flight at an upstream, for the instance that holds it.
func (p *Pool) Sent(now time.Time, id string) (total Load) {
	u := p.upstreams[id]
	if u == nil {
		return total
	}
	p.dropSilent(now)
	return u.own.plus(u.beside)
}

// SetAwaitingTurn takes note of the tokens of the prompts that wait for their turn at an upstream that this instance holds.
func (p *Pool) SetAwaitingTurn(id string, tokens int) {
	if u := p.upstreams[id]; u != nil {
		u.awaitingTurn = tokens
	}
}

// Prefill is how long an upstream is expected to need for a prompt alone.
func (p *Pool) Prefill(id string, tokens int) time.Duration {
	u := p.upstreams[id]
	if u == nil {
		return 0
	}
	return p.pace(u.declared.Service).engine.PrefillTime(tokens)
}

// Own is what this instance has in flight at the selected upstreams, for its heartbeats.
func (p *Pool) Own(asked func(upstream string) bool) map[string]Load {
	loads := make(map[string]Load)
	for u := range p.active {
		id := u.declared.ID
		if own := u.own; own.isInFlight() && asked(id) {
			own.InUse = u.inUse()
			loads[id] = own
		}
	}
	return loads
}

// HasOwn reports whether this instance has anything in flight at an upstream.
func (p *Pool) HasOwn(id string) bool {
	u := p.upstreams[id]
	return u != nil && u.own.isInFlight()
}

// Report is Own for the holder of the selected upstreams.
func (p *Pool) Report(asked func(upstream string) bool) map[string]Load {
	for u := range p.active {
		if asked(u.declared.ID) {
			u.reported = u.own
		}
		if u.own.isZero() && u.reported.isZero() {
			delete(p.active, u)
		}
	}
	return p.Own(asked)
}

// activate takes note that this instance has something in flight at an upstream. Own and Report come many times a second and
// look at these alone: the others are most of a large service.
func (p *Pool) activate(u *upstream) { p.active[u] = true }

// InUse lists the adapters with requests in flight at an upstream, from any instance.
func (p *Pool) InUse(now time.Time, id string) (adapters []traffic.Adapter) {
	if u := p.upstreams[id]; u != nil {
		adapters = u.inUse()
	}
	p.dropSilent(now)
	for _, peer := range p.peers {
		adapters = append(adapters, peer.loads[id].InUse...)
	}
	return adapters
}

// load is what all instances have in flight at an upstream, as far as none of them is silent.
func (p *Pool) load(now time.Time, u *upstream) (load Load) {
	if now.Sub(u.heldAt) <= p.Settings.HeldFor {
		return u.own.plus(u.held)
	}
	load = u.own.plus(u.beside)
	load.Prompt += u.awaitingTurn
	return load
}

// askAfter is how old the holder's report of an upstream's load may be. Heartbeats come four times a second at the
// most; in that time other instances send prompts there that are read for some hundred milliseconds, and a request
// that was placed without knowing of them waits behind them although another upstream is idle. An answer of the
// holder takes a millisecond or two.
const askAfter = 60 * time.Millisecond

// isUncertain reports whether the known load of an upstream is too old. At a plain upstream the limit is the time in which
// one of its places becomes free.
func (p *Pool) isUncertain(now time.Time, u *upstream) bool {
	after := askAfter
	if _, isEngine := p.engines[u.declared.Service]; !isEngine {
		after = p.pace(u.declared.Service).service.Latency(0) / time.Duration(u.places())
	}
	return now.Sub(u.heldAt) > after
}
