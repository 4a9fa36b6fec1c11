package serve

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/admission/contention"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// placement.go chooses the upstream for the next attempt and prepares it: the adapter is loaded, and the prompt has its
// prefill turn.

// maxQueries bounds the holders that are queried for one choice: each query costs a request some milliseconds, and
// after a few upstreams the best of them is good enough.
const maxQueries = 3

// chooseWithFreshLoad chooses an upstream, and queries its holder if the reported load there is too old.
//
// This matters for popular adapters. Load reports between instances are a quarter of a second old in a small fleet and
// some seconds old in a large one. All instances would send to the upstream that looked best at that time, where
// prompts queue while the next upstream is idle.
func (j *job) chooseWithFreshLoad(ctx context.Context) (choice pool.Choice, query pool.Query, err error) {
	var queried []string
	for len(queried) < maxQueries {
		choice, query, err = j.choose(nil)
		known := !choice.LoadStale || slices.Contains(queried, choice.Upstream.ID)
		if err != nil || known {
			return choice, query, err
		}
		j.handler.Fleet.QueryHolder(ctx, choice.Upstream.ID)
		queried = append(queried, choice.Upstream.ID)
	}
	// An upstream that was not queried would look idle just because its load is stale, so choose among the queried
	// ones, unless none of them has an adapter slot in time.
	choice, query, err = j.choose(queried)
	if errors.Is(err, pool.ErrNoSlot) {
		return j.choose(nil)
	}
	return choice, query, err
}

// choose picks an upstream, from the candidates if any are given. While an attempt is in flight at a silent upstream, it picks
// none that is silent as well.
func (j *job) choose(candidates []string) (choice pool.Choice, query pool.Query, err error) {
	newest, olderUntil := j.handler.Fleet.NewestVersion(j.call.Generation.Adapter)
	query = pool.Query{
		Service:    j.service,
		Adapter:    j.call.Generation.Adapter,
		Tokens:     j.call.Generation.PromptTokens,
		Output:     j.call.Generation.OutputTokens,
		Software:   j.software,
		Exclude:    slices.Concat(j.tried, j.declined, j.inFlight),
		Candidates: candidates,
		Alone:      j.alone,

		OnTime:    time.Until(j.startedAt.Add(j.route.Objective)),
		Objective: j.route.Objective,

		Newest:     newest,
		OlderUntil: olderUntil,
	}
	query.Slots = j.slotBounds()
	if len(j.inFlight) > 0 {
		query.MaxSilence = alternativeSilence
	}
	j.handler.State.WithLock(func(state *SharedState) { choice, err = state.Pool.Choose(time.Now(), query) })
	query.Version = choice.Version
	return choice, query, err
}

// shedLoad refuses a request that would be late because of the requests queued before it.
func (j *job) shedLoad(choice pool.Choice, query pool.Query) error {
	if j.competes {
		return j.shedByClass(choice, query, contention.Fits)
	}
	budget := j.timeBudget()
	var retryAfter time.Duration
	refused := false
	j.handler.State.WithLock(func(state *SharedState) {
		retryAfter, refused = state.Pool.Refuse(time.Now(), query, choice, budget)
		if refused && j.handler.Admission != nil {
			j.handler.Admission.RecordRefusal(time.Now(), j.service)
		}
	})
	if !refused {
		return nil
	}
	j.step("refused").Str("Upstream", choice.Upstream.ID).Int("Running", choice.Running).Int("Waiting", choice.Waiting).
		Int64("ExpectedMillis", choice.Expected.Milliseconds()).Int64("IdleMillis", choice.ExpectedIdle.Milliseconds()).
		Int64("WaitMillis", choice.SlotWait.Milliseconds()).Int64("RetryAfterMillis", retryAfter.Milliseconds()).Msg("Decision")
	return refusal.New(refusal.Busy, "the service has more to do than fits").WithRetryAfter(retryAfter)
}

// ensureReady has the adapter loaded at the chosen upstream, waits for the prefill turn if prompts take turns there, and
// has the request admitted if the upstream is cold, brittle or limited, or its memory is bounded.
func (j *job) ensureReady(ctx context.Context, chosen *placement) bool {
	choice, query := chosen.choice, chosen.query
	j.handler.State.WithLock(func(state *SharedState) {
		chosen.inTurn = query.Adapter.Model != "" && state.Pool.PromptsTakeTurns(query.Service)
	})
	needsHolder := !choice.Loaded || chosen.inTurn || choice.Cold || choice.Brittle || choice.Limited || choice.MightNotFit
	if !needsHolder {
		return true
	}
	if choice.MightNotFit {
		j.askMemory(chosen)
	}
	ready := j.prepare(ctx, chosen)
	if !ready {
		j.giveUpMemory(chosen.choice)
	}
	return ready
}

// prepare asks the holder of the chosen upstream for the adapter, and for a prefill turn if prompts take turns.
func (j *job) prepare(ctx context.Context, chosen *placement) bool {
	choice, query := chosen.choice, chosen.query
	tokens := 0
	if chosen.inTurn {
		tokens = query.Tokens
	}
	start := time.Now()
	var limits []pool.LimitStatement
	var demanded float64
	j.handler.State.WithLock(func(state *SharedState) {
		demanded = state.demandFor(start, j.demandKey())
		limits = state.Pool.Limits(start, func(upstream string) bool { return upstream == choice.Upstream.ID })
	})
	waiting := j.beginPreparing(*chosen)
	ctx, cancel := j.boundAnswer(ctx, choice)
	defer cancel()
	prepared := j.handler.Fleet.Prepare(ctx, mesh.PrepareRequest{
		Upstream: choice.Upstream.ID,
		Adapter:  query.Adapter,
		Version:  query.Version,
		MaxWait:  j.slotTimeout(choice),
		OnTime:   j.onTimeFor(choice),
		Priority: j.priority,
		Tokens:   tokens,
		Limits:   limits,
		Demand:   demanded,

		OverShare:    j.overShare,
		MemoryTokens: choice.Memory.Tokens,
		Memory:       choice.Memory,
	})
	j.countSlotRequest(choice, prepared, time.Since(start))
	j.endPreparing(choice, waiting)
	_, ok := prepared.(mesh.Loaded)
	j.step("prepared").Str("Upstream", choice.Upstream.ID).Str("Adapter", query.Adapter.String()).
		Bool("Loaded", ok).Int64("WaitMillis", choice.SlotWait.Milliseconds()).Int64("TookMillis", time.Since(start).Milliseconds()).Msg("Decision")
	if busy, refused := prepared.(mesh.Busy); refused {
		j.recordBusy(choice, busy)
	}
	chosen.recordVersion(prepared)
	return j.confirm(choice, query, prepared)
}

// confirm records what the holder of the chosen upstream has answered, and reports whether the request may be sent
// there.
func (j *job) confirm(choice pool.Choice, query pool.Query, prepared mesh.PrepareResult) (valid bool) {
	loaded, ok := prepared.(mesh.Loaded)
	_, notHeld := prepared.(mesh.NotHolder)
	if !ok && (!notHeld || !choice.Loaded || choice.Cold || choice.Brittle) { // without a holder no prefill turns are granted
		return false
	}
	j.handler.State.WithLock(func(state *SharedState) {
		if notHeld && choice.Limited && !state.Pool.AdmitLimitedShare(time.Now(), choice.Upstream.ID) {
			return
		}
		if ok {
			state.Pool.RecordMemoryGrant(time.Now(), choice.Memory.Ask)
		}
		if !state.Pool.MayUseMemory(time.Now(), choice, query) {
			return
		}
		if ok && query.Adapter.Model != "" {
			state.Pool.RecordLoadedAdapter(choice.Upstream.ID, query.Adapter, loaded.Version)
		}
		valid = state.Pool.IsChoiceValid(time.Now(), choice.Upstream)
	})
	return valid
}

// beginPreparing counts the prompt as in flight before it is sent, and reports it to the holder. If prompts take turns,
// the holder counts it itself.
func (j *job) beginPreparing(chosen placement) (waiting pool.Preparation) {
	upstream := chosen.choice.Upstream.ID
	tokens := chosen.query.Tokens
	if chosen.inTurn {
		tokens = 0
	}
	j.handler.State.WithLock(func(state *SharedState) { waiting = state.Pool.Prepare(upstream, tokens) })
	if tokens > 0 {
		j.handler.Fleet.NotifyHolder(upstream)
	}
	return waiting
}

// endPreparing reverses beginPreparing.
func (j *job) endPreparing(choice pool.Choice, waiting pool.Preparation) {
	j.handler.State.WithLock(func(*SharedState) { waiting.Done() })
	j.handler.Fleet.NotifyHolder(choice.Upstream.ID)
}

// recordBusy records the wait that a holder stated when its upstream had no free adapter slot or prefill turn.
func (j *job) recordBusy(choice pool.Choice, busy mesh.Busy) {
	if busy.RetryAfter <= 0 {
		return
	}
	j.noteWait(busy.RetryAfter)
	j.handler.State.WithLock(func(state *SharedState) {
		switch {
		case choice.Limited:
			state.Pool.RecordLimitRefusal(time.Now(), choice.Upstream.ID, busy.RetryAfter)
		case choice.Brittle:
			state.Pool.RecordBrittleRefusal(time.Now(), choice.Upstream.ID, busy.RetryAfter)
		case choice.Cold:
			state.Pool.RecordColdRefusal(time.Now(), choice.Upstream.ID, busy.RetryAfter)
		case !choice.Loaded:
			j.recordSlotWait(state.Pool, choice, busy.RetryAfter)
		case choice.MightNotFit:
			state.Pool.RecordMemoryRefusal(time.Now(), choice.Upstream.ID, busy.RetryAfter)
		}
	})
}

// onTimeFor returns how long the request can wait for its adapter and its prefill turn and still be on time. A request
// that is late because of its own length may wait as long as other requests may be queued.
func (j *job) onTimeFor(choice pool.Choice) time.Duration {
	elapsed := time.Since(j.startedAt)
	return max(j.route.Objective-choice.ExpectedIdle, j.route.Objective/2) - elapsed
}

// holderTimeout returns how long the holder may take to answer, since it may be frozen. If the adapter is loaded, the
// request can continue without the holder.
func (j *job) holderTimeout(choice pool.Choice) time.Duration {
	remaining := time.Until(j.deadline)
	if choice.Loaded {
		return min(remaining, j.onTimeFor(choice)+turnGrace)
	}
	return remaining
}

// turnGrace is how much longer than its time to be on time a request may wait for a prefill turn.
const turnGrace = 200 * time.Millisecond
