package pipeline

import (
	"context"
	"math/rand/v2"
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/upstream/service"
)

// repeatable_call.go runs a call that may be repeated at the addresses of its service, in random order. An address that
// does not respond for a while may be lost or slow, and only what comes next shows which: the call goes on there while the
// next address is tried beside it, and the first response counts.

const (
	// silenceTimeout is how long an address may take before the next one is tried beside it.
	silenceTimeout = 10 * time.Second
	// repeatableTimeout bounds a call at all its addresses. It is as long as most requests may take, and bounds the
	// requests that a lost service keeps in flight here.
	repeatableTimeout = 30 * time.Second
)

type repeatableCall struct {
	pipeline *Pipeline
	identity api.Identity
	call     service.Call
	deadline time.Time
	// waiting are the addresses that were not tried.
	waiting []string
	running int
	// outcomes has room for all attempts, so that those which nobody waits for end.
	outcomes chan service.Outcome
	// refused is the response if no address responds.
	refused refusal.Refusal
}

func (p *Pipeline) callRepeatable(
	ctx context.Context, identity api.Identity, target resource.Service, call service.Call,
) (response service.Response, err error) {
	ctx, done := p.RunningRequests.add(ctx, identity)
	defer done()
	p.State.WithLock(func(state *SharedState) {
		state.Retries.CountFirstTry()
	})
	r := &repeatableCall{
		pipeline: p, identity: identity, call: call, deadline: time.Now().Add(repeatableTimeout),
		outcomes: make(chan service.Outcome, len(target.Addresses)),
		refused:  refusal.New(refusal.ServiceUnavailable, "no address of the service answers").WithRetryAfter(time.Second),
	}
	for _, index := range rand.Perm(len(target.Addresses)) {
		r.waiting = append(r.waiting, target.Addresses[index])
	}
	return r.run(ctx)
}

func (r *repeatableCall) run(ctx context.Context) (response service.Response, err error) {
	if err := r.checkIdentity(); err != nil {
		return service.Response{}, err
	}
	r.start(ctx)
	silent := time.NewTicker(silenceTimeout)
	defer silent.Stop()
	for r.running > 0 {
		select {
		case outcome := <-r.outcomes:
			r.running--
			if ran, ok := outcome.(service.Ran); ok {
				return ran.Response, nil
			}
			if _, unknown := outcome.(service.Unknown); unknown {
				r.refused = r.refused.WithRun(refusal.Unknown)
			}
		case <-silent.C:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return service.Response{}, contextRefusal(ctx, refusal.Unknown)
		}
		if err := r.startNext(ctx); err != nil && r.running == 0 {
			return service.Response{}, err
		}
	}
	return service.Response{}, r.refused
}

// startNext tries the next address, if there is one and a retry is left.
func (r *repeatableCall) startNext(ctx context.Context) error {
	if len(r.waiting) == 0 || !time.Now().Before(r.deadline) {
		return nil
	}
	if err := r.checkIdentity(); err != nil || !r.pipeline.allowRetry() {
		return err
	}
	r.start(ctx)
	return nil
}

func (r *repeatableCall) checkIdentity() error {
	if _, err := r.pipeline.checkIdentity(r.identity); err != nil {
		return refusal.From(err).WithRun(r.refused.Run())
	}
	return nil
}

func (r *repeatableCall) start(ctx context.Context) {
	attempt := repeatableAttempt{call: r, address: r.waiting[0]}
	r.waiting = r.waiting[1:]
	r.running++
	go attempt.run(ctx)
}

// repeatableAttempt is a call at one address.
type repeatableAttempt struct {
	call    *repeatableCall
	address string
}

func (a repeatableAttempt) run(ctx context.Context) {
	call := a.call.call
	call.ResponseTimeout = time.Until(a.call.deadline)
	a.call.outcomes <- a.call.pipeline.Services.Do(ctx, a.address, call)
}
