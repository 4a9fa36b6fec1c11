// Package inbox is the bounded ring between the goroutine that owns some state and those that ask it
// for something. Once the owner has ended, senders and those who wait for an answer are let go: in a
// stop they would otherwise wait for good for somebody who reads no more.
package inbox

import "context"

// Inbox takes messages of one kind. Make it with New; one goroutine reads it.
type Inbox[M any] struct {
	messages chan M
	ended    chan struct{}
}

// New makes an inbox in which that many messages may wait; beyond them senders wait.
func New[M any](length int) *Inbox[M] {
	return &Inbox[M]{messages: make(chan M, length), ended: make(chan struct{})}
}

// Messages is what the owner reads.
func (i *Inbox[M]) Messages() <-chan M { return i.messages }

// End tells that nobody reads any more. The owner calls it once.
func (i *Inbox[M]) End() { close(i.ended) }

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
