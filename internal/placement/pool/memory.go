package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// memory.go keeps engines within their memory: an engine whose requests need more memory terminates, and all requests
// that run there are lost. The holder of an engine admits the requests of all instances, as at a brittle upstream;
// held_memory.go counts what it admitted. A question is a request of an instance to the holder to admit one request.
// An instance numbers its questions, and its reports name those whose requests are not yet among the reported loads.
// The holder thus counts each request once, however late the reports are. Without the holder's answer, an instance
// sends a request only once others of its own have ended and left room. After the requests of the other instances
// must have ended too, it uses its share of the memory.

const (
	// memoryLimit is the fraction of the memory that holders admit. The instances have the rest, in equal parts, for
	// requests that no holder has admitted.
	memoryLimit = 0.9
	// memoryUnasked is the fraction of the memory below which a fresh report of the load makes a question needless.
	memoryUnasked = 0.5
	// memorySilence is how long an instance or a holder is silent before its share is reserved.
	memorySilence = 3 * time.Second
	// memoryDrain is how long requests run that were admitted before a silence. Until then other instances may hold
	// what is now the share of this one. Requests have at most 15 s in the deployments where memory is bounded.
	memoryDrain = 20 * time.Second
	// memoryAskTTL is how long an admission counts at the asking instance until its request begins.
	memoryAskTTL = 5 * time.Second
	// maxMemoryRefusal bounds how long an upstream is not chosen after a refusal, as each end of a request makes room.
	maxMemoryRefusal = 50 * time.Millisecond
	// memoryFullAge is how old a load may be for the upstream to count as full by it: requests that ended since make
	// room.
	memoryFullAge = 100 * time.Millisecond
)

// MemoryStatement relates the loads of a report to the questions of its sender.
type MemoryStatement struct {
	// Sequence rises with each report and question of the sender. It is 0 if memory is not bounded.
	Sequence int64
	// Asks are the questions whose requests are not among the loads, and have not been given up either.
	Asks []int64
	// Upstreams are those whose holder has changed lately: the report covers them even if it has no load there.
	Upstreams []string
}

// memoryAsk is a question to the holder of an upstream.
type memoryAsk struct {
	upstream *upstream
	tokens   int
	granted  bool
	at       time.Time
}

// ownMemory is what this instance knows of the memory of one upstream as one that sends requests there.
type ownMemory struct {
	// granted is the number of tokens that the holder counts for this instance at the least.
	granted int
	// fullUntil is when the holder is expected to admit another request, by the last refusal.
	fullUntil time.Time
	// lostSince is when this instance lost the holder; zero if it has one that is alive. changedAt is when the holder
	// changed.
	lostSince time.Time
	changedAt time.Time
}

// IsMemoryBounded reports whether requests to the upstreams of a service are kept within the memory.
func (p *Pool) IsMemoryBounded(service string) bool {
	return p.Settings.BoundMemory && p.engines[service].MemoryTokens > 0
}

// isMemoryBoundedFor reports whether a request is one for a model in a bounded memory.
func (p *Pool) isMemoryBoundedFor(query Query) bool {
	return p.Settings.BoundMemory && query.Adapter.Model != "" && p.IsMemoryBounded(query.Service)
}

// ExceedsMemory reports whether a request does not fit into an empty upstream.
func (p *Pool) ExceedsMemory(query Query) bool {
	return p.isMemoryBoundedFor(query) && query.memoryTokens() > p.engines[query.Service].MemoryTokens
}

// AskMemory counts a question to the holder of an upstream, and returns it; the zero value if memory is not bounded
// there. The question ends with Begin or GiveUpMemory. It states what this instance has in flight, as it may be ahead
// of the reports.
func (p *Pool) AskMemory(now time.Time, id string, query Query) (request MemoryRequest) {
	u := p.upstreams[id]
	if u == nil || !p.IsMemoryBounded(u.declared.Service) {
		return request
	}
	p.dropOldAsks(now)
	ask := p.nextMemorySequence(now)
	u.recordMemoryReported()
	request = MemoryRequest{Ask: ask, Tokens: query.memoryTokens(), Held: u.statedLoad().MemoryTokens}
	for number, other := range p.memory.asks {
		if other.upstream == u {
			request.Open = append(request.Open, number)
		}
	}
	if p.memory.asks == nil {
		p.memory.asks = make(map[int64]memoryAsk)
	}
	p.memory.asks[ask] = memoryAsk{upstream: u, tokens: query.memoryTokens(), at: now}
	return request
}

// RecordMemoryGrant records that the holder has admitted the request of a question.
func (p *Pool) RecordMemoryGrant(now time.Time, number int64) {
	if ask, open := p.memory.asks[number]; open {
		ask.granted = true
		ask.at = now
		p.memory.asks[number] = ask
	}
}

// GiveUpMemory ends a question whose request is not sent.
func (p *Pool) GiveUpMemory(number int64) {
	if ask, open := p.memory.asks[number]; open {
		p.endAsk(number, ask)
	}
}

// RecordMemoryRefusal records that the holder of an upstream admits no request until retryAfter has passed.
func (p *Pool) RecordMemoryRefusal(now time.Time, id string, retryAfter time.Duration) {
	if u := p.upstreams[id]; u != nil {
		u.memory.fullUntil = now.Add(min(retryAfter, maxMemoryRefusal))
	}
}

// MayUseMemory reports whether a request may be sent: the holder has admitted it, or it fits into the part of the
// memory that this instance may use without a question.
func (p *Pool) MayUseMemory(now time.Time, choice Choice, query Query) bool {
	u := p.upstreams[choice.Upstream.ID]
	if u == nil || !p.isMemoryBoundedFor(query) {
		return true
	}
	ask, open := p.memory.asks[choice.Memory.Ask]
	if open && ask.granted && ask.upstream == u && now.Sub(ask.at) <= memoryAskTTL {
		return true
	}
	return p.fitsUnasked(now, u, query)
}

// SetMemoryHolders records which upstreams have a holder that is alive. reachable must not call the pool.
func (p *Pool) SetMemoryHolders(now time.Time, reachable func(upstream string) bool) {
	for id, u := range p.upstreams {
		switch {
		case p.held[id] || reachable(id):
			u.memory.lostSince = time.Time{}
		case u.memory.lostSince.IsZero():
			u.memory.lostSince = now
		case now.Sub(u.memory.lostSince) > memorySilence:
			u.memory.granted = min(u.memory.granted, p.memoryShare(u.declared.Service, memoryLimit))
		}
	}
}

// RecordNewHolder records that the holder of an upstream has changed.
func (p *Pool) RecordNewHolder(now time.Time, id string) {
	if u := p.upstreams[id]; u != nil {
		u.memory.changedAt = now
	}
}

// MemoryStatement returns the statement for a report that is built now, of the selected upstreams.
func (p *Pool) MemoryStatement(now time.Time, selected func(upstream string) bool) (statement MemoryStatement) {
	if !p.Settings.BoundMemory {
		return statement
	}
	p.dropOldAsks(now)
	statement.Sequence = p.nextMemorySequence(now)
	for number, ask := range p.memory.asks {
		if selected(ask.upstream.declared.ID) {
			statement.Asks = append(statement.Asks, number)
		}
	}
	for id, u := range p.upstreams {
		if now.Sub(u.memory.changedAt) < memorySilence && selected(id) {
			statement.Upstreams = append(statement.Upstreams, id)
		}
	}
	return statement
}

// ---------------------------------------------------------------------------------------------

// poolMemory is what a pool knows about the memory of all upstreams.
type poolMemory struct {
	sequence int64
	asks     map[int64]memoryAsk
	peers    map[string]memoryPeer
	// silent are the peers whose share is reserved.
	silent map[string]bool
	// removed are upstreams without an entry that still run requests of this instance. Entries may come back.
	removed map[traffic.Life]*upstream
}

// memoryTokens is what a request occupies.
func (q Query) memoryTokens() int { return q.Tokens + q.Output }

// nextMemorySequence returns a number above all earlier ones, also those before a restart of the instance. It therefore
// follows the clock, in microseconds.
func (p *Pool) nextMemorySequence(now time.Time) int64 {
	p.memory.sequence = max(p.memory.sequence+1, now.UnixMicro())
	return p.memory.sequence
}

// dropOldAsks ends questions for which neither Begin nor GiveUpMemory was called within memoryAskTTL.
func (p *Pool) dropOldAsks(now time.Time) {
	for number, ask := range p.memory.asks {
		if now.Sub(ask.at) > memoryAskTTL {
			p.endAsk(number, ask)
		}
	}
}

func (p *Pool) endAsk(number int64, ask memoryAsk) {
	delete(p.memory.asks, number)
	m := &ask.upstream.heldMemory
	m.drop(m.accounts[self], number)
}

// beginMemory moves an admitted request from the questions to the load.
func (p *Pool) beginMemory(number int64) {
	if ask, open := p.memory.asks[number]; open {
		p.endAsk(number, ask)
		if ask.granted {
			ask.upstream.memory.granted += ask.tokens
		}
	}
}

// recordMemoryReported lowers what the holder may count to what a report states.
func (u *upstream) recordMemoryReported() {
	u.memory.granted = min(u.memory.granted, u.statedLoad().MemoryTokens)
}

// statedLoad is the load that this instance states. Without the holder it replaces its requests as they end, so it
// states what it may hold: a report may arrive all the same.
func (u *upstream) statedLoad() Load {
	load := u.own
	if !u.memory.lostSince.IsZero() {
		load.MemoryTokens = max(load.MemoryTokens, u.memory.granted)
	}
	return load
}

// memoryShare is the share of one instance in a fraction of an engine's memory, in tokens.
func (p *Pool) memoryShare(service string, fraction float64) int {
	return int(fraction * float64(p.engines[service].MemoryTokens) / float64(max(p.Settings.Instances, p.Settings.LiveInstances, 1)))
}

// fitsUnasked reports whether a request fits into what this instance may use without the holder: what the holder
// counts for it, and its part of what holders do not admit. When the holder has been lost for long, it is the share
// instead.
func (p *Pool) fitsUnasked(now time.Time, u *upstream, query Query) bool {
	service := u.declared.Service
	counted := u.memory.granted
	if lost := u.memory.lostSince; !lost.IsZero() {
		share := p.memoryShare(service, memoryLimit)
		if now.Sub(lost) > memorySilence+memoryDrain {
			counted = share
		}
	}
	return u.own.MemoryTokens+query.memoryTokens() <= counted+p.memoryShare(service, 1-memoryLimit)
}

// mightNotFit reports whether the holder of an upstream has to admit a request first.
func (p *Pool) mightNotFit(now time.Time, u *upstream, query Query, load Load) bool {
	if !p.isMemoryBoundedFor(query) {
		return false
	}
	fresh := now.Sub(u.holderLoadAt) <= maxHolderLoadAge
	empty := float64(load.MemoryTokens) < memoryUnasked*float64(p.engines[u.declared.Service].MemoryTokens)
	return !fresh || !empty || !p.fitsUnasked(now, u, query)
}

// isMemoryFull reports whether the holder of an upstream would not admit a request, as far as this instance knows.
func (p *Pool) isMemoryFull(now time.Time, u *upstream, query Query) bool {
	if !p.isMemoryBoundedFor(query) {
		return false
	}
	if now.Before(u.memory.fullUntil) {
		return true
	}
	if now.Sub(u.holderLoadAt) > memoryFullAge {
		return false
	}
	known := u.own.MemoryTokens + u.holderLoad.MemoryTokens
	return known > 0 && float64(known+query.memoryTokens()) > memoryLimit*float64(p.engines[u.declared.Service].MemoryTokens)
}

// keepMemory keeps what is in flight at an upstream that is removed. In an outage of the store, entries expire and
// come back while the requests run on.
func (p *Pool) keepMemory(u *upstream) {
	if u == nil || !p.IsMemoryBounded(u.declared.Service) {
		return
	}
	if p.memory.removed == nil {
		p.memory.removed = make(map[traffic.Life]*upstream)
	}
	p.memory.removed[u.declared.Life()] = u
}

// restoreMemory restores what is in flight at a life of an upstream whose entry has come back.
func (p *Pool) restoreMemory(u *upstream, life traffic.Life) {
	removed := p.memory.removed[life]
	if removed == nil {
		return
	}
	delete(p.memory.removed, life)
	u.attempts, u.own = removed.attempts, removed.own
	u.own.AwaitingTokens = 0 // what is prepared goes on with the former state
	u.memory, u.heldMemory = removed.memory, removed.heldMemory
	for attempt := range u.attempts {
		attempt.upstream = u
	}
	for number, ask := range p.memory.asks {
		if ask.upstream == removed {
			ask.upstream = u
			p.memory.asks[number] = ask
		}
	}
	p.activate(u)
}

// dropRemoved drops removed upstreams at which nothing is in flight any more.
func (p *Pool) dropRemoved() {
	for life, u := range p.memory.removed {
		if u.own.MemoryTokens == 0 && u.countMemory() == 0 {
			delete(p.memory.removed, life)
		}
	}
}
