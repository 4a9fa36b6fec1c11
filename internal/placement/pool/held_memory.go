package pool

import "time"

// held_memory.go counts what the instances hold in the memory of an engine, at its holder.

const (
	// self is the account of the holder itself, whose load is always up to date.
	self = ""
	// memoryStart is how long a new holder waits for the reports of the live instances.
	memoryStart = time.Second
	// memoryStartLimit is the fraction of the memory up to which it admits requests until then.
	memoryStartLimit = 0.5
	// memoryWait is the retry time of a request that does not fit. It is longer by memoryRefusalSpacing for each
	// further one that is refused in a row, by maxMemoryWait at most.
	memoryWait           = 20 * time.Millisecond
	memoryRefusalSpacing = 2 * time.Millisecond
	maxMemoryWait        = time.Second
)

// MemoryPeer is another instance of the roster.
type MemoryPeer struct {
	Incarnation string
	Alive       bool
}

// memoryPeer is an instance, and when it was last known to be alive.
type memoryPeer struct {
	incarnation string
	alive       bool
	aliveAt     time.Time
	// wasAlive: this instance has seen the peer alive. It may have started too lately to have seen any.
	wasAlive bool
	// restartedAt is when another incarnation of it became known.
	restartedAt time.Time
}

// MemoryRequest is a request that an instance asks the holder to admit.
type MemoryRequest struct {
	// Instance is empty for the holder itself.
	Instance string
	// Ask is the number of the question; 0 if none was asked.
	Ask    int64
	Tokens int
	// Held is the number of tokens that the instance has in flight at the upstream, and Open are its other questions
	// there, as in a report.
	Held int
	Open []int64
}

// MemoryVerdict is the answer of a holder.
type MemoryVerdict struct {
	Admitted bool
	// Starting: the holder does not know yet what is in flight, and the instance acts as if the upstream had no holder.
	Starting bool
	// RetryAfter is when a request that was refused is worth another try.
	RetryAfter time.Duration
}

// heldMemory is what the holder of an upstream counts.
type heldMemory struct {
	accounts map[string]*memoryAccount
	// since is when this instance became the holder, and before the tokens that were known to be in flight then.
	since    time.Time
	before   int
	refusals int
	// counted is the sum of the accounts, and reserved what is reserved for silent instances beyond that.
	counted  int
	reserved int
}

// memoryAccount is what the holder counts for one instance.
type memoryAccount struct {
	// tokens are the reported ones, as of the report with the given sequence.
	tokens   int
	sequence int64
	at       time.Time
	// reported: a report has covered the upstream since this instance holds it.
	reported bool
	// grants are the admitted requests that no report has covered.
	grants  map[int64]memoryGrant
	granted int
}

type memoryGrant struct {
	tokens int
	at     time.Time
}

// AdmitMemory admits a request at an upstream that this instance holds if it fits into the memory with all that is in
// flight. A request that was admitted before is admitted again.
func (p *Pool) AdmitMemory(now time.Time, id string, request MemoryRequest) MemoryVerdict {
	u := p.upstreams[id]
	if u == nil || request.Ask == 0 || !p.IsMemoryBounded(u.declared.Service) {
		return MemoryVerdict{Admitted: true}
	}
	m := &u.heldMemory
	account := m.openAccount(request.Instance, now)
	if _, granted := account.grants[request.Ask]; granted {
		return MemoryVerdict{Admitted: true}
	}
	if request.Instance != self {
		account.reported = true
		m.settle(account, now, request.Ask, openAsks(append(request.Open, request.Ask)), request.Held)
	}
	inFlight := u.countMemory()
	starting := p.isMemoryStarting(now, u)
	if !m.since.IsZero() && now.Sub(m.since) < memorySilence && !p.haveAllReported(u) {
		inFlight = max(inFlight, m.before)
	}
	if !p.fitsHeld(u, request.Tokens, inFlight, starting) {
		wait := memoryWait + min(time.Duration(m.refusals)*memoryRefusalSpacing, maxMemoryWait)
		m.refusals++
		return MemoryVerdict{Starting: starting, RetryAfter: wait}
	}
	m.refusals = 0
	m.grant(account, request.Ask, memoryGrant{tokens: request.Tokens, at: now})
	return MemoryVerdict{Admitted: true}
}

// fitsHeld reports whether a request fits. One that is larger than what holders admit has an empty upstream for itself.
func (p *Pool) fitsHeld(u *upstream, tokens, inFlight int, starting bool) bool {
	memory := float64(p.engines[u.declared.Service].MemoryTokens)
	limit := memoryLimit * memory
	if starting {
		limit = memoryStartLimit * memory
	}
	needed := float64(tokens + inFlight + u.heldMemory.reserved)
	return needed <= limit || !starting && inFlight == 0 && float64(tokens) > limit && needed <= memory
}

// RecordMemoryReport records what another instance has in flight at the selected upstreams, which this one holds.
func (p *Pool) RecordMemoryReport(now time.Time, instance string, statement MemoryStatement, loads map[string]Load) {
	if !p.Settings.BoundMemory || statement.Sequence == 0 {
		return
	}
	open := openAsks(statement.Asks)
	for _, id := range statement.Upstreams {
		if u := p.upstreams[id]; u != nil && p.held[id] {
			u.heldMemory.openAccount(instance, now).reported = true
		}
	}
	for id := range p.held {
		u := p.upstreams[id]
		if u == nil || !p.IsMemoryBounded(u.declared.Service) {
			continue
		}
		load, covered := loads[id]
		if u.heldMemory.accounts[instance] == nil && !covered {
			continue
		}
		account := u.heldMemory.openAccount(instance, now)
		account.reported = account.reported || covered
		u.heldMemory.settle(account, now, statement.Sequence, open, load.MemoryTokens)
	}
}

// SetMemoryPeers records the other instances of the roster, and updates what is reserved for silent ones. What an
// instance had in flight ended when it left the roster or was restarted.
func (p *Pool) SetMemoryPeers(now time.Time, peers map[string]MemoryPeer) {
	p.advance(now)
	p.dropRemoved()
	next := make(map[string]memoryPeer, len(peers))
	p.memory.silent = make(map[string]bool)
	for name, peer := range peers {
		known, found := p.memory.peers[name]
		if found && known.incarnation != peer.Incarnation {
			known.restartedAt = now // the first report of the new incarnation may have arrived before
		}
		if peer.Alive || !found {
			known.aliveAt = now
		}
		known.incarnation, known.alive, known.wasAlive = peer.Incarnation, peer.Alive, known.wasAlive || peer.Alive
		next[name] = known
		if now.Sub(known.aliveAt) > memorySilence {
			p.memory.silent[name] = true
		}
	}
	for name := range p.memory.peers {
		if _, stays := next[name]; !stays {
			p.dropAccounts(name)
		}
	}
	p.memory.peers = next
	for id := range p.held {
		if u := p.upstreams[id]; u != nil && p.IsMemoryBounded(u.declared.Service) {
			p.updateReserve(now, u)
		}
	}
}

// HeldMemory is the memory in flight at the held upstreams, as fractions of their memory.
func (p *Pool) HeldMemory() map[string]float64 {
	held := make(map[string]float64)
	for id := range p.held {
		if u := p.upstreams[id]; u != nil && p.IsMemoryBounded(u.declared.Service) {
			held[id] = float64(u.countMemory()) / float64(p.engines[u.declared.Service].MemoryTokens)
		}
	}
	return held
}

// ---------------------------------------------------------------------------------------------

// countMemory returns what all instances hold, or may begin to hold by what was admitted.
func (u *upstream) countMemory() int { return u.own.MemoryTokens + u.heldMemory.counted }

// updateReserve updates what is reserved at an upstream for silent instances, beyond what is counted for them.
func (p *Pool) updateReserve(now time.Time, u *upstream) {
	m := &u.heldMemory
	m.reserved = 0
	share := p.memoryShare(u.declared.Service, memoryLimit)
	for instance, account := range m.accounts {
		m.dropOld(account, now.Add(-memoryDrain))
		if instance == self || account.held() == 0 || now.Sub(account.at) <= memorySilence || p.memory.silent[instance] {
			continue
		}
		if p.memory.peers[instance].restartedAt.After(account.at) {
			m.setTokens(account, 0)
			m.dropOld(account, now.Add(-memorySilence))
			continue
		}
		m.reserved += max(share-account.held(), 0)
	}
	for instance := range p.memory.silent {
		m.reserved += max(share-m.accounts[instance].held(), 0)
	}
}

// boundedLoad replaces the memory in a load of all instances except the given one by what the holder counts.
func (p *Pool) boundedLoad(u *upstream, load Load, without string) Load {
	if !p.IsMemoryBounded(u.declared.Service) {
		return load
	}
	load.MemoryTokens = u.countMemory()
	if without != self {
		load.MemoryTokens -= u.heldMemory.accounts[without].held()
	}
	return load
}

// beginHolding begins to count at an upstream that this instance holds from now on.
func (p *Pool) beginHolding(now time.Time, u *upstream) {
	u.heldMemory = heldMemory{since: now}
	if now.Sub(u.holderLoadAt) <= memorySilence {
		u.heldMemory.before = u.holderLoad.MemoryTokens
	}
	u.heldMemory.before = u.own.MemoryTokens + max(u.heldMemory.before, u.peerLoad.MemoryTokens)
}

// isMemoryStarting reports whether this instance has become the holder so lately that it does not know what is in
// flight.
func (p *Pool) isMemoryStarting(now time.Time, u *upstream) bool {
	since := u.heldMemory.since
	return !since.IsZero() && now.Sub(since) < memoryStart && !p.haveAllReported(u)
}

// haveAllReported reports whether all instances that may be alive have stated what they have in flight.
func (p *Pool) haveAllReported(u *upstream) bool {
	for instance, peer := range p.memory.peers {
		account := u.heldMemory.accounts[instance]
		if (peer.alive || !peer.wasAlive) && (account == nil || !account.reported) {
			return false
		}
	}
	return true
}

func (p *Pool) dropAccounts(instance string) {
	for _, u := range p.upstreams {
		u.heldMemory.counted -= u.heldMemory.accounts[instance].held()
		delete(u.heldMemory.accounts, instance)
	}
}

func openAsks(asks []int64) map[int64]bool {
	open := make(map[int64]bool, len(asks))
	for _, ask := range asks {
		open[ask] = true
	}
	return open
}

func (m *heldMemory) openAccount(instance string, now time.Time) *memoryAccount {
	if m.accounts == nil {
		m.accounts = make(map[string]*memoryAccount)
	}
	if m.accounts[instance] == nil {
		m.accounts[instance] = &memoryAccount{at: now, grants: make(map[int64]memoryGrant)}
	}
	return m.accounts[instance]
}

// held is what the holder counts for an instance. The account may be nil.
func (a *memoryAccount) held() int {
	if a == nil {
		return 0
	}
	return a.tokens + a.granted
}

func (m *heldMemory) setTokens(account *memoryAccount, tokens int) {
	m.counted += tokens - account.tokens
	account.tokens = tokens
}

func (m *heldMemory) grant(account *memoryAccount, ask int64, grant memoryGrant) {
	account.grants[ask] = grant
	account.granted += grant.tokens
	m.counted += grant.tokens
}

// drop ends a grant. The account may be nil.
func (m *heldMemory) drop(account *memoryAccount, ask int64) {
	if account == nil {
		return
	}
	if grant, found := account.grants[ask]; found {
		delete(account.grants, ask)
		account.granted -= grant.tokens
		m.counted -= grant.tokens
	}
}

// settle records a report. Questions that were asked before it and are not open are part of its load, or were given up.
// Reports may overtake each other.
func (m *heldMemory) settle(account *memoryAccount, now time.Time, sequence int64, open map[int64]bool, tokens int) {
	if sequence <= account.sequence {
		return
	}
	account.sequence, account.at = sequence, now
	m.setTokens(account, tokens)
	for ask := range account.grants {
		if ask < sequence && !open[ask] {
			m.drop(account, ask)
		}
	}
}

// dropOld ends grants before a time, which no report has covered. Their requests have ended, or were never sent.
func (m *heldMemory) dropOld(account *memoryAccount, before time.Time) {
	for ask, grant := range account.grants {
		if grant.at.Before(before) {
			m.drop(account, ask)
		}
	}
}
