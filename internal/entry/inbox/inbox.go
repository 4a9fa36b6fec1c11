// Package inbox is the bounded ring between the goroutine that owns some state and those that ask it
// for something. Once the owner has ended, senders and those who wait for an answer are let go: in a
// stop they would otherwise wait for good for somebody who reads no more.
package inbox

import (
	"context"
	"time"
)

// Inbox takes messages of one kind. Make it with New; one goroutine reads it.
type Inbox[M any] struct {
	messages chan M
	ended    chan struct{}
}

// New makes an inbox in which that many messages may wait; beyond them senders wait.
func New[M any](length int) *Inbox[M] {
	return &Inbox[M]{messages: make(chan M, length), ended: make(chan struct{})}
}

// Loop is the owner's work: it takes each message, and each time that the interval has passed lets time
// pass. It returns when the context ends, and lets all who still wait go. It is called once.
func (i *Inbox[M]) Loop(ctx context.Context, every time.Duration, take func(M), tick func()) {
	defer close(i.ended)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-i.messages:
			take(m)
		case <-ticker.C:
			tick()
		}
	}
}

// Send hands a message over. It fails when the owner has ended or the context ends first.
func (i *Inbox[M]) Send(ctx context.Context, m M) bool {
	select {
	case i.messages <- m:
		return true
	case <-i.ended:
		return false
	case <-ctx.Done():
		return false
	}
}

// Await waits for the answer to a message that was sent. It fails as Send does.
func Await[M, A any](ctx context.Context, i *Inbox[M], answer <-chan A) (came A, ok bool) {
	select {
	case came = <-answer:
		return came, true
	case <-i.ended:
	case <-ctx.Done():
	}
	return came, false
}
