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

// placing.go finds a request its place: the route names an upstream, and the upstream's holder grants
// a pin on it.

const (
	// tryAgain is the pause before a place is asked for again while the holders change or nobody has
	// told anything yet. Heartbeats bring news a few times a second.
	tryAgain = 50 * time.Millisecond
	// longestTransit is how much longer a grant may take than the request waited at the holder. A grant
	// that is older was on its way through a paused process: the holder may have given up the pin.
	longestTransit = 2 * time.Second
	// releaseWithin bounds telling a holder that a pin has ended; the holder finds out by itself later.
	releaseWithin = 2 * time.Second
)

// place is a granted pin and where it is.
type place struct {
	upstream resource.Upstream
	granter  head.Member
	pin      holder.Pin
	granted  time.Time
	waited   time.Duration
}

// findPlace asks for a place until one is granted, or until the request's deadline.
func (p *Pipeline) findPlace(ctx context.Context, run *completionRun) (*place, error) {
	var last refusal.Refusal
	for {
		found, again, err := p.tryPlace(ctx, run)
		if err == nil {
			return found, nil
		}
		if ctx.Err() != nil {
			return nil, ended(ctx, refusal.NotRun)
		}
		last = refusal.From(err)
		if !again || time.Until(run.deadline) < tryAgain {
			return nil, last
		}
		select {
		case <-time.After(tryAgain):
		case <-ctx.Done():
		}
	}
}

// tryPlace asks the holder of one upstream. Again tells whether it makes sense to go on.
func (p *Pipeline) tryPlace(ctx context.Context, run *completionRun) (found *place, again bool, err error) {
	if _, err := p.stillServed(run.identity); err != nil {
		return nil, false, err
	}
	upstream, err := p.choose(run)
	if err != nil {
		run.exclude = nil // all were tried; those that only changed their holder may take it now
		if run.refused != nil {
			return nil, run.refused.Reason == holder.ReasonNotHolder, reasonRefusal(*run.refused)
		}
		return nil, true, refusal.New(refusal.Busy, "no upstream takes work").WithRetryAfter(time.Second)
	}
	placement, granter, err := p.askHolder(ctx, run, upstream)
	if err != nil {
		run.exclude = append(run.exclude, upstream.Meta.Name)
		return nil, true, refusal.New(refusal.Busy, "the upstream's holder does not answer").WithRetryAfter(time.Second)
	}
	switch answer := placement.(type) {
	case peer.Granted:
		return p.take(ctx, run, upstream, granter, answer)
	case peer.Refused:
		run.refused = &answer
		if answer.Reason != holder.ReasonNotHolder {
			run.exclude = append(run.exclude, upstream.Meta.Name)
		}
		return nil, true, reasonRefusal(answer)
	}
	return nil, false, errors.New("pipeline: unknown placement")
}

func (p *Pipeline) choose(run *completionRun) (upstream resource.Upstream, err error) {
	var choice route.Choice
	p.State.WithLock(func(a *SharedState) {
		choice, err = a.Router.Choose(time.Now(), route.Query{
			Model:     run.model,
			BaseModel: run.baseModel,
			Cost:      run.cost,
			Deadline:  run.deadline,
			Exclude:   run.exclude,
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

// askHolder asks the upstream's holder for a place and waits in its queue.
func (p *Pipeline) askHolder(
	ctx context.Context, run *completionRun, upstream resource.Upstream,
) (placement peer.Placement, granter head.Member, err error) {
	current := p.Current().Head
	granter, found := membership.Holder(current, upstream.Meta.Name, upstream.DataCentre)
	if !found {
		return notHolder, granter, nil
	}
	run.tries++
	ctx, cancel := context.WithDeadline(ctx, run.deadline)
	defer cancel()
	run.asked = time.Now()
	placement, err = p.Fleet.Place(ctx, granter, peer.PlaceRequest{
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
			Alone:       run.alone,
			Apart:       run.apart,
		},
	})
	return placement, granter, err
}

var notHolder = peer.Refused{Reason: holder.ReasonNotHolder, RetryAfter: time.Second}

// take notes a granted pin before it is used, unless its granter holds the upstream no longer.
func (p *Pipeline) take(
	ctx context.Context, run *completionRun, upstream resource.Upstream, granter head.Member, granted peer.Granted,
) (found *place, again bool, err error) {
	found = &place{
		upstream: upstream,
		granter:  granter,
		granted:  time.Now(),
		waited:   granted.WaitedLoad + granted.WaitedQueue,
		pin: holder.Pin{
			ID:          granted.Pin,
			RequestID:   run.dispatchID(),
			Instance:    p.Self.Name,
			Incarnation: p.Self.Incarnation,
			Workspace:   run.identity.Workspace,
			Model:       run.model,
		},
	}
	transit := time.Since(run.asked) - found.waited
	if transit > longestTransit || !p.Pins.add(upstream.Meta.Name, upstream.DataCentre, granter, found.pin) {
		p.release(found, holder.Released{})
		return nil, true, reasonRefusal(notHolder)
	}
	if ctx.Err() != nil {
		p.release(found, holder.Released{})
		return nil, false, ended(ctx, refusal.NotRun)
	}
	run.waitedLoad += granted.WaitedLoad
	run.waitedQueue += granted.WaitedQueue
	return found, false, nil
}

// stopEvery is the time between two tries to cancel what may still run, and stopWithin how long they go
// on. An engine that was cut off ends a stream that nobody reads by itself, some ten seconds after; past
// stopWithin the pin is given up, so that a lost upstream does not keep its places for ever.
const (
	stopEvery  = 500 * time.Millisecond
	stopWithin = 30 * time.Second
)

// mayRunOn tells whether the engine may run the request although this instance has given it up.
func mayRunOn(outcome engine.Outcome) bool {
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

// runStop cancels a request that the engine may still run, and gives its pin back only then. Given back
// at once, its adapter version could be evicted while it is served, and its batch place be granted to
// another request, which the engine would refuse as full.
func (p *Pipeline) runStop(dispatch string, found *place, released holder.Released) {
	defer p.release(found, released)
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	for p.Engine(found.upstream.Address).Cancel(ctx, dispatch) != nil {
		select {
		case <-time.After(stopEvery):
		case <-ctx.Done():
			return
		}
	}
}

// release ends a pin, here and at the holder. Both the member that granted it and the one that holds
// the upstream now are told: the latter may have the pin from this instance's own list. The caller does
// not wait for that.
func (p *Pipeline) release(found *place, released holder.Released) {
	p.Pins.remove(found.pin.ID)
	released.Pin = found.pin.ID
	request := peer.ReleaseRequest{
		Upstream:    found.upstream.Meta.Name,
		Instance:    p.Self.Name,
		Incarnation: p.Self.Incarnation,
		Released:    released,
	}
	told := []head.Member{found.granter}
	now, ok := membership.Holder(p.Current().Head, found.upstream.Meta.Name, found.upstream.DataCentre)
	if ok && !slices.Contains(told, now) {
		told = append(told, now)
	}
	for _, member := range told {
		go p.runRelease(member, request)
	}
}

func (p *Pipeline) runRelease(member head.Member, request peer.ReleaseRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseWithin)
	defer cancel()
	if err := p.Fleet.Release(ctx, member, request); err != nil {
		p.Log.Debug().Str("Upstream", request.Upstream).Err(err).Msg("ReleaseNotTold")
	}
}
