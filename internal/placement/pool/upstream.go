package pool

import (
	"math"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// upstream.go keeps the state of one upstream, and updates it with the result of each request.

const (
	// failureHalfLife is the half-life of the evidence of failures. Upstreams that fail for a reason of their own
	// recover after some seconds, and this has to be noticed then.
	failureHalfLife = 2 * time.Second
	// slownessHalfLife is the same for slowness.
	slownessHalfLife = 2 * time.Second
	// unmeasuredAfter and unmeasuredFactor make an upstream that was not measured for long look faster than the
	// others, so that it is tried: at low load nothing else would show that it has recovered.
	unmeasuredAfter  = 6 * time.Second
	unmeasuredFactor = 0.6
	// slownessSampleWeight is the weight of the newest sample of slowness.
	slownessSampleWeight = 0.25
	// minBackoff and maxBackoff bound the backoff of an upstream that cannot be reached. The first is about the
	// time of a process restart; the second is how late its return may be noticed.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
)

type upstream struct {
	declared traffic.Upstream
	// entryStartedMillis is the start of the life that the last entry names, which may have ended.
	entryStartedMillis int64
	// replacedStartedMillis is the start of the life before, 0 if none is known.
	replacedStartedMillis int64
	// declaredAt is when this life became known, and crashedAt is when nothing listened there.
	declaredAt time.Time
	crashedAt  time.Time
	fence      int64
	version    int64
	resident   map[traffic.Adapter]Resident
	recent     recentAdapters
	idleSlots  int
	slotWait   time.Duration
	// classWaits are the waits for an adapter slot that the holder stated to classes of requests.
	classWaits classWaits
	// holderLoad is the load that the holder last reported, without this instance's own.
	holderLoad   Load
	holderLoadAt time.Time
	// reported is what this instance had in flight there when it last reported to the holder.
	reported Load
	// awaitingTurn is the tokens of the prompts that wait for their prefill turn, if this instance holds the upstream.
	awaitingTurn int
	// loads are the load times there, if its holder has reported them.
	loads loadTimes
	// preparing is how many requests of this instance wait for adapters there.
	preparing int

	attempts map[*Attempt]bool
	// own is the sum of the attempts, and peerLoad that of the other instances' loads; both without the adapters in
	// use.
	own      Load
	peerLoad Load
	// failures and successes are decaying counts of request results.
	failures  float64
	successes float64
	counted   time.Time
	// slow is the ratio of actual to expected response times.
	slow     float64
	measured time.Time
	// unreachableUntil is how long the holder's report counts that it cannot reach the upstream. servedAt is when
	// this instance last had a response from there.
	unreachableUntil time.Time
	servedAt         time.Time
	// dataAt is when this instance last received a part of a response from there.
	dataAt  time.Time
	cold    cold
	brittle brittleUpstream
	limited limitedUpstream
	// memory is what this instance may use, and heldMemory what all use if it holds the upstream.
	memory     ownMemory
	heldMemory heldMemory
	// stated is what the upstream has stated about itself, nil if nothing.
	stated *statement
	// indirect: this instance has lost its link there, and sends through another instance.
	indirect bool
	// retryAt is when an upstream that could not be reached is tried again.
	retryAt time.Time
	backoff time.Duration
	pace    upstreamPace
}

// Attempt is an attempt to run a request at an upstream.
type Attempt struct {
	pool     *Pool
	upstream *upstream
	query    Query
	began    time.Time
	// found is the load of the upstream before the request, and typical the time until its first event at that load
	// at an upstream of typical speed.
	found   Load
	typical time.Duration
	// isFresh: found is from a recent report of the holder.
	isFresh bool
	// stated is the load that the upstream stated in its response, zero if it stated none.
	stated   Load
	answered bool
	// statedPace is the pace that the upstream stated in its response, 0 if it stated none.
	statedPace float64
	// silent: the upstream has sent nothing for too long.
	silent bool
}

func newUpstream(now time.Time) *upstream {
	return &upstream{
		resident:   make(map[traffic.Adapter]Resident),
		attempts:   make(map[*Attempt]bool),
		slow:       1,
		declaredAt: now,
		counted:    now,
		measured:   now,
	}
}

// declaration returns nil for an upstream that is not declared.
func (u *upstream) declaration() *traffic.Upstream {
	if u == nil {
		return nil
	}
	return &u.declared
}

// Begin counts a request as in flight.
func (p *Pool) Begin(now time.Time, choice Choice, query Query) *Attempt {
	attempt := &Attempt{pool: p, query: query, began: now, upstream: p.upstreams[choice.Upstream.ID]}
	if u := attempt.upstream; u != nil {
		attempt.found = p.load(now, u)
		attempt.isFresh = !p.isLoadStale(now, u)
		attempt.typical = p.typicalTime(u, query, attempt.found)
		u.attempts[attempt] = true
		u.own = u.own.plus(attempt.load())
		p.beginMemory(choice.Memory.Ask)
		p.activate(u)
	}
	return attempt
}

// load is what the request adds to the load of its upstream. Its prompt counts until the first event.
func (a *Attempt) load() Load {
	load := Load{Running: 1, MemoryTokens: a.query.Tokens + a.query.Output}
	if !a.answered {
		load.PromptTokens = a.query.Tokens
	}
	return load
}

// RecordAnswer records events or the whole response, and reports whether it is the first call.
func (a *Attempt) RecordAnswer(now time.Time) (first bool) {
	u := a.upstream
	if u == nil {
		return false
	}
	u.dataAt = now
	a.silent = false
	if a.answered {
		return false
	}
	a.answered = true
	u.servedAt = now
	if u.attempts[a] {
		u.own.PromptTokens -= a.query.Tokens
	}
	took := now.Sub(a.began)
	pace := a.pool.recordPaceSample(now, a, took)
	a.pool.observe(a, took, pace)
	if a.typical <= 0 {
		return true
	}
	sample := float64(took) / float64(a.typical) / pace
	slow := u.slowness(now)
	u.slow = slow + slownessSampleWeight*(min(sample, maxSample)-slow)
	u.measured = now
	return true
}

// RecordSilence records that the upstream has sent nothing for too long.
func (a *Attempt) RecordSilence() { a.silent = true }

// isSilent reports whether the upstream has sent nothing for a time although a stream of this instance had begun there, or has
// been silent for too long to a request that still waits. Requests that just take long do not show it.
func (u *upstream) isSilent(now time.Time, limit time.Duration) bool {
	if now.Sub(u.dataAt) <= limit {
		return false
	}
	for attempt := range u.attempts {
		if attempt.answered || attempt.silent {
			return true
		}
	}
	return false
}

// maxSample limits one sample, so that a single stall does not make an upstream count as unusable.
const maxSample = 20

// RecordPause records whether a stream that has ended paused for too long.
func (a *Attempt) RecordPause(late bool) { a.pool.statsOf(a.query.Service).recordPause(late) }

// End is the result of a request.
type End string

// Results of a request.
const (
	// EndServed: a complete response.
	EndServed End = "served"
	// EndFailed: the response is a failure of the upstream, or is incomplete.
	EndFailed End = "failed"
	// EndUnreachable: no connection, or it broke without a response.
	EndUnreachable End = "unreachable"
	// EndRefused: the upstream did not run it, for lack of capacity.
	EndRefused End = "refused"
	// EndBackpressure: the upstream did not run it and has asked for a pause, which is kept instead of the refusal being
	// counted as half a failure.
	EndBackpressure End = "backpressure"
	// EndOther: the result says nothing about the upstream.
	EndOther End = "other"
)

// Finish records how a request ended.
func (p *Pool) Finish(now time.Time, attempt *Attempt, end End) {
	u := attempt.upstream
	if u == nil {
		return
	}
	if u.attempts[attempt] {
		delete(u.attempts, attempt)
		u.own = u.own.minus(attempt.load())
	}
	switch end {
	case EndServed:
		u.servedAt = now
		u.countResult(now, 0)
		u.backoff = 0
	case EndFailed:
		u.countResult(now, 1)
	case EndRefused:
		u.dataAt = now
		u.countResult(now, refusalWeight)
		p.recordRefusal(now, attempt)
		p.recordRejection(now, u)
	case EndBackpressure:
		p.recordRefusal(now, attempt)
		p.recordRejection(now, u)
	case EndUnreachable:
		u.countResult(now, 1)
		u.backoff = min(max(2*u.backoff, minBackoff), maxBackoff)
		u.retryAt = now.Add(u.backoff)
	case EndOther:
	}
}

// SetIndirect records whether requests to an upstream are sent through another instance.
func (p *Pool) SetIndirect(id string, indirect bool) {
	if u := p.upstreams[id]; u != nil {
		u.indirect = indirect
	}
}

// AnsweredRecently reports whether this instance had a response from an upstream a moment ago.
func (p *Pool) AnsweredRecently(now time.Time, id string) bool {
	u := p.upstreams[id]
	return u != nil && now.Sub(u.servedAt) <= reachableFor
}

// RecordCrash records that nothing listens at an upstream any more. It says nothing of another life of the upstream.
func (p *Pool) RecordCrash(now time.Time, upstream traffic.Upstream) {
	if u := p.upstreams[upstream.ID]; u != nil && u.declared.Life() == upstream.Life() {
		u.backoff = min(max(2*u.backoff, minBackoff), maxBackoff)
		u.retryAt = now.Add(u.backoff)
		u.crashedAt = now
	}
}

// refusalWeight is the weight of a refusal for lack of capacity. It says less than a failure; the load has to be
// considered too.
const refusalWeight = 0.5

// Preparation is a request of this instance that waits for an adapter at an upstream.
type Preparation struct {
	upstream *upstream
	tokens   int
}

// Prepare counts a request as waiting for an adapter at an upstream, and its prompt as one that is sent there as
// soon as the adapter is loaded, until Done.
//
// It is needed for popular adapters. All requests that wait for one are sent at the moment when it is loaded.
// Without this count the engine would look idle to each of them, and to requests that choose it meanwhile.
func (p *Pool) Prepare(id string, tokens int) Preparation {
	u := p.upstreams[id]
	if u != nil {
		u.preparing++
		u.own.AwaitingTokens += tokens
		p.activate(u)
	}
	return Preparation{upstream: u, tokens: tokens}
}

// Done ends the wait of the request.
func (w Preparation) Done() {
	if w.upstream != nil {
		w.upstream.preparing--
		w.upstream.own.AwaitingTokens -= w.tokens
	}
}

// RecordMissingAdapter records that an upstream lacks an adapter that was assumed to be loaded.
func (p *Pool) RecordMissingAdapter(id string, adapter traffic.Adapter) {
	if u := p.upstreams[id]; u != nil {
		delete(u.resident, adapter)
	}
}

// RecordLoadedAdapter records that the holder has just seen an adapter loaded.
func (p *Pool) RecordLoadedAdapter(id string, adapter traffic.Adapter, version int64) {
	if u := p.upstreams[id]; u != nil {
		u.resident[adapter] = Resident{Adapter: adapter, Version: version}
		u.recent.add(u.resident[adapter])
	}
}

// ---------------------------------------------------------------------------------------------

func (u *upstream) setResident(list []Resident) {
	if u.hasExactly(list) {
		return // the common case: holders repeat the whole list
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
	for attempt := range u.attempts {
		if attempt.query.Adapter.Name != "" {
			adapters = append(adapters, attempt.query.Adapter)
		}
	}
	return adapters
}

func (u *upstream) countResult(now time.Time, failure float64) {
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

// failureRate is the fraction of requests that fail, from 0 to 1. The prior of priorSuccesses keeps a single failure
// from making an upstream count as one that always fails.
func (u *upstream) failureRate(now time.Time) float64 {
	u.decay(now)
	return u.failures / (u.failures + u.successes + priorSuccesses)
}

const priorSuccesses = 2

// slowness is the ratio of actual to typical response times. It decays to 1 without recent samples.
func (u *upstream) slowness(now time.Time) float64 {
	return 1 + (u.slow-1)*math.Exp2(-now.Sub(u.measured).Seconds()/slownessHalfLife.Seconds())
}

// explorationFactor is the factor by which an upstream without recent measurements is preferred, so that a recovery is
// noticed.
func (u *upstream) explorationFactor(now time.Time) float64 {
	part := min(1, now.Sub(u.measured).Seconds()/unmeasuredAfter.Seconds())
	return 1 - (1-unmeasuredFactor)*part
}
