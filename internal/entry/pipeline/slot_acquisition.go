package pipeline

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/route"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

// This file acquires a batch slot for a request: the router chooses an upstream, and the upstream's holder grants
// a pin on it.

const (
	// acquireInterval is the delay before the next attempt to acquire a batch slot while holders change or no upstream
	// has been reported yet. Heartbeats report upstreams a few times a second.
	acquireInterval = 50 * time.Millisecond
	// maxTransit limits the age of a grant beyond the time that the request waited at the holder. An older grant
	// was delayed by a paused process, and the holder may have dropped the pin since.
	maxTransit = 2 * time.Second
	// releaseTimeout bounds the call that releases a pin at a holder; a holder that misses the call detects the
	// end of the pin by itself later.
	releaseTimeout = 2 * time.Second
)

// slotGrant is a pin on an upstream and the member that granted it.
type slotGrant struct {
	upstream  resource.Upstream
	grantor   head.Member
	pin       holder.Pin
	grantedAt time.Time
	waited    time.Duration
}

// acquireSlot requests a batch slot until one is granted or the request's deadline is reached.
func (p *Pipeline) acquireSlot(ctx context.Context, run *completionRun) (*slotGrant, error) {
	var lastErr refusal.Refusal
	for {
		grant, retry, err := p.tryAcquire(ctx, run)
		if err == nil {
			return grant, nil
		}
		if ctx.Err() != nil {
			return nil, contextRefusal(ctx, refusal.NotRun)
		}
		lastErr = refusal.From(err)
		if !retry || time.Until(run.deadline) < acquireInterval {
			return nil, lastErr
		}
		select {
		case <-time.After(acquireInterval):
		case <-ctx.Done():
		}
	}
}

// tryAcquire requests a batch slot from the holder of one upstream. It returns whether another attempt may succeed.
func (p *Pipeline) tryAcquire(ctx context.Context, run *completionRun) (grant *slotGrant, retry bool, err error) {
	if _, err := p.checkIdentity(run.identity); err != nil {
		return nil, false, err
	}
	upstream, err := p.chooseUpstream(run)
	if err != nil {
		run.excluded = nil // all upstreams were tried; those whose holder changed may accept the request now
		if run.lastRefusal != nil {
			return nil, run.lastRefusal.Reason == holder.ReasonNotHolder, placementRefusal(*run.lastRefusal)
		}
		return nil, true, refusal.New(refusal.Busy, "no upstream takes work").WithRetryAfter(time.Second)
	}
	placement, grantor, err := p.requestSlot(ctx, run, upstream)
	if err != nil {
		run.excluded = append(run.excluded, upstream.Meta.Name)
		return nil, true, refusal.New(refusal.Busy, "the upstream's holder does not answer").WithRetryAfter(time.Second)
	}
	switch reply := placement.(type) {
	case peer.Granted:
		return p.acceptGrant(ctx, run, upstream, grantor, reply)
	case peer.Refused:
		run.lastRefusal = &reply
		if reply.Reason != holder.ReasonNotHolder {
			run.excluded = append(run.excluded, upstream.Meta.Name)
		}
		return nil, true, placementRefusal(reply)
	}
	return nil, false, errors.New("pipeline: unknown placement")
}

func (p *Pipeline) chooseUpstream(run *completionRun) (upstream resource.Upstream, err error) {
	var choice route.Choice
	p.State.WithLock(func(state *SharedState) {
		choice, err = state.Router.Choose(time.Now(), route.Query{
			Model:     run.model,
			BaseModel: run.baseModel,
			Cost:      run.cost,
			Deadline:  run.deadline,
			Exclude:   run.excluded,
		})
	})
	if err != nil {
		return resource.Upstream{}, err
	}
	upstream, found := p.Current().Configuration.Upstream(choice.Upstream)
	if !found {
		return resource.Upstream{}, route.ErrNoUpstream
	}
	return upstream, nil
}

// requestSlot requests a batch slot from the upstream's holder and waits in its queue.
func (p *Pipeline) requestSlot(
	ctx context.Context, run *completionRun, upstream resource.Upstream,
) (placement peer.Placement, grantor head.Member, err error) {
	current := p.Current().Head
	grantor, found := membership.Holder(current, upstream.Meta.Name, upstream.DataCentre)
	if !found {
		return notHolderRefusal, grantor, nil
	}
	run.attempts++
	ctx, cancel := context.WithDeadline(ctx, run.deadline)
	defer cancel()
	run.requestedAt = time.Now()
	placement, err = p.Fleet.Place(ctx, grantor, peer.PlaceRequest{
		Upstream: upstream.Meta.Name,
		Epoch:    current.Epoch,
		Request: holder.Request{
			ID:          run.dispatchID(),
			Instance:    p.Self.Name,
			Incarnation: p.Self.Incarnation,
			Workspace:   run.identity.Workspace,
			Weight:      run.weight,
			Model:       run.model,
			Cost:        run.cost,
			Deadline:    run.deadline,
			Alone:       run.runAlone,
			Apart:       run.runApart,
		},
	})
	return placement, grantor, err
}

var notHolderRefusal = peer.Refused{Reason: holder.ReasonNotHolder, RetryAfter: time.Second}

// acceptGrant records a granted pin before it is used. It releases the pin instead if the grant took too long, if
// the grantor no longer holds the upstream, or if the request's context has ended.
func (p *Pipeline) acceptGrant(
	ctx context.Context, run *completionRun, upstream resource.Upstream, grantor head.Member, granted peer.Granted,
) (grant *slotGrant, retry bool, err error) {
	grant = &slotGrant{
		upstream:  upstream,
		grantor:   grantor,
		grantedAt: time.Now(),
		waited:    granted.WaitedLoad + granted.WaitedQueue,
		pin: holder.Pin{
			ID:          granted.Pin,
			RequestID:   run.dispatchID(),
			Instance:    p.Self.Name,
			Incarnation: p.Self.Incarnation,
			Workspace:   run.identity.Workspace,
			Model:       run.model,
		},
	}
	transit := time.Since(run.requestedAt) - grant.waited
	if transit > maxTransit || !p.Pins.add(upstream.Meta.Name, upstream.DataCentre, grantor, grant.pin) {
		p.release(grant, holder.Released{})
		return nil, true, placementRefusal(notHolderRefusal)
	}
	if ctx.Err() != nil {
		p.release(grant, holder.Released{})
		return nil, false, contextRefusal(ctx, refusal.NotRun)
	}
	run.waitedLoad += granted.WaitedLoad
	run.waitedQueue += granted.WaitedQueue
	return grant, false, nil
}

// cancelInterval is the delay between two attempts to cancel a request that may still run, and cancelTimeout limits
// the time for all of them. An engine that is cut off ends an unread stream by itself after about ten seconds.
// After cancelTimeout the pin is released, so that a lost upstream does not occupy its batch slots for ever.
const (
	cancelInterval = 500 * time.Millisecond
	cancelTimeout  = 30 * time.Second
)

// mayStillRun reports whether the engine may still run the request after this instance has abandoned it.
func mayStillRun(outcome engine.Outcome) bool {
	switch o := outcome.(type) {
	case engine.Failed:
		return !o.StopConfirmed && !o.EngineLost
	case engine.Unknown:
		return !o.StopConfirmed && !o.EngineLost
	case engine.Cancelled:
		return !o.StopConfirmed
	case engine.WrongModel:
		return !o.StopConfirmed
	}
	return false
}

// cancelAndRelease cancels a request that the engine may still run, and releases its pin only afterwards. If the
// pin were released immediately, the adapter version could be evicted while it is in use, and the batch slot could
// be granted to another request, which the engine would refuse as full.
func (p *Pipeline) cancelAndRelease(dispatchID string, grant *slotGrant, released holder.Released) {
	defer p.release(grant, released)
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	for p.Engine(grant.upstream.Address).Cancel(ctx, dispatchID) != nil {
		select {
		case <-time.After(cancelInterval):
		case <-ctx.Done():
			return
		}
	}
}

// release removes a pin from this instance and releases it at the holder, in the background. It calls both the
// member that granted the pin and the current holder, which may have the pin from this instance's report.
func (p *Pipeline) release(grant *slotGrant, released holder.Released) {
	p.Pins.remove(grant.pin.ID)
	released.Pin = grant.pin.ID
	request := peer.ReleaseRequest{
		Upstream:    grant.upstream.Meta.Name,
		Instance:    p.Self.Name,
		Incarnation: p.Self.Incarnation,
		Released:    released,
	}
	recipients := []head.Member{grant.grantor}
	current, found := membership.Holder(p.Current().Head, grant.upstream.Meta.Name, grant.upstream.DataCentre)
	if found && !slices.Contains(recipients, current) {
		recipients = append(recipients, current)
	}
	for _, member := range recipients {
		go p.sendRelease(member, request)
	}
}

func (p *Pipeline) sendRelease(member head.Member, request peer.ReleaseRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := p.Fleet.Release(ctx, member, request); err != nil {
		p.Log.Debug().Str("Upstream", request.Upstream).Err(err).Msg("ReleaseNotSent")
	}
}
