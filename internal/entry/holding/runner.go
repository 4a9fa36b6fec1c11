// Package holding runs the holders of the upstreams that this instance holds: it passes events to each holder.Holder and
// executes its actions. All decisions are made in package holder; this package contains the event queue, the calls to
// engines and peers, and the responses to waiting requests.
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

// runner.go contains the methods for the rest of the instance, and the event loop that owns all holders.

// Peers makes the calls of holders to the members, including this instance.
type Peers interface {
	Pins(ctx context.Context, member head.Member, upstream string, epoch int64) (peer.PinList, error)
	PermitLoad(ctx context.Context, request broker.PermitRequested) (peer.LoadPermit, error)
	EndLoad(ctx context.Context, load broker.Load, unused bool) error
}

// Engine is the part of an engine client that holders use.
type Engine interface {
	Load(ctx context.Context, order engine.Order) error
	Unload(ctx context.Context, order engine.Order) error
	SetRole(ctx context.Context, role string, fence int64) error
	Report(ctx context.Context) (engine.Report, error)
	Cancel(ctx context.Context, id string) error
}

// Assignment is this instance's part of a new head: the upstreams that it holds, the epoch and the members. Continued
// contains the upstreams that it certainly held in the previous epoch.
type Assignment struct {
	Epoch     int64
	Members   []head.Member
	Upstreams []resource.Upstream
	Continued map[string]bool
}

// Leaving contains the upstreams that are leaving according to sources other than the configuration.
type Leaving map[string]bool

// Runner owns the holders. Set the exported fields before Run.
type Runner struct {
	Settings holder.Settings
	Peers    Peers
	// Engine returns a client of the engine at an address.
	Engine func(address string) Engine
	// Source returns the location of an adapter version in the weight store.
	Source func(ref model.Reference) string
	// CheckFreshness returns an error if this instance's configuration is too old to act on.
	CheckFreshness func() error
	Log            zerolog.Logger

	inbox *inbox.Inbox[message]
	held  map[string]*heldUpstream
	// assignment and leaving are the most recent values set.
	assignment Assignment
	leaving    Leaving
	runContext context.Context
}

const (
	// inboxLength bounds the messages that wait for the loop. A message takes some microseconds, so a full inbox means a
	// delay of milliseconds. Senders block while it is full.
	inboxLength = 1024
	// tickInterval is how often holders check deadlines and expired permits. They need at most 100 ms between checks.
	tickInterval = 50 * time.Millisecond
)

// message is a message to the loop. It is sealed.
type message interface{ message() }

type (
	placeMessage struct {
		request  peer.PlaceRequest
		response chan peer.Placement
	}
	cancelMessage struct {
		request peer.PlaceRequest
	}
	assignmentMessage struct {
		assignment Assignment
		applied    chan struct{}
	}
	leavingMessage struct{ leaving Leaving }
	inForceMessage struct{ revision int64 }
	stoppedMessage struct{ instance, incarnation string }
	summaryMessage struct{ response chan []holder.Summary }
	// eventMessage is an event for the holder of one upstream, from a goroutine of that held upstream. If the upstream was
	// yielded meanwhile, the event is dropped, even if the upstream is held again.
	eventMessage struct {
		held  *heldUpstream
		event holder.Event
	}
	releaseMessage struct {
		upstream string
		event    holder.Released
	}
	listPinsMessage struct {
		held     *heldUpstream
		response chan []holder.Pin
	}
	membersMessage struct{ response chan []head.Member }
)

func (placeMessage) message()      {}
func (cancelMessage) message()     {}
func (assignmentMessage) message() {}
func (leavingMessage) message()    {}
func (inForceMessage) message()    {}
func (stoppedMessage) message()    {}
func (summaryMessage) message()    {}
func (eventMessage) message()      {}
func (releaseMessage) message()    {}
func (listPinsMessage) message()   {}
func (membersMessage) message()    {}

// Prepare initializes the runner. Its methods may be called from then on, also before Run.
func (r *Runner) Prepare() {
	r.inbox = inbox.New[message](inboxLength)
	r.held = map[string]*heldUpstream{}
}

// Run runs the event loop until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	r.runContext = ctx
	r.inbox.Loop(ctx, tickInterval, r.handleMessage, r.tick)
	return nil
}

func (r *Runner) tick() {
	for _, u := range r.held {
		r.handleEvent(u, holder.Tick{})
	}
}

// ---------------------------------------------------------------------------------------------
// Methods for the rest of the instance.

// Place requests a batch slot on an upstream and waits for the decision. If the context ends first, the request is removed
// from the queue, or its pin is released.
func (r *Runner) Place(ctx context.Context, request peer.PlaceRequest) peer.Placement {
	response := make(chan peer.Placement, 1)
	if !r.inbox.Send(ctx, placeMessage{request: request, response: response}) {
		return notHolder
	}
	placement, ok := inbox.Await(ctx, r.inbox, response)
	if !ok {
		r.inbox.Send(context.WithoutCancel(ctx), cancelMessage{request: request})
		return notHolder
	}
	return placement
}

// Release ends a pin.
func (r *Runner) Release(ctx context.Context, upstream string, event holder.Released) {
	r.inbox.Send(ctx, releaseMessage{upstream: upstream, event: event})
}

// SetAssignment sets the assignment from a newly installed head, and waits until the loop has applied it: from then on
// nothing is granted or ordered for upstreams that this instance no longer holds. Only after that may the instance report
// to others that the head is in force here.
func (r *Runner) SetAssignment(ctx context.Context, assignment Assignment) {
	applied := make(chan struct{})
	if r.inbox.Send(ctx, assignmentMessage{assignment: assignment, applied: applied}) {
		inbox.Await(ctx, r.inbox, applied)
	}
}

// SetLeaving sets the upstreams that are leaving.
func (r *Runner) SetLeaving(ctx context.Context, leaving Leaving) {
	r.inbox.Send(ctx, leavingMessage{leaving: leaving})
}

// SetInForce sets the highest revision that is in force at all members.
func (r *Runner) SetInForce(ctx context.Context, revision int64) {
	r.inbox.Send(ctx, inForceMessage{revision: revision})
}

// SetInstanceStopped records that an incarnation of an instance has certainly stopped.
func (r *Runner) SetInstanceStopped(ctx context.Context, instance, incarnation string) {
	r.inbox.Send(ctx, stoppedMessage{instance: instance, incarnation: incarnation})
}

// Summaries returns the summaries of the upstreams held here, for heartbeats.
func (r *Runner) Summaries(ctx context.Context) []holder.Summary {
	response := make(chan []holder.Summary, 1)
	if !r.inbox.Send(ctx, summaryMessage{response: response}) {
		return nil
	}
	summaries, _ := inbox.Await(ctx, r.inbox, response)
	return summaries
}

// ---------------------------------------------------------------------------------------------
// Event loop.

func (r *Runner) handleMessage(m message) {
	switch m := m.(type) {
	case placeMessage:
		r.place(m)
	case cancelMessage:
		r.cancel(m.request)
	case assignmentMessage:
		r.setAssignment(m.assignment)
		close(m.applied)
	case leavingMessage:
		r.leaving = m.leaving
		for _, u := range r.held {
			r.updateLeaving(u)
		}
	case inForceMessage:
		for _, u := range r.held {
			if m.revision >= r.assignment.Epoch {
				r.handleEvent(u, holder.EpochInForce{Epoch: r.assignment.Epoch})
			}
		}
	case stoppedMessage:
		for _, u := range r.held {
			r.cancelStreams(u, m.instance, m.incarnation)
		}
	case summaryMessage:
		m.response <- r.summaries()
	case eventMessage:
		if r.held[m.held.name()] == m.held {
			r.handleEvent(m.held, m.event)
		}
	case releaseMessage:
		if u, ok := r.held[m.upstream]; ok {
			r.handleEvent(u, m.event)
		}
	case listPinsMessage:
		m.response <- m.held.holder.Pins()
	case membersMessage:
		m.response <- r.assignment.Members
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

// setAssignment applies a new assignment: it yields the upstreams that are no longer held, and starts to hold new ones.
func (r *Runner) setAssignment(assignment Assignment) {
	r.assignment = assignment
	held := map[string]bool{}
	names := make([]string, len(assignment.Members))
	for i, member := range assignment.Members {
		names[i] = member.Name
	}
	for _, upstream := range assignment.Upstreams {
		name := upstream.Meta.Name
		held[name] = true
		u, ok := r.held[name]
		if ok && u.holder.Upstream.Address != upstream.Address {
			r.yield(u)
			ok = false
		}
		if !ok {
			u = r.newHeld(upstream)
		}
		u.holder.Upstream = upstream
		r.handleEvent(u, holder.Appointed{
			Epoch:     assignment.Epoch,
			Members:   names,
			Continued: ok && assignment.Continued[name],
		})
		r.updateLeaving(u)
		u.appointed = true
	}
	for name, u := range r.held {
		if !held[name] {
			r.yield(u)
		}
	}
}

// updateLeaving notifies a holder whether its upstream is leaving according to any source.
func (r *Runner) updateLeaving(u *heldUpstream) {
	r.handleEvent(u, holder.UpstreamLeaving{Leaving: u.holder.Upstream.Leaving || r.leaving[u.name()]})
}

func (r *Runner) yield(u *heldUpstream) {
	r.handleEvent(u, holder.Yielded{})
	u.stop()
	delete(r.held, u.name())
	r.Log.Info().Str("Upstream", u.name()).Int64("Epoch", r.assignment.Epoch).Msg("UpstreamYielded")
}
