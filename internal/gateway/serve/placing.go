package serve

import (
	"context"
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// placing.go finds the upstream for the next send, and gets it ready: the adapter loaded, and the prompt's turn come.

// mostAsked bounds the holders that are asked for one choice: each costs a request some milliseconds, and after
// a few upstreams the best of them is good enough.
const mostAsked = 3

// chooseKnowing picks an upstream, and asks its holder where the load there was heard too long ago.
//
// Made for popular adapters. The instances hear of each other's requests a quarter of a second late in a small fleet
// and some seconds late in a large one. Each of them would send to the upstream that looked best then, all of them to
// the same one, where prompts wait for each other while the next upstream is idle.
func (j *job) chooseKnowing(ctx context.Context) (choice pool.Choice, query pool.Query, err error) {
	var asked []string
	for len(asked) < mostAsked {
		choice, query, err = j.choose(nil)
		known := !choice.LoadStale || slices.Contains(asked, choice.Upstream.ID)
		if err != nil || known {
			return choice, query, err
		}
		j.handler.Fleet.QueryHolder(ctx, choice.Upstream.ID)
		asked = append(asked, choice.Upstream.ID)
	}
	// The next one would look idle just for not having been asked.
	return j.choose(asked)
}

// choose picks an upstream, among some if any are given.
func (j *job) choose(among []string) (choice pool.Choice, query pool.Query, err error) {
	newest, required := j.handler.Fleet.NewestVersion(j.call.Generation.Adapter)
	query = pool.Query{
		Service:    j.service,
		Adapter:    j.call.Generation.Adapter,
		Tokens:     j.call.Generation.PromptTokens,
		Output:     j.call.Generation.OutputTokens,
		Exclude:    j.tried,
		Candidates: among,
		Alone:      j.alone,

		OnTime:    time.Until(j.began.Add(j.route.Objective)),
		Objective: j.route.Objective,
	}
	if required {
		query.Version = newest
	}
	j.handler.State.WithLock(func(a *SharedState) { choice, err = a.Pool.Choose(time.Now(), query) })
	return choice, query, err
}

// refuseInOverload refuses a request that would be late on account of what waits before it.
func (j *job) refuseInOverload(choice pool.Choice, query pool.Query) error {
	patience := pool.TimeBudget{
		OnTime:    time.Until(j.began.Add(j.route.Objective)),
		Remaining: time.Until(j.deadline),
		Objective: j.route.Objective,
	}
	var retryAfter time.Duration
	refused := false
	j.handler.State.WithLock(func(a *SharedState) {
		retryAfter, refused = a.Pool.Refuse(time.Now(), query, choice, patience)
	})
	if !refused {
		return nil
	}
	j.step("refused").Str("Upstream", choice.Upstream.ID).Int("Running", choice.Running).Int("Waiting", choice.Waiting).
		Int64("ExpectedMillis", choice.Expected.Milliseconds()).Int64("IdleMillis", choice.ExpectedIdle.Milliseconds()).
		Int64("WaitMillis", choice.SlotWait.Milliseconds()).Int64("RetryAfterMillis", retryAfter.Milliseconds()).Msg("Decision")
	return refusal.New(refusal.Busy, "the service has more to do than fits").WithRetryAfter(retryAfter)
}

// ready has the adapter loaded at the chosen upstream, and waits for the prompt's turn where prompts take turns.
func (j *job) ready(ctx context.Context, choice *pool.Choice, query pool.Query) bool {
	j.handler.State.WithLock(func(a *SharedState) { j.inTurn = query.Adapter.Model != "" && a.Pool.PromptsTakeTurns(query.Service) })
	tokens := 0
	if j.inTurn {
		tokens = query.Tokens
	}
	return choice.Loaded && !j.inTurn && !choice.Cold || j.prepare(ctx, choice, query, tokens)
}

// prepare asks the holder of the chosen upstream for the adapter, and for the turn of a prompt if it has any tokens.
func (j *job) prepare(ctx context.Context, choice *pool.Choice, query pool.Query, tokens int) bool {
	began := time.Now()
	waiting := j.beginPreparing(*choice, query)
	prepared := j.handler.Fleet.Prepare(ctx, mesh.PrepareRequest{
		Upstream: choice.Upstream.ID,
		Adapter:  query.Adapter,
		Version:  query.Version,
		MaxWait:  j.patienceFor(*choice),
		OnTime:   j.onTimeFor(*choice),
		Priority: j.priority,
		Tokens:   tokens,
	})
	j.endPreparing(*choice, waiting)
	loaded, ok := prepared.(mesh.Loaded)
	j.step("prepared").Str("Upstream", choice.Upstream.ID).Str("Adapter", query.Adapter.String()).
		Bool("Loaded", ok).Int64("WaitMillis", choice.SlotWait.Milliseconds()).Int64("TookMillis", time.Since(began).Milliseconds()).Msg("Decision")
	if busy, refused := prepared.(mesh.Busy); refused {
		j.noteBusy(*choice, busy)
	}
	_, unheld := prepared.(mesh.NotHolder)
	if !ok && (!unheld || !choice.Loaded || choice.Cold) { // without a holder nobody keeps the turns
		return false
	}
	takes := false
	j.handler.State.WithLock(func(a *SharedState) {
		if ok && query.Adapter.Model != "" {
			a.Pool.RecordLoadedAdapter(choice.Upstream.ID, query.Adapter, loaded.Version)
		}
		takes = a.Pool.IsChoiceValid(choice.Upstream)
	})
	return takes
}

// beginPreparing lets others know that the prompt is going to be sent. Where prompts take turns the holder counts it
// itself.
func (j *job) beginPreparing(choice pool.Choice, query pool.Query) (waiting pool.Preparation) {
	tokens := query.Tokens
	if j.inTurn {
		tokens = 0
	}
	j.handler.State.WithLock(func(a *SharedState) { waiting = a.Pool.Prepare(choice.Upstream.ID, tokens) })
	if tokens > 0 {
		j.handler.Fleet.NotifyHolder(choice.Upstream.ID)
	}
	return waiting
}

// endPreparing ends what beginPreparing began.
func (j *job) endPreparing(choice pool.Choice, waiting pool.Preparation) {
	j.handler.State.WithLock(func(*SharedState) { waiting.Done() })
	j.handler.Fleet.NotifyHolder(choice.Upstream.ID)
}

// noteBusy takes note of when the holder of an upstream that has no place or turn expects one.
func (j *job) noteBusy(choice pool.Choice, busy mesh.Busy) {
	if busy.RetryAfter <= 0 {
		return
	}
	if j.soonest == 0 || busy.RetryAfter < j.soonest {
		j.soonest = busy.RetryAfter
	}
	j.handler.State.WithLock(func(a *SharedState) {
		switch {
		case choice.Cold:
			a.Pool.RecordColdRefusal(time.Now(), choice.Upstream.ID, busy.RetryAfter)
		case !choice.Loaded:
			a.Pool.RecordSlotWait(choice.Upstream.ID, busy.RetryAfter)
		}
	})
}

// onTimeFor is how long the request can wait for its adapter and its turn and still be on time. One that is late for
// its own length can wait as long as others may be queued for.
func (j *job) onTimeFor(choice pool.Choice) time.Duration {
	elapsed := time.Since(j.began)
	return max(j.route.Objective-choice.ExpectedIdle, j.route.Objective/2) - elapsed
}

// patienceFor is how long the holder may take to answer. It may be frozen; where the adapter is loaded, the request can
// do without it.
func (j *job) patienceFor(choice pool.Choice) time.Duration {
	left := time.Until(j.deadline)
	if choice.Loaded {
		return min(left, j.onTimeFor(choice)+mostForTurn)
	}
	return left
}

// mostForTurn is what the wait for a turn may take beyond the time in which the request can be on time.
const mostForTurn = 200 * time.Millisecond
