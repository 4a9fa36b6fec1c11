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

func (s *heldUpstream) name() string {
	return s.holder.Upstream.Meta.Name
}

func (r *Runner) newHeld(upstream resource.Upstream) *heldUpstream {
	ctx, cancel := context.WithCancel(r.done)
	s := &heldUpstream{
		holder:  &holder.Holder{Upstream: upstream, Settings: r.Settings},
		engine:  r.Engine(upstream.Address),
		waiting: map[waiterKey]chan peer.Placement{},
		context: ctx,
		stop:    cancel,
	}
	r.held[s.name()] = s
	go r.runReports(s)
	go r.runReconcile(s)
	r.Log.Info().Str("Upstream", s.name()).Int64("Epoch", r.tenure.Epoch).Msg("UpstreamHeld")
	return s
}

func (r *Runner) place(m placeMessage) {
	s, ok := r.held[m.request.Upstream]
	if !ok {
		m.answer <- notHolder
		return
	}
	key := waiterKey{instance: m.request.Request.Instance, request: m.request.Request.ID}
	s.waiting[key] = m.answer
	r.feed(s, holder.Arrived{Request: m.request.Request})
}

// leave ends the wait of a request whose caller has gone. If it was granted meanwhile, its answer lies
// unread in the channel and the pin has to be given back.
func (r *Runner) leave(request peer.PlaceRequest) {
	s, ok := r.held[request.Upstream]
	if !ok {
		return
	}
	key := waiterKey{instance: request.Request.Instance, request: request.Request.ID}
	if _, waits := s.waiting[key]; waits {
		delete(s.waiting, key)
		r.feed(s, holder.Cancelled{RequestID: request.Request.ID})
		return
	}
	for _, pin := range s.holder.Pins() {
		if pin.RequestID == request.Request.ID && pin.Instance == request.Request.Instance {
			r.feed(s, holder.Released{Pin: pin.ID})
		}
	}
}

// feed hands an event to the holder and carries out what it decides.
//
// An instance that was paused finds old events in its inbox when it wakes up, and by then another may
// hold the upstream. Granting or ordering on them would run a request on an adapter version that the
// other is just evicting. So whatever would have an effect outside asks for freshness first.
func (r *Runner) feed(s *heldUpstream, event holder.Event) {
	for _, action := range s.holder.Handle(time.Now(), event) {
		r.carryOut(s, action)
	}
}

func (r *Runner) carryOut(s *heldUpstream, action holder.Action) {
	switch a := action.(type) {
	case holder.Grant:
		r.grant(s, a)
	case holder.Refuse:
		r.answer(s, waiterKey{instance: a.Instance, request: a.RequestID},
			peer.Refused{Reason: a.Reason, RetryAfter: a.RetryAfter})
	case holder.AskPins:
		r.askPins(s, a)
	case holder.OrderFence:
		go r.runFence(s, a)
	case holder.AskPermit:
		go r.runPermit(s, a)
	case holder.ReturnPermit:
		go r.runEndLoad(s, a.Model, true)
	case holder.OrderLoad:
		go r.runLoad(s, a)
	}
}

func (r *Runner) grant(s *heldUpstream, grant holder.Grant) {
	key := waiterKey{instance: grant.Pin.Instance, request: grant.Pin.RequestID}
	if r.Fresh() != nil {
		r.answer(s, key, notHolder)
		r.feed(s, holder.Released{Pin: grant.Pin.ID})
		return
	}
	granted := peer.Granted{Pin: grant.Pin.ID, WaitedLoad: grant.WaitedLoad, WaitedQueue: grant.WaitedQueue}
	if !r.answer(s, key, granted) {
		r.feed(s, holder.Released{Pin: grant.Pin.ID})
	}
}

func (r *Runner) answer(s *heldUpstream, key waiterKey, placement peer.Placement) bool {
	answer, ok := s.waiting[key]
	if !ok {
		return false
	}
	delete(s.waiting, key)
	answer <- placement
	return true
}

// tell brings an event from a goroutine of the held upstream to the loop.
func (r *Runner) tell(s *heldUpstream, event holder.Event) {
	r.inbox.Send(s.context, eventMessage{held: s, event: event})
}

// member finds an instance among the members of the newest tenure.
func (r *Runner) member(s *heldUpstream, instance string) (member head.Member, ok bool) {
	answer := make(chan []head.Member, 1)
	if !r.inbox.Send(s.context, membersMessage{answer: answer}) {
		return head.Member{}, false
	}
	members, _ := inbox.Await(s.context, r.inbox, answer)
	for _, m := range members {
		if m.Name == instance {
			return m, true
		}
	}
	return head.Member{}, false
}
