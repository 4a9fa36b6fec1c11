package pool

import (
	"math"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// upstream.go is what the pool knows of one upstream, and how each send changes it.

const (
	// failureHalfLife is the time in which the evidence of failures counts half. Upstreams that fail for
	// a reason of their own are back after some seconds, and are to be noticed then.
	failureHalfLife = 2 * time.Second
	// slownessHalfLife is the same for slowness.
	slownessHalfLife = 2 * time.Second
	// unmeasuredAfter and unmeasuredFactor make an upstream that was long not measured look quicker than
	// the others, so that it is tried: at low load nothing else would show that it has recovered.
	unmeasuredAfter  = 6 * time.Second
	unmeasuredFactor = 0.6
	// learning is the weight of the newest of the samples that measure slowness.
	learning = 0.25
	// shortestBan and longestBan bound how long an upstream that cannot be reached gets nothing. The
	// first is about a restart of its process; the last is how late its return may be noticed.
	shortestBan = 300 * time.Millisecond
	longestBan  = 1500 * time.Millisecond
)

type upstream struct {
	declared traffic.Upstream
	fence    int64
	version  int64
	resident map[traffic.Adapter]Resident
	recent   recentAdapters
	idle     int
	wait     time.Duration
	// held is what the holder said last to be under way there beside this instance's own.
	held   Load
	heldAt time.Time
	// reported is what this instance had in flight there when it last reported it to the holder.
	reported Load
	// awaitingTurn is the tokens of the prompts that wait for their turn, where this instance holds the upstream.
	awaitingTurn int
	// loads is how long loads take there, if its holder has told.
	loads loadTimes
	// preparing is how many requests of this instance wait for adapters there.
	preparing int

	sends map[*Send]bool
	// own is what the sends add up to, beside what the other instances told; both but for the adapters in use.
	own    Load
	beside Load
	// failures and successes are decaying counts of ends.
	failures  float64
	successes float64
	counted   time.Time
	// slow is how many times longer than expected answers take.
	slow     float64
	measured time.Time
	// awayUntil is how long the holder's word counts that it does not reach the upstream; servedAt is when this
	// instance last had an answer from there.
	awayUntil time.Time
	servedAt  time.Time
	cold      cold
	// bannedUntil is when an upstream that could not be reached is tried again.
	bannedUntil time.Time
	ban         time.Duration
}

// Send is a request under way at an upstream.
type Send struct {
	pool     *Pool
	upstream *upstream
	query    Query
	began    time.Time
	// found is what was under way at the upstream before, usual the time that its first event then takes at an
	// upstream of usual speed.
	found Load
	usual time.Duration
	// certain: what was found is from a fresh report of the holder.
	certain bool
	// stated is what was in flight there according to the upstream's answer, zero if it states nothing.
	stated   Load
	answered bool
}

func newUpstream(now time.Time) *upstream {
	return &upstream{
		resident: make(map[traffic.Adapter]Resident),
		sends:    make(map[*Send]bool),
		slow:     1,
		counted:  now,
		measured: now,
	}
}

// Begin counts a request as under way.
func (p *Pool) Begin(now time.Time, choice Choice, query Query) *Send {
	send := &Send{pool: p, query: query, began: now, upstream: p.upstreams[choice.Upstream.ID]}
	if u := send.upstream; u != nil {
		send.found = p.load(now, u)
		send.certain = !p.isUncertain(now, u)
		send.usual = p.usual(u, query, send.found)
		u.sends[send] = true
		u.own = u.own.plus(send.load())
		p.activate(u)
	}
	return send
}

// load is what the send adds to its upstream's. Its prompt counts until the first event.
func (s *Send) load() Load {
	load := Load{Running: 1, Memory: s.query.Tokens + s.query.Output}
	if !s.answered {
		load.Prompt = s.query.Tokens
	}
	return load
}

// Answered takes note of the first event, or of the whole answer, and tells whether it is the first.
func (s *Send) Answered(now time.Time) (first bool) {
	u := s.upstream
	if s.answered || u == nil {
		return false
	}
	s.answered = true
	u.servedAt = now
	if u.sends[s] {
		u.own.Prompt -= s.query.Tokens
	}
	took := now.Sub(s.began)
	s.pool.observe(s, took)
	if s.usual <= 0 {
		return true
	}
	sample := float64(took) / float64(s.usual)
	slow := u.slowness(now)
	u.slow = slow + learning*(min(sample, slowest)-slow)
	u.measured = now
	return true
}

// slowest bounds one sample, so that a single stall does not count as an upstream that is hopeless.
const slowest = 20

// Paused takes note of whether a stream that has ended paused for too long.
func (s *Send) Paused(late bool) { s.pool.pace(s.query.Service).notePause(late) }

// End tells how a request ended.
type End string

// The ends.
const (
	// EndServed: a complete answer.
	EndServed End = "served"
	// EndFailed: an answer that is a failure of the upstream, or is broken.
	EndFailed End = "failed"
	// EndUnreachable: no connection, or it broke without an answer.
	EndUnreachable End = "unreachable"
	// EndRefused: the upstream did not run it, for want of room.
	EndRefused End = "refused"
	// EndOther: says nothing about the upstream.
	EndOther End = "other"
)

// Finish takes note of how a request ended.
func (p *Pool) Finish(now time.Time, send *Send, end End) {
	u := send.upstream
	if u == nil {
		return
	}
	if u.sends[send] {
		delete(u.sends, send)
		u.own = u.own.minus(send.load())
	}
	switch end {
	case EndServed:
		u.servedAt = now
		u.count(now, 0)
		u.ban = 0
	case EndFailed:
		u.count(now, 1)
	case EndRefused:
		u.count(now, refusalWeight)
		p.noteRefusal(now, send)
	case EndUnreachable:
		u.count(now, 1)
		u.ban = min(max(2*u.ban, shortestBan), longestBan)
		u.bannedUntil = now.Add(u.ban)
	case EndOther:
	}
}

// Crashed takes note that nothing listens at an upstream any more.
func (p *Pool) Crashed(now time.Time, id string) {
	if u := p.upstreams[id]; u != nil {
		u.ban = min(max(2*u.ban, shortestBan), longestBan)
		u.bannedUntil = now.Add(u.ban)
	}
}

// refusalWeight: a refusal for want of room tells less than a failure; the load has to be compared too.
const refusalWeight = 0.5

// Preparation is a request of this instance that waits for an adapter at an upstream.
type Preparation struct {
	upstream *upstream
	tokens   int
}

// Prepare counts a request as waiting for an adapter at an upstream, and its prompt as one that is sent there as soon as
// the adapter is loaded, until Done.
//
// Made for popular adapters. All that wait for one are sent in the moment in which it is loaded, to an engine that looked
// idle to each of them, and to those that chose it meanwhile.
func (p *Pool) Prepare(id string, tokens int) Preparation {
	u := p.upstreams[id]
	if u != nil {
		u.preparing++
		u.own.Awaiting += tokens
		p.activate(u)
	}
	return Preparation{upstream: u, tokens: tokens}
}

// Done takes it that the request does not wait any more.
func (w Preparation) Done() {
	if w.upstream != nil {
		w.upstream.preparing--
		w.upstream.own.Awaiting -= w.tokens
	}
}

// Missing takes note that an upstream lacks an adapter that was believed to be there.
func (p *Pool) Missing(id string, adapter traffic.Adapter) {
	if u := p.upstreams[id]; u != nil {
		delete(u.resident, adapter)
	}
}

// Prepared takes note that the holder has just seen an adapter to be there.
func (p *Pool) Prepared(id string, adapter traffic.Adapter, version int64) {
	if u := p.upstreams[id]; u != nil {
		u.resident[adapter] = Resident{Adapter: adapter, Version: version}
		u.recent.add(u.resident[adapter])
	}
}

// ---------------------------------------------------------------------------------------------

func (u *upstream) setResident(list []Resident) {
	if u.hasExactly(list) {
		return // the usual case: holders repeat the whole list
	}
	u.resident = make(map[traffic.Adapter]Resident, len(list))
	for _, resident := range list {
		u.resident[resident.Adapter] = resident
		u.recent.add(resident)
	}
}

// hasExactly reports whether the known residents are those of a list.
func (u *upstream) hasExactly(list []Resident) bool {
	if len(list) != len(u.resident) {
		return false
	}
	for _, resident := range list {
		if u.resident[resident.Adapter] != resident {
			return false
		}
	}
	return true
}

// inUse lists the adapters that this instance's requests use there.
func (u *upstream) inUse() (adapters []traffic.Adapter) {
	for send := range u.sends {
		if send.query.Adapter.Name != "" {
			adapters = append(adapters, send.query.Adapter)
		}
	}
	return adapters
}

func (u *upstream) count(now time.Time, failure float64) {
	u.decay(now)
	u.failures += failure
	u.successes += 1 - failure
}

func (u *upstream) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(u.counted).Seconds() / failureHalfLife.Seconds())
	u.failures *= factor
	u.successes *= factor
	u.counted = now
}

// failing is the share of sends that fail, from 0 to 1. The prior of priorSuccesses keeps one failure
// from counting as an upstream that always fails.
func (u *upstream) failing(now time.Time) float64 {
	u.decay(now)
	return u.failures / (u.failures + u.successes + priorSuccesses)
}

const priorSuccesses = 2

// slowness is how many times longer than usual answers take, as far as that was seen lately.
func (u *upstream) slowness(now time.Time) float64 {
	return 1 + (u.slow-1)*math.Exp2(-now.Sub(u.measured).Seconds()/slownessHalfLife.Seconds())
}

// exploration is by how much an upstream is to be preferred for not having been measured lately, so that a recovery
// is tried.
func (u *upstream) exploration(now time.Time) float64 {
	part := min(1, now.Sub(u.measured).Seconds()/unmeasuredAfter.Seconds())
	return 1 - (1-unmeasuredFactor)*part
}
