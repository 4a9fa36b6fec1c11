// Package brokering runs the load broker on the instance that the head appoints: it passes the requests of holders to
// broker.Broker and returns its decisions to them. The decisions are made in package broker.
package brokering

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/entry/inbox"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
)

const (
	// inboxLength bounds the messages that wait for the loop. Senders block while the inbox is full.
	inboxLength = 256
	// tickInterval is the longest time until a free permit is granted.
	tickInterval = 25 * time.Millisecond
)

// refused is the response if the broker cannot be reached.
var refused = peer.LoadPermit{RetryAfter: 250 * time.Millisecond}

// Runner owns the broker. Set the exported field before Prepare.
type Runner struct {
	Settings broker.Settings

	broker  *broker.Broker
	inbox   *inbox.Inbox[message]
	waiters map[broker.Load]chan peer.LoadPermit
}

type message struct {
	event    broker.Event
	response chan peer.LoadPermit
}

// Prepare initializes the runner. Its methods may be called from then on, also before Run.
func (r *Runner) Prepare() {
	r.broker = &broker.Broker{Settings: r.Settings}
	r.inbox = inbox.New[message](inboxLength)
	r.waiters = map[broker.Load]chan peer.LoadPermit{}
}

// Run owns the broker until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	r.inbox.Loop(ctx, tickInterval, r.handleMessage, func() { r.handleEvent(broker.Tick{}) })
	return nil
}

// Permit requests a load permit, and waits for the decision.
func (r *Runner) Permit(ctx context.Context, request broker.PermitRequested) peer.LoadPermit {
	response := make(chan peer.LoadPermit, 1)
	if !r.inbox.Send(ctx, message{event: request, response: response}) {
		return refused
	}
	permit, ok := inbox.Await(ctx, r.inbox, response)
	if !ok {
		r.inbox.Send(context.WithoutCancel(ctx), message{event: broker.Withdrawn{Load: request.Load}})
		return refused
	}
	return permit
}

// End records that a load has completed or failed, or that its permit is returned unused.
func (r *Runner) End(ctx context.Context, load broker.Load, unused bool) {
	var event broker.Event = broker.LoadEnded{Load: load}
	if unused {
		event = broker.Withdrawn{Load: load}
	}
	r.inbox.Send(ctx, message{event: event})
}

// handleMessage passes a message to the broker. A new request for the same load replaces the earlier one, whose caller
// gets a response with Replaced set. If that were a refusal, the holder would retry endlessly.
func (r *Runner) handleMessage(m message) {
	if request, ok := m.event.(broker.PermitRequested); ok {
		r.respond(request.Load, peer.LoadPermit{Replaced: true})
		r.waiters[request.Load] = m.response
	}
	if withdrawn, ok := m.event.(broker.Withdrawn); ok {
		delete(r.waiters, withdrawn.Load)
	}
	r.handleEvent(m.event)
}

func (r *Runner) handleEvent(event broker.Event) {
	for _, action := range r.broker.Handle(time.Now(), event) {
		switch a := action.(type) {
		case broker.Permit:
			r.respond(a.Load, peer.LoadPermit{Granted: true, UseWithin: a.UseWithin})
		case broker.Refuse:
			r.respond(a.Load, peer.LoadPermit{RetryAfter: a.RetryAfter})
		}
	}
}

func (r *Runner) respond(load broker.Load, permit peer.LoadPermit) {
	response, ok := r.waiters[load]
	if !ok {
		return
	}
	delete(r.waiters, load)
	response <- permit
}
