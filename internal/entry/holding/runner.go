// Package holding runs the holders of those upstreams that this instance holds: it feeds each
// holder.Holder its events and carries out what it decides. All decisions stand in package holder;
// here are the queue of events, the calls to engines and peers, and the answers to waiting requests.
package holding

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/entry/inbox"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

// runner.go holds what the rest of the instance calls, and the loop that owns all holders.

// Peers are the calls that holders need made to other instances, this one included.
type Peers interface {
	Pins(ctx context.Context, member head.Member, upstream string, epoch int64) (peer.PinList, error)
	PermitLoad(ctx context.Context, asked broker.PermitRequested) (peer.LoadPermit, error)
	EndLoad(ctx context.Context, load broker.Load, unused bool) error
}

// Engine is the part of an engine's client that holders use.
type Engine interface {
	Load(ctx context.Context, order engine.Order) error
	Unload(ctx context.Context, order engine.Order) error
	SetRole(ctx context.Context, role string, fence int64) error
	Report(ctx context.Context) (engine.Report, error)
	Cancel(ctx context.Context, id string) error
}

// Assignment is what a new head says about this instance: which upstreams it holds, under which epoch and
// among which members. Continued names the upstreams that it certainly held in the epoch before.
type Assignment struct {
	Epoch     int64
	Members   []head.Member
	Upstreams []resource.Upstream
	Continued map[string]bool
}

// Leaving names the upstreams that are said to be leaving by others than the configuration.
type Leaving map[string]bool

// Runner owns the holders. Set the exported fields before Run.
type Runner struct {
	Settings holder.Settings
	Peers    Peers
	// Engine gives the client of the engine at an address.
	Engine func(address string) Engine
	// Source gives where the weight store keeps an adapter version.
	Source func(ref model.Reference) string
	// CheckFreshness fails when this instance's knowledge may not be used any more.
	CheckFreshness func() error
	Log            zerolog.Logger

	inbox *inbox.Inbox[message]
	held  map[string]*heldUpstream
	// tenure and leaving are the newest ones told.
	tenure  Assignment
	leaving Leaving
	done    context.Context
}

const (
	// inboxLength bounds what waits for the loop. A message takes some microseconds, so a full inbox
	// means milliseconds of delay; beyond that senders wait.
	inboxLength = 1024
	// tickEvery lets holders notice deadlines and lapsed permits. They ask for at most 100 ms.
	tickEvery = 50 * time.Millisecond
)

// message is something for the loop to do. It is sealed.
type message interface{ message() }

type (
	placeMessage struct {
		request peer.PlaceRequest
		answer  chan peer.Placement
	}
	leaveMessage struct {
		request peer.PlaceRequest
	}
	tenureMessage struct {
		tenure Assignment
		taken  chan struct{}
	}
	leavingMessage struct{ leaving Leaving }
	inForceMessage struct{ revision int64 }
	goneMessage    struct{ instance, incarnation string }
	summaryMessage struct{ answer chan []holder.Summary }
	// eventMessage is an event for one upstream's holder, from a goroutine that began in a tenure.
	// Events of an earlier holding of the same upstream are dropped.
	eventMessage struct {
		held  *heldUpstream
		event holder.Event
	}
	releaseMessage struct {
		upstream string
		event    holder.Released
	}
	listMessage struct {
		held   *heldUpstream
		answer chan []holder.Pin
	}
	membersMessage struct{ answer chan []head.Member }
)

func (placeMessage) message()   {}
func (leaveMessage) message()   {}
func (tenureMessage) message()  {}
func (leavingMessage) message() {}
func (inForceMessage) message() {}
func (goneMessage) message()    {}
func (summaryMessage) message() {}
func (eventMessage) message()   {}
func (releaseMessage) message() {}
func (listMessage) message()    {}
func (membersMessage) message() {}

// Prepare makes the runner ready to be called before Run has begun.
func (r *Runner) Prepare() {
	r.inbox = inbox.New[message](inboxLength)
	r.held = map[string]*heldUpstream{}
}

// Run owns the holders until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	r.done = ctx
	r.inbox.Loop(ctx, tickEvery, r.take, r.tick)
	return nil
}

func (r *Runner) tick() {
	for _, u := range r.held {
		r.feed(u, holder.Tick{})
	}
}

// ---------------------------------------------------------------------------------------------
// What the rest of the instance calls.

// Place asks for a place on an upstream and waits for the answer. When the context ends first, the
// request leaves the queue, or gives its pin back.
func (r *Runner) Place(ctx context.Context, request peer.PlaceRequest) peer.Placement {
	answer := make(chan peer.Placement, 1)
	if !r.inbox.Send(ctx, placeMessage{request: request, answer: answer}) {
		return notHolder
	}
	placement, ok := inbox.Await(ctx, r.inbox, answer)
	if !ok {
		r.inbox.Send(context.WithoutCancel(ctx), leaveMessage{request: request})
		return notHolder
	}
	return placement
}

// Release ends a pin.
func (r *Runner) Release(ctx context.Context, upstream string, event holder.Released) {
	r.inbox.Send(ctx, releaseMessage{upstream: upstream, event: event})
}

// SetAssignment tells what a newly installed head says, and waits until it is taken in: from then on nothing
// is granted or ordered for upstreams that this instance does not hold any more. Only after that may the
// instance tell others that it has the head in force.
func (r *Runner) SetAssignment(ctx context.Context, tenure Assignment) {
	taken := make(chan struct{})
	if r.inbox.Send(ctx, tenureMessage{tenure: tenure, taken: taken}) {
		inbox.Await(ctx, r.inbox, taken)
	}
}

// SetLeaving tells which upstreams are said to be leaving.
func (r *Runner) SetLeaving(ctx context.Context, leaving Leaving) {
	r.inbox.Send(ctx, leavingMessage{leaving: leaving})
}

// SetInForce tells the highest revision that is in force everywhere.
func (r *Runner) SetInForce(ctx context.Context, revision int64) {
	r.inbox.Send(ctx, inForceMessage{revision: revision})
}

// SetInstanceStopped tells that an incarnation of an instance certainly does nothing any more.
func (r *Runner) SetInstanceStopped(ctx context.Context, instance, incarnation string) {
	r.inbox.Send(ctx, goneMessage{instance: instance, incarnation: incarnation})
}

// Summaries lists what is to be told of the upstreams held here.
func (r *Runner) Summaries(ctx context.Context) []holder.Summary {
	answer := make(chan []holder.Summary, 1)
	if !r.inbox.Send(ctx, summaryMessage{answer: answer}) {
		return nil
	}
	summaries, _ := inbox.Await(ctx, r.inbox, answer)
	return summaries
}

// ---------------------------------------------------------------------------------------------
// The loop's work.

func (r *Runner) take(m message) {
	switch m := m.(type) {
	case placeMessage:
		r.place(m)
	case leaveMessage:
		r.leave(m.request)
	case tenureMessage:
		r.setTenure(m.tenure)
		close(m.taken)
	case leavingMessage:
		r.leaving = m.leaving
		for _, u := range r.held {
			r.feedLeaving(u)
		}
	case inForceMessage:
		for _, u := range r.held {
			if m.revision >= r.tenure.Epoch {
				r.feed(u, holder.EpochInForce{Epoch: r.tenure.Epoch})
			}
		}
	case goneMessage:
		for _, u := range r.held {
			r.cancelStreams(u, m.instance, m.incarnation)
		}
	case summaryMessage:
		m.answer <- r.summaries()
	case eventMessage:
		if r.held[m.held.name()] == m.held {
			r.feed(m.held, m.event)
		}
	case releaseMessage:
		if u, ok := r.held[m.upstream]; ok {
			r.feed(u, m.event)
		}
	case listMessage:
		m.answer <- m.held.holder.Pins()
	case membersMessage:
		m.answer <- r.tenure.Members
	}
}

func (r *Runner) summaries() []holder.Summary {
	now := time.Now()
	summaries := make([]holder.Summary, 0, len(r.held))
	for _, u := range r.held {
		if u.appointed {
			summaries = append(summaries, u.holder.Summary(now))
		}
	}
	return summaries
}

// setTenure takes a new head in: upstreams no longer held are given up, new ones taken.
func (r *Runner) setTenure(tenure Assignment) {
	r.tenure = tenure
	held := map[string]bool{}
	names := make([]string, len(tenure.Members))
	for i, member := range tenure.Members {
		names[i] = member.Name
	}
	for _, upstream := range tenure.Upstreams {
		name := upstream.Meta.Name
		held[name] = true
		u, ok := r.held[name]
		if ok && u.holder.Upstream.Address != upstream.Address {
			r.giveUp(u)
			ok = false
		}
		if !ok {
			u = r.newHeld(upstream)
		}
		u.holder.Upstream = upstream
		r.feed(u, holder.Appointed{
			Epoch:     tenure.Epoch,
			Members:   names,
			Continued: ok && tenure.Continued[name],
		})
		r.feedLeaving(u)
		u.appointed = true
	}
	for name, u := range r.held {
		if !held[name] {
			r.giveUp(u)
		}
	}
}

// feedLeaving tells a holder whether its upstream is leaving by any word.
func (r *Runner) feedLeaving(u *heldUpstream) {
	r.feed(u, holder.UpstreamLeaving{Leaving: u.holder.Upstream.Leaving || r.leaving[u.name()]})
}

func (r *Runner) giveUp(u *heldUpstream) {
	r.feed(u, holder.Yielded{})
	u.stop()
	delete(r.held, u.name())
	r.Log.Info().Str("Upstream", u.name()).Int64("Epoch", r.tenure.Epoch).Msg("UpstreamYielded")
}
