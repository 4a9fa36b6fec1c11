// Package brokering runs the load broker where this instance is the one that the head appoints: it
// feeds broker.Broker what holders ask and hands its answers back to them. The decisions stand in
// package broker.
package brokering

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/entry/inbox"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
)

const (
	// inboxLength bounds what waits for the loop; beyond it askers wait.
	inboxLength = 256
	// tickEvery is the longest a free permit waits to be given out.
	tickEvery = 25 * time.Millisecond
)

// refused is the answer when the broker can't be asked.
var refused = peer.LoadPermit{RetryAfter: 250 * time.Millisecond}

// Runner owns the broker. Set the exported field before Run.
type Runner struct {
	Settings broker.Settings

	broker  *broker.Broker
	inbox   *inbox.Inbox[message]
	waiting map[broker.Load]chan peer.LoadPermit
}

type message struct {
	event  broker.Event
	answer chan peer.LoadPermit
}

// Prepare makes the runner ready to be called before Run has begun.
func (r *Runner) Prepare() {
	r.broker = &broker.Broker{Settings: r.Settings}
	r.inbox = inbox.New[message](inboxLength)
	r.waiting = map[broker.Load]chan peer.LoadPermit{}
}

// Run owns the broker until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	r.inbox.Loop(ctx, tickEvery, r.take, func() { r.feed(broker.Tick{}) })
	return nil
}

// Permit asks for leave to load, and waits for the answer.
func (r *Runner) Permit(ctx context.Context, asked broker.PermitRequested) peer.LoadPermit {
	answer := make(chan peer.LoadPermit, 1)
	if !r.inbox.Send(ctx, message{event: asked, answer: answer}) {
		return refused
	}
	permit, ok := inbox.Await(ctx, r.inbox, answer)
	if !ok {
		r.inbox.Send(context.WithoutCancel(ctx), message{event: broker.Withdrawn{Load: asked.Load}})
		return refused
	}
	return permit
}

// End tells that a load is done or has failed, or that its permit is given back unused.
func (r *Runner) End(ctx context.Context, load broker.Load, unused bool) {
	var event broker.Event = broker.LoadEnded{Load: load}
	if unused {
		event = broker.Withdrawn{Load: load}
	}
	r.inbox.Send(ctx, message{event: event})
}

// take hands one message on. Asking again for the same load replaces the earlier ask, so whoever
// waited for that one is told so; taken for a refusal, it would make the holder ask on and on.
func (r *Runner) take(m message) {
	if asked, ok := m.event.(broker.PermitRequested); ok {
		r.answer(asked.Load, peer.LoadPermit{Replaced: true})
		r.waiting[asked.Load] = m.answer
	}
	if withdrawn, ok := m.event.(broker.Withdrawn); ok {
		delete(r.waiting, withdrawn.Load)
	}
	r.feed(m.event)
}

func (r *Runner) feed(event broker.Event) {
	for _, action := range r.broker.Handle(time.Now(), event) {
		switch a := action.(type) {
		case broker.Permit:
			r.answer(a.Load, peer.LoadPermit{Granted: true, UseWithin: a.UseWithin})
		case broker.Refuse:
			r.answer(a.Load, peer.LoadPermit{RetryAfter: a.RetryAfter})
		}
	}
}

func (r *Runner) answer(load broker.Load, permit peer.LoadPermit) {
	answer, ok := r.waiting[load]
	if !ok {
		return
	}
	delete(r.waiting, load)
	answer <- permit
}
