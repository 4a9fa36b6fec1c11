package holding

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/entry/inbox"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
)

// held_upstream.go contains a held upstream: its holder, the requests that wait for a decision, and the execution of the
// holder's actions.

// heldUpstream is one upstream that this instance holds.
type heldUpstream struct {
	holder    *holder.Holder
	engine    Engine
	waiters   map[waiterKey]chan peer.Placement
	appointed bool
	context   context.Context
	stop      context.CancelFunc
}

// waiterKey identifies a waiting request. Request IDs are unique per instance only.
type waiterKey struct {
	instance string
	request  string
}

// notHolder is the response if this instance does not hold the upstream; another one does by then.
var notHolder = peer.Refused{Reason: holder.ReasonNotHolder, RetryAfter: time.Second}

func (u *heldUpstream) name() string {
	return u.holder.Upstream.Meta.Name
}

func (r *Runner) newHeld(upstream resource.Upstream) *heldUpstream {
	ctx, cancel := context.WithCancel(r.runContext)
	u := &heldUpstream{
		holder:  &holder.Holder{Upstream: upstream, Settings: r.Settings},
		engine:  r.Engine(upstream.Address),
		waiters: map[waiterKey]chan peer.Placement{},
		context: ctx,
		stop:    cancel,
	}
	r.held[u.name()] = u
	go r.runReports(u)
	go r.runReconcile(u)
	r.Log.Info().Str("Upstream", u.name()).Int64("Epoch", r.assignment.Epoch).Msg("UpstreamHeld")
	return u
}

func (r *Runner) place(m placeMessage) {
	u, ok := r.held[m.request.Upstream]
	if !ok {
		m.response <- notHolder
		return
	}
	key := waiterKey{instance: m.request.Request.Instance, request: m.request.Request.ID}
	u.waiters[key] = m.response
	r.handleEvent(u, holder.Arrived{Request: m.request.Request})
}

// cancel ends the wait of a request whose caller has disconnected. If the request was granted meanwhile, the response is
// unread in the channel and the pin has to be released.
func (r *Runner) cancel(request peer.PlaceRequest) {
	u, ok := r.held[request.Upstream]
	if !ok {
		return
	}
	key := waiterKey{instance: request.Request.Instance, request: request.Request.ID}
	if _, waits := u.waiters[key]; waits {
		delete(u.waiters, key)
		r.handleEvent(u, holder.Cancelled{RequestID: request.Request.ID})
		return
	}
	for _, pin := range u.holder.Pins() {
		if pin.RequestID == request.Request.ID && pin.Instance == request.Request.Instance {
			r.handleEvent(u, holder.Released{Pin: pin.ID})
		}
	}
}

// handleEvent passes an event to the holder and executes the resulting actions.
//
// A process that was paused finds old events in its inbox when it resumes; by then another instance may hold the
// upstream. A grant or an order based on them would run a request on an adapter version that the other instance is
// evicting. Therefore each action with an external effect checks freshness first.
func (r *Runner) handleEvent(u *heldUpstream, event holder.Event) {
	for _, action := range u.holder.Handle(time.Now(), event) {
		r.execute(u, action)
	}
}

func (r *Runner) execute(u *heldUpstream, action holder.Action) {
	switch a := action.(type) {
	case holder.Grant:
		r.grant(u, a)
	case holder.Refuse:
		r.respond(u, waiterKey{instance: a.Instance, request: a.RequestID},
			peer.Refused{Reason: a.Reason, RetryAfter: a.RetryAfter})
	case holder.RequestPins:
		r.requestPins(u, a)
	case holder.OrderFence:
		go r.runFence(u, a)
	case holder.RequestPermit:
		go r.runPermit(u, a)
	case holder.ReturnPermit:
		go r.runEndLoad(u, a.Model, true)
	case holder.OrderLoad:
		go r.runLoad(u, a)
	}
}

func (r *Runner) grant(u *heldUpstream, grant holder.Grant) {
	key := waiterKey{instance: grant.Pin.Instance, request: grant.Pin.RequestID}
	if r.CheckFreshness() != nil {
		r.respond(u, key, notHolder)
		r.handleEvent(u, holder.Released{Pin: grant.Pin.ID})
		return
	}
	granted := peer.Granted{Pin: grant.Pin.ID, WaitedLoad: grant.WaitedLoad, WaitedQueue: grant.WaitedQueue}
	if !r.respond(u, key, granted) {
		r.handleEvent(u, holder.Released{Pin: grant.Pin.ID})
	}
}

func (r *Runner) respond(u *heldUpstream, key waiterKey, placement peer.Placement) bool {
	response, ok := u.waiters[key]
	if !ok {
		return false
	}
	delete(u.waiters, key)
	response <- placement
	return true
}

// sendEvent sends an event from a goroutine of the held upstream to the loop.
func (r *Runner) sendEvent(u *heldUpstream, event holder.Event) {
	r.inbox.Send(u.context, eventMessage{held: u, event: event})
}

// member looks up an instance among the members of the current assignment.
func (r *Runner) member(u *heldUpstream, instance string) (member head.Member, ok bool) {
	response := make(chan []head.Member, 1)
	if !r.inbox.Send(u.context, membersMessage{response: response}) {
		return head.Member{}, false
	}
	members, _ := inbox.Await(u.context, r.inbox, response)
	for _, m := range members {
		if m.Name == instance {
			return m, true
		}
	}
	return head.Member{}, false
}
