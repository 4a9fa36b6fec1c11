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

// held_upstream.go is one held upstream: its holder, the requests that wait for its answer, and how the
// holder's actions are carried out.

// heldUpstream is one upstream that this instance holds.
type heldUpstream struct {
	holder    *holder.Holder
	engine    Engine
	waiting   map[waiterKey]chan peer.Placement
	appointed bool
	context   context.Context
	stop      context.CancelFunc
}

// waiterKey tells waiting requests apart: instances choose request identities on their own.
type waiterKey struct {
	instance string
	request  string
}

// notHolder is the answer when this instance does not hold the upstream; another one does by now.
var notHolder = peer.Refused{Reason: holder.ReasonNotHolder, RetryAfter: time.Second}

func (u *heldUpstream) name() string {
	return u.holder.Upstream.Meta.Name
}

func (r *Runner) newHeld(upstream resource.Upstream) *heldUpstream {
	ctx, cancel := context.WithCancel(r.done)
	u := &heldUpstream{
		holder:  &holder.Holder{Upstream: upstream, Settings: r.Settings},
		engine:  r.Engine(upstream.Address),
		waiting: map[waiterKey]chan peer.Placement{},
		context: ctx,
		stop:    cancel,
	}
	r.held[u.name()] = u
	go r.runReports(u)
	go r.runReconcile(u)
	r.Log.Info().Str("Upstream", u.name()).Int64("Epoch", r.tenure.Epoch).Msg("UpstreamHeld")
	return u
}

func (r *Runner) place(m placeMessage) {
	u, ok := r.held[m.request.Upstream]
	if !ok {
		m.answer <- notHolder
		return
	}
	key := waiterKey{instance: m.request.Request.Instance, request: m.request.Request.ID}
	u.waiting[key] = m.answer
	r.feed(u, holder.Arrived{Request: m.request.Request})
}

// leave ends the wait of a request whose caller has gone. If it was granted meanwhile, its answer lies
// unread in the channel and the pin has to be given back.
func (r *Runner) leave(request peer.PlaceRequest) {
	u, ok := r.held[request.Upstream]
	if !ok {
		return
	}
	key := waiterKey{instance: request.Request.Instance, request: request.Request.ID}
	if _, waits := u.waiting[key]; waits {
		delete(u.waiting, key)
		r.feed(u, holder.Cancelled{RequestID: request.Request.ID})
		return
	}
	for _, pin := range u.holder.Pins() {
		if pin.RequestID == request.Request.ID && pin.Instance == request.Request.Instance {
			r.feed(u, holder.Released{Pin: pin.ID})
		}
	}
}

// feed hands an event to the holder and carries out what it decides.
//
// An instance that was paused finds old events in its inbox when it wakes up, and by then another may
// hold the upstream. Granting or ordering on them would run a request on an adapter version that the
// other is just evicting. So whatever would have an effect outside asks for freshness first.
func (r *Runner) feed(u *heldUpstream, event holder.Event) {
	for _, action := range u.holder.Handle(time.Now(), event) {
		r.carryOut(u, action)
	}
}

func (r *Runner) carryOut(u *heldUpstream, action holder.Action) {
	switch a := action.(type) {
	case holder.Grant:
		r.grant(u, a)
	case holder.Refuse:
		r.answer(u, waiterKey{instance: a.Instance, request: a.RequestID},
			peer.Refused{Reason: a.Reason, RetryAfter: a.RetryAfter})
	case holder.RequestPins:
		r.askPins(u, a)
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
		r.answer(u, key, notHolder)
		r.feed(u, holder.Released{Pin: grant.Pin.ID})
		return
	}
	granted := peer.Granted{Pin: grant.Pin.ID, WaitedLoad: grant.WaitedLoad, WaitedQueue: grant.WaitedQueue}
	if !r.answer(u, key, granted) {
		r.feed(u, holder.Released{Pin: grant.Pin.ID})
	}
}

func (r *Runner) answer(u *heldUpstream, key waiterKey, placement peer.Placement) bool {
	answer, ok := u.waiting[key]
	if !ok {
		return false
	}
	delete(u.waiting, key)
	answer <- placement
	return true
}

// tell brings an event from a goroutine of the held upstream to the loop.
func (r *Runner) tell(u *heldUpstream, event holder.Event) {
	r.inbox.Send(u.context, eventMessage{held: u, event: event})
}

// member finds an instance among the members of the newest tenure.
func (r *Runner) member(u *heldUpstream, instance string) (member head.Member, ok bool) {
	answer := make(chan []head.Member, 1)
	if !r.inbox.Send(u.context, membersMessage{answer: answer}) {
		return head.Member{}, false
	}
	members, _ := inbox.Await(u.context, r.inbox, answer)
	for _, m := range members {
		if m.Name == instance {
			return m, true
		}
	}
	return head.Member{}, false
}
