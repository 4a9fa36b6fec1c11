// Package inbox is a bounded message queue to a goroutine that owns some state. When the owner returns, blocked senders
// and waits for a response return too; otherwise they would block forever during a stop, because nothing reads the queue
// any more.
package inbox

import (
	"context"
	"time"
)

// Inbox is a queue of messages of type M with one reader. Create it with New.
type Inbox[M any] struct {
	messages chan M
	done     chan struct{}
}

// New creates an inbox with room for the given number of messages. Senders block while it is full.
func New[M any](length int) *Inbox[M] {
	return &Inbox[M]{messages: make(chan M, length), done: make(chan struct{})}
}

// Loop is the event loop of the owner: it calls handle for each message and tick at each interval. It returns when the
// context ends, and unblocks all senders and waits. Call it once.
func (i *Inbox[M]) Loop(ctx context.Context, interval time.Duration, handle func(M), tick func()) {
	defer close(i.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-i.messages:
			handle(message)
		case <-ticker.C:
			tick()
		}
	}
}

// Send enqueues a message. It returns false if the owner has returned or the context ends first.
func (i *Inbox[M]) Send(ctx context.Context, message M) bool {
	select {
	case i.messages <- message:
		return true
	case <-i.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Await waits for the response to a message that was sent. It returns false in the same cases as Send.
func Await[M, A any](ctx context.Context, i *Inbox[M], responses <-chan A) (response A, ok bool) {
	select {
	case response = <-responses:
		return response, true
	case <-i.done:
	case <-ctx.Done():
	}
	return response, false
}
